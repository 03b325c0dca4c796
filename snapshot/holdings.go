// Package snapshot records which snapshots the targets reported to hold, and chooses the snapshot that a query is pinned
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

// Maximum ages of a target's last reply.
const (
	// HoldsMaxAge is how long a target counts as holding a snapshot that its last reply listed. Targets of shards in use
	// reply more often than that.
	HoldsMaxAge = time.Minute
	// LacksMaxAge is how long a target counts as lacking a snapshot that its last reply did not list. During that time
	// replica.Tracker does not choose it for the snapshot, not even for hedges. It is shorter than HoldsMaxAge because
	// targets load new snapshots while they get no requests.
	LacksMaxAge = time.Second
)

// State says whether a target holds a snapshot, as far as its last reply shows.
type State uint8

// States of a target and a snapshot.
const (
	// Unknown means that the target has never replied, or that its last reply did not list the snapshot and is older
	// than LacksMaxAge.
	Unknown State = iota
	// Holds means that the target's last reply listed the snapshot and is not older than HoldsMaxAge.
	Holds
	// HeldStale means that the target's last reply listed the snapshot, but is older than HoldsMaxAge.
	HeldStale
	// Lacks means that the target's last reply did not list the snapshot and is not older than LacksMaxAge.
	Lacks
)

// Reply is the list of held snapshots that a reply of a target states.
type Reply struct {
	Target ident.TargetID
	// Incarnation is the incarnation of the target. If it is empty, no target replied and Held is ignored.
	Incarnation string
	// Held lists the snapshots that the target holds; empty if the reply did not list them.
	Held []ident.SnapshotID
	// Sent is when the request was sent; replies may arrive in another order.
	Sent time.Time
}

// Holdings records the snapshots that each target last reported to hold. It is safe for concurrent use; readers take no
// lock.
type Holdings struct {
	clock   clockwork.Clock
	targets sync.Map // ident.TargetID to *targetEntry
}

// targetEntry holds the recorded reply of one target. Writers hold mu.
type targetEntry struct {
	mu     sync.Mutex
	latest atomic.Pointer[report]
}

// report is the recorded reply of one target. It is immutable.
type report struct {
	held     []ident.SnapshotID
	sent     time.Time
	received time.Time
}

// NewHoldings returns Holdings without any replies.
func NewHoldings(clock clockwork.Clock) *Holdings { return &Holdings{clock: clock} }

// Record records a reply. A reply to a request that was sent before the one of the recorded reply is ignored: it may
// come from an earlier incarnation, whose late replies must not bring back snapshots that the target no longer holds.
// Any other reply that lists snapshots replaces the recorded one.
func (h *Holdings) Record(r Reply) {
	if r.Incarnation == "" || len(r.Held) == 0 {
		return
	}
	value, ok := h.targets.Load(r.Target)
	if !ok {
		value, _ = h.targets.LoadOrStore(r.Target, &targetEntry{})
	}
	e := value.(*targetEntry)
	e.mu.Lock()
	defer e.mu.Unlock()
	cur := e.latest.Load()
	if cur != nil && r.Sent.Before(cur.sent) {
		return
	}
	next := &report{sent: r.Sent, received: h.clock.Now()}
	if cur != nil && slices.Equal(cur.held, r.Held) {
		next.held = cur.held
	} else {
		next.held = slices.Clone(r.Held)
	}
	e.latest.Store(next)
}

// State returns whether the target holds the snapshot, as far as its last reply shows.
func (h *Holdings) State(target ident.TargetID, snapshot ident.SnapshotID) State {
	value, ok := h.targets.Load(target)
	if !ok {
		return Unknown
	}
	cur := value.(*targetEntry).latest.Load()
	if cur == nil {
		return Unknown
	}
	age := h.clock.Since(cur.received)
	switch held := slices.Contains(cur.held, snapshot); {
	case held && age <= HoldsMaxAge:
		return Holds
	case held:
		return HeldStale
	case age <= LacksMaxAge:
		return Lacks
	default:
		return Unknown
	}
}

// Prune removes the targets for which keep returns false, which bounds the memory used when bundles replace targets.
func (h *Holdings) Prune(keep func(ident.TargetID) bool) {
	h.targets.Range(func(key, _ any) bool {
		if !keep(key.(ident.TargetID)) {
			h.targets.Delete(key)
		}
		return true
	})
}
