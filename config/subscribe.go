package config

import (
	"sync"
	"time"
)

// listenerWait bounds how long Offer waits for listeners after it accepts a bundle. Listeners normally finish within
// this time, so that the bundle is applied when Offer returns; a listener that blocks does not delay the next version.
const listenerWait = 100 * time.Millisecond

// listener delivers bundles to one callback, one at a time and in ascending order of version. While a delivery is in
// progress, only the newest accepted version is kept for the next one.
type listener struct {
	callback func(*InForce)

	mu      sync.Mutex
	pending *InForce
	// lastVersion is the highest version delivered.
	lastVersion uint64
	// idle is nil while the listener is idle. Otherwise it is a channel that is closed once nothing is pending and no
	// delivery is in progress.
	idle chan struct{}
}

// OnChange registers a callback for accepted bundles. If a bundle is already in force, the callback runs before
// OnChange returns. Calls do not overlap, and the callback may call the store. A slow callback may miss intermediate
// versions, but always gets the newest.
func (s *Store) OnChange(callback func(*InForce)) {
	l := &listener{callback: callback}
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	cur := s.current.Load()
	s.mu.Unlock()
	if cur != nil && l.enqueue(cur) {
		l.run()
	}
}

// notify delivers the bundle in force to all listeners and waits up to listenerWait for them.
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
		if l.enqueue(cur) {
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

// enqueue makes next the pending delivery unless the same or a newer version is pending. It reports whether the listener
// was idle; the caller must then call run.
func (l *listener) enqueue(next *InForce) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending == nil || l.pending.Bundle.Version < next.Bundle.Version {
		l.pending = next
	}
	if l.idle != nil {
		return false
	}
	l.idle = make(chan struct{})
	return true
}

// run delivers until nothing is pending.
func (l *listener) run() {
	for next := l.dequeue(); next != nil; next = l.dequeue() {
		l.callback(next)
	}
}

// dequeue returns the pending bundle. If there is none, or its version is not above lastVersion, dequeue marks the
// listener idle and returns nil.
func (l *listener) dequeue() *InForce {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.pending
	l.pending = nil
	if next == nil || next.Bundle.Version <= l.lastVersion {
		close(l.idle)
		l.idle = nil
		return nil
	}
	l.lastVersion = next.Bundle.Version
	return next
}

// closedChan is a closed channel.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// waitIdle returns a channel that is closed once the listener is idle.
func (l *listener) waitIdle() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle == nil {
		return closedChan
	}
	return l.idle
}
