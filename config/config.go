// Package config stores the configuration bundle in force on this VM and decides whether a newly offered bundle
// replaces it. Readers on the request path get an immutable value without taking a lock.
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

// InForce is the bundle that this VM currently applies. It is immutable.
type InForce struct {
	*bundle.Verified
	// Since is the time at which this VM accepted the bundle.
	Since time.Time
	// Previous is the bundle that was in force before; it is nil if there was none. Comparing the two bundles shows
	// which zones were put back in service; the gradual return of work to such a zone starts at Since.
	Previous *bundle.Verified
	// Unconfirmed is true if the bundle was accepted before any peer could be asked for a newer version, and no peer has
	// reported since that its version is not newer.
	Unconfirmed bool
}

// Source provides the bundle in force.
type Source interface {
	// Current returns the bundle in force, or nil if there is none yet.
	Current() *InForce
}

// Verdict is the outcome of offering a bundle to a Store.
type Verdict string

// Verdicts.
const (
	Accepted Verdict = "accepted"
	// Same: the offered bundle is the one in force.
	Same Verdict = "current"
	// Older: the offered version is lower than the one in force and is ignored.
	Older Verdict = "older"
	// Conflict: the offered bundle has the version in force but different content; operators must publish a higher
	// version.
	Conflict Verdict = "conflict"
	// Refused: the bundle failed verification, or its keyring does not descend from the one in force.
	Refused Verdict = "refused"
)

// Decision is the result of offering a bundle to a Store.
type Decision struct {
	Verdict Verdict
	Reason  string
	// InForce is the bundle in force after the decision, or nil if there is none yet.
	InForce *InForce
}

// Alarm records that bundles with different content were signed with the same version. It is cleared when a higher
// version is accepted.
type Alarm struct {
	Version uint64
	// InForce is the digest of the bundle in force.
	InForce bundle.Digest
	// Offered holds the digests of the distinct conflicting bundles, the latest last. Once it has maxAlarmDigests
	// entries, no more are added.
	Offered []bundle.Digest
	// Signers signed the bundle of the latest conflicting offer.
	Signers []string
	// Since is the time of the first conflicting offer.
	Since time.Time
	// Count is the number of conflicting offers of this version.
	Count uint64
}

// maxAlarmDigests bounds Alarm.Offered. More than two contents of one version already mean that the operators' tools
// are faulty.
const maxAlarmDigests = 8

// Covers reports whether the digest is in Offered, or Offered is full.
func (a *Alarm) Covers(digest []byte) bool {
	return len(a.Offered) >= maxAlarmDigests ||
		slices.ContainsFunc(a.Offered, func(d bundle.Digest) bool { return bytes.Equal(d[:], digest) })
}

// Store holds the bundle in force. It is safe for concurrent use.
type Store struct {
	clock clockwork.Clock
	root  bundle.Keyring

	current   atomic.Pointer[InForce]
	alarm     atomic.Pointer[Alarm]
	conflicts atomic.Uint64

	// mu serializes decisions and guards listeners. Readers do not take it, and no listener runs while it is held.
	mu        sync.Mutex
	listeners []*listener
}

// NewStore returns an empty store that verifies bundles against the root keyring.
func NewStore(clock clockwork.Clock, root bundle.Keyring) *Store {
	return &Store{clock: clock, root: root}
}

// Current returns the bundle in force without taking a lock. It returns nil if no bundle is in force yet.
func (s *Store) Current() *InForce { return s.current.Load() }

// Conflicts returns the number of offers so far that had the version in force but different content.
func (s *Store) Conflicts() uint64 { return s.conflicts.Load() }

// Alarm returns the conflict recorded for the version in force. It returns nil if no conflict is recorded.
func (s *Store) Alarm() *Alarm { return s.alarm.Load() }

// Offer verifies a signed bundle and puts it in force if the rules allow it. If the bundle was accepted, Offer returns
// when the listeners have run, but after listenerWait at the latest.
func (s *Store) Offer(raw []byte) Decision { return s.offer(raw, false) }

// OfferUnconfirmed is like Offer, but marks an accepted bundle as unconfirmed. It is for bundles that were read from
// the platform before any peer could be asked for a newer version.
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
			s.raiseAlarm(cur.Verified, offered)
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

// raiseAlarm counts the conflict and adds it to the alarm of the version in force. The caller holds mu.
func (s *Store) raiseAlarm(cur, offered *bundle.Verified) {
	s.conflicts.Add(1)
	alarm := &Alarm{Version: cur.Bundle.Version, InForce: cur.Digest, Offered: []bundle.Digest{offered.Digest},
		Signers: offered.Signers, Since: s.clock.Now(), Count: 1}
	if old := s.alarm.Load(); old != nil {
		alarm.Since, alarm.Count = old.Since, old.Count+1
		if old.Covers(offered.Digest[:]) {
			alarm.Offered = old.Offered
		} else {
			alarm.Offered = append(slices.Clone(old.Offered), offered.Digest)
		}
	}
	s.alarm.Store(alarm)
}

// Confirm clears Unconfirmed. It is called when a peer has reported that its version is not newer than the one in
// force. Listeners are not called, because the bundle stays the same.
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
