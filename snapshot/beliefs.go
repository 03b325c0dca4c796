// Package snapshot keeps beliefs about which snapshots targets hold and chooses the snapshot that a query is pinned
// to.
package snapshot

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/ident"
)

// Ages beyond which a belief no longer counts.
const (
	// HeldMaxAge bounds the belief that a target holds a snapshot. A shard in use renews it with each reply.
	HeldMaxAge = time.Minute
	// LackedMaxAge bounds the belief that a target lacks a snapshot. It is shorter because targets load new snapshots
	// while no request goes to them. Until it is asked again a target gets no hedges for a snapshot it lacked.
	LackedMaxAge = time.Second
)

// State is what is believed of one target and one snapshot.
type State uint8

// States of a belief.
const (
	// Unknown: the target never said anything, or its word that it lacks the snapshot is old.
	Unknown State = iota
	Holds
	// HeldBefore: the target held the snapshot when it last replied, longer than HeldMaxAge ago.
	HeldBefore
	Lacks
)

// Reply is what one reply says of the snapshots its target holds.
type Reply struct {
	Target ident.TargetID
	// Incarnation is empty if no target replied; then the rest says nothing.
	Incarnation string
	Held        []ident.SnapshotID
	// Sent is when the request was sent; replies may arrive in another order.
	Sent time.Time
}

// Beliefs is safe for concurrent use; readers take no lock.
type Beliefs struct {
	clock   clockwork.Clock
	targets sync.Map // ident.TargetID to *entry
}

type entry struct {
	mu      sync.Mutex
	current atomic.Pointer[belief]
}

// belief is immutable.
type belief struct {
	held    []ident.SnapshotID
	sent    time.Time
	learned time.Time
}

// NewBeliefs returns beliefs in which nothing is known.
func NewBeliefs(clock clockwork.Clock) *Beliefs { return &Beliefs{clock: clock} }

// Learn takes in a reply. A reply to a request older than the one behind the belief changes nothing: it may come from
// an earlier incarnation, whose late replies must not bring back what the target no longer holds. Any other reply
// replaces everything believed of the target.
func (b *Beliefs) Learn(r Reply) {
	if r.Incarnation == "" || len(r.Held) == 0 {
		return
	}
	value, ok := b.targets.Load(r.Target)
	if !ok {
		value, _ = b.targets.LoadOrStore(r.Target, &entry{})
	}
	e := value.(*entry)
	e.mu.Lock()
	defer e.mu.Unlock()
	cur := e.current.Load()
	if cur != nil && r.Sent.Before(cur.sent) {
		return
	}
	next := &belief{sent: r.Sent, learned: b.clock.Now()}
	if cur != nil && slices.Equal(cur.held, r.Held) {
		next.held = cur.held
	} else {
		next.held = slices.Clone(r.Held)
	}
	e.current.Store(next)
}

// State returns what is believed of the target and the snapshot.
func (b *Beliefs) State(target ident.TargetID, snapshot ident.SnapshotID) State {
	value, ok := b.targets.Load(target)
	if !ok {
		return Unknown
	}
	cur := value.(*entry).current.Load()
	if cur == nil {
		return Unknown
	}
	age := b.clock.Since(cur.learned)
	switch held := slices.Contains(cur.held, snapshot); {
	case held && age <= HeldMaxAge:
		return Holds
	case held:
		return HeldBefore
	case age <= LackedMaxAge:
		return Lacks
	default:
		return Unknown
	}
}

// Prune forgets the targets that keep does not name, which bounds memory when bundles replace targets.
func (b *Beliefs) Prune(keep func(ident.TargetID) bool) {
	b.targets.Range(func(key, _ any) bool {
		if !keep(key.(ident.TargetID)) {
			b.targets.Delete(key)
		}
		return true
	})
}
