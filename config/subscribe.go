package config

import (
	"sync"
	"time"
)

// listenerWait bounds how long an acceptance waits for its listeners. Listeners normally finish within it, so that an
// accepted bundle is applied when Offer returns; one that blocks does not hold up the next version.
const listenerWait = 100 * time.Millisecond

// listener delivers bundles to one subscriber, one at a time and in rising order of version. Versions accepted while
// it is busy are merged into the newest.
type listener struct {
	f func(*InForce)

	mu      sync.Mutex
	pending *InForce
	// last is the highest version delivered.
	last uint64
	// idle is closed when nothing is pending or being delivered; nil while the listener is idle.
	idle chan struct{}
}

// OnChange registers a function that is called after acceptances, one call at a time, and at once if a bundle is in
// force. It may call the store. If it is slow it misses intermediate versions, never the newest.
func (s *Store) OnChange(f func(*InForce)) {
	l := &listener{f: f}
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	cur := s.current.Load()
	s.mu.Unlock()
	if cur != nil && l.add(cur) {
		l.run()
	}
}

func (s *Store) notify() {
	s.mu.Lock()
	cur, listeners := s.current.Load(), s.listeners
	s.mu.Unlock()
	if len(listeners) == 0 {
		return
	}
	timer := time.NewTimer(listenerWait)
	defer timer.Stop()
	for _, l := range listeners {
		if l.add(cur) {
			go l.run()
		}
	}
	for _, l := range listeners {
		select {
		case <-l.waitIdle():
		case <-timer.C:
			return
		}
	}
}

// add makes f the next delivery unless a newer one is pending. It reports whether the caller must run the listener.
func (l *listener) add(f *InForce) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil || l.pending.Bundle.Version < f.Bundle.Version {
		l.pending = f
	}
	if l.idle != nil {
		return false
	}
	l.idle = make(chan struct{})
	return true
}

func (l *listener) run() {
	for next := l.take(); next != nil; next = l.take() {
		l.f(next)
	}
}

// take returns the next delivery; without one it marks the listener idle and returns nil.
func (l *listener) take() *InForce {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.pending
	l.pending = nil
	if next == nil || next.Bundle.Version <= l.last {
		close(l.idle)
		l.idle = nil
		return nil
	}
	l.last = next.Bundle.Version
	return next
}

var alwaysIdle = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

func (l *listener) waitIdle() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle == nil {
		return alwaysIdle
	}
	return l.idle
}
