package gate

import (
	"context"
	"sync/atomic"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
)

// queuePerSlot is how many requests may wait for each slot of a target.
const queuePerSlot = 16

// Set holds the gates of the targets this VM owns. It follows the placement plan; readers take no lock.
type Set struct {
	self   ident.VMID
	runner Runner
	gates  atomic.Pointer[map[ident.TargetID]*Gate]
}

// NewSet returns an empty set for the VM.
func NewSet(self ident.VMID, runner Runner) *Set {
	s := &Set{self: self, runner: runner}
	s.gates.Store(&map[ident.TargetID]*Gate{})
	return s
}

// Apply opens gates of targets that the plan gives to this VM and closes those of the others. Calls must not
// overlap.
func (s *Set) Apply(plan *placement.Plan) {
	old := *s.gates.Load()
	next := map[ident.TargetID]*Gate{}
	plan.Targets(func(t *placement.Target) {
		share, own := t.OwnedBy(s.self)
		if !own {
			return
		}
		if g, ok := old[t.ID]; ok && g.address == t.Address {
			next[t.ID] = g
			return
		}
		limits := Limits{Slots: share.Slots, ColdSlots: share.ColdSlots, Queue: share.Slots * queuePerSlot}
		next[t.ID] = New(t.ID, t.Address, limits, s.runner)
	})
	s.gates.Store(&next)
}

// DoLeaf runs a leaf request if this VM owns its target.
func (s *Set) DoLeaf(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	g, ok := (*s.gates.Load())[r.Target]
	if !ok {
		return outcome.LeafRefused(outcome.ReasonNotOwner, "this VM does not own the target")
	}
	return g.Do(ctx, r)
}

// Owned returns how many targets this VM owns.
func (s *Set) Owned() int { return len(*s.gates.Load()) }
