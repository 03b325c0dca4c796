// Package lifecycle counts accepted requests and tells the rest of the daemon when it is draining.
package lifecycle

import (
	"context"
	"sync"
)

// State tracks whether this process takes new work and how much it has accepted. The zero value is not usable.
type State struct {
	mu       sync.Mutex
	ready    bool
	draining bool
	accepted int
	idle     chan struct{}
}

// New returns a state that is neither ready nor draining.
func New() *State { return &State{idle: make(chan struct{})} }

// SetReady says that this process can serve.
func (s *State) SetReady(ready bool) {
	s.mu.Lock()
	s.ready = ready
	s.mu.Unlock()
}

// Ready reports whether the balancer should send requests here.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready && !s.draining
}

// Begin accepts a request unless new work is refused. The returned function ends it.
func (s *State) Begin() (end func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, false
	}
	s.accepted++
	return sync.OnceFunc(s.end), true
}

func (s *State) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted--
	s.closeIfIdle()
}

// NotReady turns readiness off while requests are still accepted: the balancer needs time to notice.
func (s *State) NotReady() { s.SetReady(false) }

// Drain refuses new requests and waits until the accepted ones have ended or the context ends. It returns how many
// were still running.
func (s *State) Drain(ctx context.Context) int {
	s.mu.Lock()
	s.draining = true
	s.closeIfIdle()
	s.mu.Unlock()
	select {
	case <-s.idle:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

func (s *State) closeIfIdle() {
	if s.draining && s.accepted == 0 && !s.idleClosed() {
		close(s.idle)
	}
}

func (s *State) idleClosed() bool {
	select {
	case <-s.idle:
		return true
	default:
		return false
	}
}
