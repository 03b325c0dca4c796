// Package config holds the bundle in force and the rules by which a VM accepts another one. Readers on the request
// path take an immutable value without a lock.
package config

import (
	"bytes"
	"slices"
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

// Alarm says that two bundles were signed with one version. It stays until a higher version is accepted.
type Alarm struct {
	Version uint64
	InForce bundle.Digest
	// Offered are the distinct contents that were refused, the latest last, up to maxAlarmDigests of them. Signers
	// signed the latest.
	Offered []bundle.Digest
	Signers []string
	Since   time.Time
	// Count is how many conflicting offers this version has had.
	Count uint64
}

// maxAlarmDigests bounds the contents that an alarm names. More than two are already a fault of the operators' tools.
const maxAlarmDigests = 8

// Names reports whether the alarm already names the digest, or can name no more.
func (a *Alarm) Names(digest []byte) bool {
	return len(a.Offered) >= maxAlarmDigests ||
		slices.ContainsFunc(a.Offered, func(d bundle.Digest) bool { return bytes.Equal(d[:], digest) })
}

// Store holds the bundle in force.
type Store struct {
	clock clockwork.Clock
	root  bundle.Keyring

	current   atomic.Pointer[InForce]
	alarm     atomic.Pointer[Alarm]
	conflicts atomic.Uint64

	// mu serialises acceptance; readers do not take it, and no listener runs under it.
	mu        sync.Mutex
	listeners []*listener
}

// NewStore returns an empty store that trusts the root keyring.
func NewStore(clock clockwork.Clock, root bundle.Keyring) *Store {
	return &Store{clock: clock, root: root}
}

// Current returns the bundle in force without taking a lock, or nil.
func (s *Store) Current() *InForce { return s.current.Load() }

// Conflicts returns how many offers carried the version in force with another content.
func (s *Store) Conflicts() uint64 { return s.conflicts.Load() }

// Alarm returns the conflict of the version in force, or nil.
func (s *Store) Alarm() *Alarm { return s.alarm.Load() }

// Offer verifies a signed bundle and puts it in force if the rules allow it. It returns when the listeners have
// run, or after listenerWait.
func (s *Store) Offer(raw []byte) Decision { return s.offer(raw, false) }

// OfferUnconfirmed is Offer for a bundle that was read while no peer could be asked for a newer one.
func (s *Store) OfferUnconfirmed(raw []byte) Decision { return s.offer(raw, true) }

func (s *Store) offer(raw []byte, unconfirmed bool) Decision {
	verified, err := bundle.Verify(raw, s.root)
	if err != nil {
		return Decision{Verdict: Refused, Reason: err.Error(), InForce: s.Current()}
	}
	d := s.decide(verified, unconfirmed)
	if d.Verdict == Accepted {
		s.notify()
	}
	return d
}

func (s *Store) decide(offered *bundle.Verified, unconfirmed bool) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.current.Load()
	next := &InForce{Verified: offered, Since: s.clock.Now(), Unconfirmed: unconfirmed}
	if cur != nil {
		verdict, reason := Judge(cur.Verified, offered)
		if verdict == Conflict {
			s.raise(cur.Verified, offered)
		}
		if verdict != Accepted {
			return Decision{Verdict: verdict, Reason: reason, InForce: cur}
		}
		next.Previous = cur.Verified
	}
	s.current.Store(next)
	s.alarm.Store(nil)
	return Decision{Verdict: Accepted, InForce: next}
}

func (s *Store) raise(cur, offered *bundle.Verified) {
	s.conflicts.Add(1)
	alarm := &Alarm{Version: cur.Bundle.Version, InForce: cur.Digest, Offered: []bundle.Digest{offered.Digest},
		Signers: offered.Signers, Since: s.clock.Now(), Count: 1}
	if old := s.alarm.Load(); old != nil {
		alarm.Since, alarm.Count = old.Since, old.Count+1
		if old.Names(offered.Digest[:]) {
			alarm.Offered = old.Offered
		} else {
			alarm.Offered = append(slices.Clone(old.Offered), offered.Digest)
		}
	}
	s.alarm.Store(alarm)
}

// Confirm records that a peer was asked and knows no newer version than the one in force. Listeners are not told,
// because the bundle stays the same.
func (s *Store) Confirm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur := s.current.Load()
	if cur == nil || !cur.Unconfirmed {
		return
	}
	confirmed := *cur
	confirmed.Unconfirmed = false
	s.current.Store(&confirmed)
}
