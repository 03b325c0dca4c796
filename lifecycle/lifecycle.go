// Package lifecycle counts accepted requests, says whether this process is ready, and drains it before it stops.
package lifecycle

import (
	"sync"
	"sync/atomic"
)

// ReadyCheck is a further condition for readiness.
type ReadyCheck interface {
	Ready() bool
}

// ReadinessGroup is the fx tag under which plug-ins provide a ReadyCheck.
const ReadinessGroup = `group:"readiness"`

// Kind tells requests of callers from work of peers.
type Kind int

// Kinds of accepted requests.
const (
	FromCaller Kind = iota
	FromPeer
	kinds
)

// State tracks whether this process takes new work and how much it has accepted. The zero value is not usable.
type State struct {
	refused atomic.Uint64
	hurry   chan struct{}
	hurried sync.Once

	mu       sync.Mutex
	ready    bool
	stopping bool
	draining bool
	checks   []ReadyCheck
	accepted [kinds]int
	// ended is closed and replaced when a request ends.
	ended chan struct{}
}

// New returns a state that is neither ready nor draining.
func New() *State {
	return &State{hurry: make(chan struct{}), ended: make(chan struct{})}
}

// SetReady says that this process can serve. It has no effect once the process is stopping.
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

// Ready reports whether the balancer should send requests here.
func (s *State) Ready() bool {
	s.mu.Lock()
	ready, checks := s.ready && !s.stopping, s.checks
	s.mu.Unlock()
	for _, c := range checks {
		ready = ready && c.Ready()
	}
	return ready
}

// Begin accepts a caller's request unless new work is refused. The returned function ends it.
func (s *State) Begin() (end func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.refused.Add(1)
		return nil, false
	}
	return s.accept(FromCaller), true
}

// BeginPeer counts a peer's call. Peers' calls are never refused here: until every peer knows that this VM leaves,
// they bring leaf requests for targets that only this VM may send to.
func (s *State) BeginPeer() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accept(FromPeer)
}

func (s *State) accept(k Kind) func() {
	s.accepted[k]++
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepted[k]--
		close(s.ended)
		s.ended = make(chan struct{})
	})
}

// Accepted returns how many requests of the kind are running.
func (s *State) Accepted(k Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted[k]
}

// Refused returns how many callers' requests were refused because the process was draining.
func (s *State) Refused() uint64 { return s.refused.Load() }

// Draining reports whether new work of callers is refused.
func (s *State) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Hurry ends a drain at once; requests that still run are cut off.
func (s *State) Hurry() { s.hurried.Do(func() { close(s.hurry) }) }

// Stopping reports whether the process has begun to stop.
func (s *State) Stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Stop makes the process not ready for good. Drain does so by itself.
func (s *State) Stop() { s.stop() }

// Refuse makes new work of callers refused. Drain does so by itself.
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
