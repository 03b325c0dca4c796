// Package lifecycle counts accepted requests, holds the readiness of this process, and drains it before it stops.
package lifecycle

import (
	"context"
	"sync"
	"sync/atomic"
)

// ReadyCheck is an additional condition for readiness.
type ReadyCheck interface {
	Ready() bool
}

// ReadinessGroup is the fx result tag with which plug-ins provide a ReadyCheck.
const ReadinessGroup = `group:"readiness"`

// Origin is where an accepted request came from.
type Origin int

// Origins of accepted requests.
const (
	FromCaller Origin = iota
	FromPeer
	origins
)

// State tracks whether this process accepts new requests and how many accepted ones are running. The zero value is not
// usable.
type State struct {
	refused   atomic.Uint64
	forced    chan struct{}
	forceOnce sync.Once
	// ending is done once accepted requests must end; endRequests ends it.
	ending      context.Context
	endRequests context.CancelFunc

	mu       sync.Mutex
	ready    bool
	stopping bool
	draining bool
	checks   []ReadyCheck
	accepted [origins]int
	// requestEnded is closed and replaced each time an accepted request ends.
	requestEnded chan struct{}
}

// New returns a state that is neither ready, stopping nor draining.
func New() *State {
	s := &State{forced: make(chan struct{}), requestEnded: make(chan struct{})}
	s.ending, s.endRequests = context.WithCancel(context.Background())
	return s
}

// Ending returns a context that is done once the accepted requests must end because the process is about to: their callers
// must be told what is known of them, or the end of the process cuts them off.
func (s *State) Ending() context.Context { return s.ending }

// SetReady sets whether this process can serve. Once the process is stopping, Ready reports false whatever was set.
func (s *State) SetReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
}

// AddCheck adds a condition for readiness.
func (s *State) AddCheck(c ReadyCheck) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks = append(s.checks, c)
}

// Ready reports whether the load balancer should send requests to this process.
func (s *State) Ready() bool {
	s.mu.Lock()
	ready, checks := s.ready && !s.stopping, s.checks
	s.mu.Unlock()
	for _, c := range checks {
		ready = ready && c.Ready()
	}
	return ready
}

// Begin accepts a caller's request. If the process is draining, it refuses the request instead: ok is false and end is
// nil. Otherwise end must be called when the request has ended; further calls of end have no effect.
func (s *State) Begin() (end func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.refused.Add(1)
		return nil, false
	}
	return s.accept(FromCaller), true
}

// BeginPeer accepts a call of a peer; end must be called when that call has ended. Calls of peers are never refused:
// until every peer has learned that this VM is leaving, these calls carry leaf requests for targets that only this VM
// may send to.
func (s *State) BeginPeer() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accept(FromPeer)
}

func (s *State) accept(o Origin) func() {
	s.accepted[o]++
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepted[o]--
		close(s.requestEnded)
		s.requestEnded = make(chan struct{})
	})
}

// Accepted returns the number of running requests of the origin.
func (s *State) Accepted(o Origin) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted[o]
}

// Refused returns the number of callers' requests refused because the process was draining.
func (s *State) Refused() uint64 { return s.refused.Load() }

// Draining reports whether new requests of callers are refused.
func (s *State) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// ForceStop ends a drain at once; requests that are still running are cut off.
func (s *State) ForceStop() { s.forceOnce.Do(func() { close(s.forced) }) }

// Stopping reports whether Stop was called or a drain was started.
func (s *State) Stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Stop makes the process permanently not ready. Drain.Run does this itself.
func (s *State) Stop() { s.stop() }

// Refuse makes Begin refuse new requests of callers. Drain.Run does this itself.
func (s *State) Refuse() { s.refuse() }

func (s *State) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

func (s *State) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}
