// Package config holds the bundle in force and the rules by which a VM accepts another one. Readers on the request
// path take an immutable value without a lock.
package config

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/bundle"
)

// InForce is the bundle that governs this VM. It is immutable.
type InForce struct {
	*bundle.Verified
	// Since is when this VM accepted it.
	Since time.Time
	// Previous is the bundle that was in force before, or nil; zone returns are paced from the change.
	Previous *bundle.Verified
	// Unconfirmed reports that no peer could be asked whether a newer version exists.
	Unconfirmed bool
}

// Source gives the bundle in force.
type Source interface {
	// Current returns the bundle in force, or nil if there is none yet.
	Current() *InForce
}

// Verdict says what became of an offered bundle.
type Verdict string

// Verdicts.
const (
	Accepted Verdict = "accepted"
	// Same: the offered bundle is the one in force.
	Same Verdict = "current"
	// Older: the offered version is lower than the one in force and is ignored.
	Older Verdict = "older"
	// Conflict: another content carries the version in force; operators must publish a higher version.
	Conflict Verdict = "conflict"
	// Refused: the bundle does not verify.
	Refused Verdict = "refused"
)

// Decision is the answer to an offer.
type Decision struct {
	Verdict Verdict
	Reason  string
	// InForce is what governs after the decision; nil if still none.
	InForce *InForce
}

// Store holds the bundle in force.
type Store struct {
	clock clockwork.Clock
	root  bundle.Keyring

	current   atomic.Pointer[InForce]
	conflicts atomic.Uint64

	// mu serialises acceptance; readers do not take it.
	mu        sync.Mutex
	listeners []func(*InForce)
}

// NewStore returns an empty store that trusts the root keyring.
func NewStore(clock clockwork.Clock, root bundle.Keyring) *Store {
	return &Store{clock: clock, root: root}
}

// Current returns the bundle in force without taking a lock, or nil.
func (s *Store) Current() *InForce { return s.current.Load() }

// Conflicts returns how many offers carried the version in force with another content.
func (s *Store) Conflicts() uint64 { return s.conflicts.Load() }

// OnChange registers a function that is called, in order and one at a time, after each acceptance. It must not
// block: the next acceptance waits for it.
func (s *Store) OnChange(f func(*InForce)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
	if cur := s.current.Load(); cur != nil {
		f(cur)
	}
}

// Offer verifies a signed bundle and puts it in force if its version is higher than the one in force.
func (s *Store) Offer(raw []byte) Decision {
	verified, err := bundle.Verify(raw, s.root)
	if err != nil {
		return Decision{Verdict: Refused, Reason: err.Error(), InForce: s.Current()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.current.Load()
	if cur != nil {
		if d, done := s.compare(cur, verified); done {
			return d
		}
	}
	next := &InForce{Verified: verified, Since: s.clock.Now()}
	if cur != nil {
		next.Previous = cur.Verified
	}
	s.current.Store(next)
	for _, f := range s.listeners {
		f(next)
	}
	return Decision{Verdict: Accepted, InForce: next}
}

func (s *Store) compare(cur *InForce, offered *bundle.Verified) (Decision, bool) {
	have, got := cur.Bundle.Version, offered.Bundle.Version
	switch {
	case got < have:
		return Decision{Verdict: Older, Reason: fmt.Sprintf("version %d is lower than %d in force", got, have), InForce: cur}, true
	case got == have && offered.Digest == cur.Digest:
		return Decision{Verdict: Same, InForce: cur}, true
	case got == have:
		s.conflicts.Add(1)
		reason := fmt.Sprintf("version %d has digest %s in force, offered %s", have, cur.Digest.Short(), offered.Digest.Short())
		return Decision{Verdict: Conflict, Reason: reason, InForce: cur}, true
	}
	return Decision{}, false
}
