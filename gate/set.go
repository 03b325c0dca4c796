package gate

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
)

// queuePerSlot is the maximum number of waiting requests for each slot of a target.
const queuePerSlot = 16

// Timing of handovers.
const (
	// handoverPoll is the interval between calls to a previous owner whose last requests are still running.
	handoverPoll = 50 * time.Millisecond
	// retiredTTL is how long the state of a released target is kept for its next owner. It is several times the time in
	// which that owner requests the handover.
	retiredTTL = 10 * time.Second
)

// HandoverClient calls previous owners. Handover makes the VM at address stop granting slots of targets, and returns
// their states; from is the successor.
type HandoverClient interface {
	Handover(ctx context.Context, address string, from ident.VMID, targets []ident.TargetID) ([]HandoverState, error)
}

// RunnerFactory opens runners. Each runner holds this owner's share of the connections to the target at address.
type RunnerFactory interface {
	Open(address string, connections int) Runner
}

// Options are the parameters and dependencies of a Set.
type Options struct {
	Self           ident.VMID
	Clock          clockwork.Clock
	Rules          Rules
	Runners        RunnerFactory
	HandoverClient HandoverClient
}

// Set holds the gates of the targets that this VM owns, as given by the placement plan. Reading the gates takes no
// lock.
type Set struct {
	Options
	gates atomic.Pointer[map[ident.TargetID]*Gate]
	// baselines holds the latency of warm targets, in nanoseconds, by service.
	baselines sync.Map // ident.ServiceID -> *atomic.Int64

	// mu serializes changes of ownership.
	mu      sync.Mutex
	plan    *placement.Plan
	retired map[ident.TargetID]retiredGate
	// moved are the released gates of targets whose address changed.
	moved     []retiredGate
	ctx       context.Context
	cancel    context.CancelFunc
	handovers sync.WaitGroup
}

type retiredGate struct {
	*Gate
	retiredAt time.Time
}

// closeIfExpired closes the connections of a gate that was released more than retiredTTL ago and runs no requests. It
// reports whether the gate is no longer needed.
func (r retiredGate) closeIfExpired(now time.Time) bool {
	if now.Sub(r.retiredAt) <= retiredTTL || !r.idle() {
		return false
	}
	if c, ok := r.runner.(ConnectionPool); ok {
		c.Close()
	}
	return true
}

// NewSet returns a Set without targets.
func NewSet(o Options) *Set {
	s := &Set{Options: o, retired: map[ident.TargetID]retiredGate{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.gates.Store(&map[ident.TargetID]*Gate{})
	return s
}

// Close stops the handovers that are in progress and waits for them to end.
func (s *Set) Close() {
	s.cancel()
	s.handovers.Wait()
}

// Settled reports whether this VM may use its whole share of every target that it owns. It is false before the first
// plan.
func (s *Set) Settled() bool {
	s.mu.Lock()
	planned := s.plan != nil
	s.mu.Unlock()
	for _, g := range *s.gates.Load() {
		if !g.settled() {
			return false
		}
	}
	return planned
}

// planChange collects the new gates, and the previous owners to take over from, while one plan is applied.
type planChange struct {
	plan  *placement.Plan
	gates map[ident.TargetID]*Gate
	// planWithoutSelf is the plan as it would be without this VM. Its owners count as the previous owners when there is
	// no older plan.
	planWithoutSelf *placement.Plan
	takeovers       map[ident.VMID][]*Gate
}

// Apply opens gates for the targets that the plan gives to this VM, and releases the gates of all others. It does not
// wait for handovers.
func (s *Set) Apply(plan *placement.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(plan)
}

// Reacquire releases every target and takes it over again under the current plan, as a newly started process does. It
// is called after a pause of this process so long that other VMs may have replaced this VM as an owner meanwhile.
func (s *Set) Reacquire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan, old := s.plan, *s.gates.Load()
	if plan == nil {
		return
	}
	empty := map[ident.TargetID]*Gate{}
	s.gates.Store(&empty)
	s.retire(old, empty)
	s.plan = nil
	s.apply(plan)
}

func (s *Set) apply(plan *placement.Plan) {
	old := *s.gates.Load()
	c := &planChange{plan: plan, gates: make(map[ident.TargetID]*Gate, len(old)), takeovers: map[ident.VMID][]*Gate{}}
	plan.Targets(func(t *placement.Target) {
		if share, own := t.OwnedBy(s.Self); own {
			limits := Limits{Slots: share.Slots, ColdSlots: share.ColdSlots, Connections: share.Connections,
				Queue: share.Slots * queuePerSlot}
			g := s.gateFor(c, t, old[t.ID], limits)
			g.setSoleOwner(len(t.Owners) == 1)
			c.gates[t.ID] = g
		}
	})
	s.gates.Store(&c.gates)
	s.retire(old, c.gates)
	for id, r := range s.retired {
		if t, ok := plan.Target(id); ok {
			r.addSuccessors(t.Owners)
		}
	}
	s.plan = plan
	for _, g := range c.gates {
		g.Recheck()
	}
	for vm, gates := range c.takeovers {
		s.requestHandovers(plan, vm, gates)
	}
}

// gateFor returns the gate of a target that the plan gives to this VM: g if it has the same address, else a retired or
// a new gate. It begins a takeover if one is needed.
func (s *Set) gateFor(c *planChange, t *placement.Target, g *Gate, limits Limits) *Gate {
	shrinking := s.previousOwners(c, t)
	if g != nil && g.address == t.Address {
		if previous := g.assign(limits, shrinking, t.Owners); len(previous) > 0 {
			g.takeOver(limits, previous)
			c.takeOverFrom(g, previous)
		}
		return g
	}
	moved := g != nil
	if r, ok := s.retired[t.ID]; ok && r.address == t.Address {
		// Requests from the earlier ownership may still run, and go on counting against the slots.
		g = r.Gate
		delete(s.retired, t.ID)
	} else {
		g = New(t.ID, t.Address, limits, s.Runners.Open(t.Address, limits.Connections), s.Clock, s.Rules)
		shared, _ := s.baselines.LoadOrStore(t.Service, new(atomic.Int64))
		g.cold.sharedBaseline = shared.(*atomic.Int64)
	}
	// A gate for a changed address starts without a takeover.
	if moved {
		g.Recheck()
		return g
	}
	g.release()
	g.takeOver(limits, shrinking)
	c.takeOverFrom(g, shrinking)
	return g
}

// previousOwners returns the other VMs that held a larger share of the target before this plan.
func (s *Set) previousOwners(c *planChange, t *placement.Target) []ident.VMID {
	var before *placement.Target
	if s.plan != nil {
		before, _ = s.plan.Target(t.ID)
	}
	shrinking := s.shrinkingOwners(before, t)
	if len(shrinking) > 0 || before != nil && !slices.ContainsFunc(before.Owners, s.isSelf) {
		return shrinking
	}
	if g := (*s.gates.Load())[t.ID]; g != nil && g.settled() {
		return nil
	}
	// Without an older plan, or while a takeover is still in progress, the previous owners are those that the plan would
	// name without this VM.
	if c.planWithoutSelf == nil {
		c.planWithoutSelf = c.plan.Without(s.Self)
	}
	before, _ = c.planWithoutSelf.Target(t.ID)
	return s.shrinkingOwners(before, t)
}

func (s *Set) isSelf(o placement.Owner) bool { return o.VM == s.Self }

// shrinkingOwners returns the other VMs that have more slots in before than in now.
func (s *Set) shrinkingOwners(before, now *placement.Target) []ident.VMID {
	if before == nil {
		return nil
	}
	var shrinking []ident.VMID
	for _, o := range before.Owners {
		if left, _ := now.OwnedBy(o.VM); o.VM != s.Self && left.Slots < o.Slots {
			shrinking = append(shrinking, o.VM)
		}
	}
	return shrinking
}

// takeOverFrom records the VMs that the gate takes over from.
func (c *planChange) takeOverFrom(g *Gate, previous []ident.VMID) {
	for _, vm := range previous {
		c.takeovers[vm] = append(c.takeovers[vm], g)
	}
}

// retire releases the gates that are no longer owned, and drops the gates released earlier whose state no successor
// will request any more.
func (s *Set) retire(old, next map[ident.TargetID]*Gate) {
	now := s.Clock.Now()
	for id, r := range s.retired {
		if r.closeIfExpired(now) {
			delete(s.retired, id)
		}
	}
	s.moved = slices.DeleteFunc(s.moved, func(r retiredGate) bool { return r.closeIfExpired(now) })
	for id, g := range old {
		switch next[id] {
		case g:
			continue
		case nil:
			s.retired[id] = retiredGate{g, now}
		default:
			s.moved = append(s.moved, retiredGate{g, now})
		}
		g.release()
	}
}

// requestHandovers calls a previous owner to hand over the targets of the gates, and repeats the call until the last
// requests that the owner runs have finished. The calls are made in the background.
func (s *Set) requestHandovers(plan *placement.Plan, vm ident.VMID, gates []*Gate) {
	member, ok := plan.View().Lookup(vm)
	if !ok || member.State == membership.Dead {
		for _, g := range gates {
			g.onHandoverFailure(vm)
		}
		return
	}
	s.handovers.Go(func() {
		for {
			s.requestHandover(member, gates)
			if gates = slices.DeleteFunc(gates, func(g *Gate) bool { return !g.awaitsHandover(vm) }); len(gates) == 0 {
				return
			}
			select {
			case <-s.Clock.After(handoverPoll):
			case <-s.ctx.Done():
				return
			}
		}
	})
}

// requestHandover makes one call to a previous owner, and passes the states that it returns to the gates.
func (s *Set) requestHandover(member membership.Member, gates []*Gate) {
	ctx, cancel := clockwork.WithTimeout(s.ctx, s.Clock, TakeoverDelay)
	defer cancel()
	ids := make([]ident.TargetID, len(gates))
	for i, g := range gates {
		ids[i] = g.target
	}
	states, err := s.HandoverClient.Handover(ctx, member.Address, s.Self, ids)
	for _, g := range gates {
		i := slices.IndexFunc(states, func(st HandoverState) bool { return st.Target == g.target })
		if err != nil || i < 0 {
			g.onHandoverFailure(member.ID)
			continue
		}
		g.onHandover(member.ID, states[i])
	}
}

// ReleaseTo stops granting slots of the named targets at the request of a successor, and returns their states. Targets
// without a gate at this VM are left out: their last owner is another VM, and this VM cannot determine whether that one
// still grants slots.
func (s *Set) ReleaseTo(from ident.VMID, targets []ident.TargetID) []HandoverState {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]HandoverState, 0, len(targets))
	for _, id := range targets {
		g := (*s.gates.Load())[id]
		if r, ok := s.retired[id]; g == nil && ok {
			g = r.Gate
		}
		if g == nil || from == s.Self {
			continue
		}
		states = append(states, g.releaseTo(from, s.noThirdOwner(id, from)))
	}
	return states
}

// noThirdOwner reports whether this VM's plan names no owner of the target but this VM and from. With a third owner,
// the share that this VM releases may not be the one that from takes over.
func (s *Set) noThirdOwner(id ident.TargetID, from ident.VMID) bool {
	t, ok := s.plan.Target(id)
	return ok && !slices.ContainsFunc(t.Owners, func(o placement.Owner) bool { return o.VM != s.Self && o.VM != from })
}

// DoLeaf runs a leaf request if this VM owns its target; else it refuses the request with ReasonNotOwner.
func (s *Set) DoLeaf(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	g, ok := (*s.gates.Load())[r.Target]
	if !ok {
		return outcome.NotRunResult(outcome.ReasonNotOwner, "this VM does not own the target")
	}
	return g.Do(ctx, r)
}

// Successor returns the VM to which this VM handed over the target although its own plan has not changed yet.
func (s *Set) Successor(id ident.TargetID) (ident.VMID, bool) {
	g, ok := (*s.gates.Load())[id]
	if !ok {
		return "", false
	}
	return g.successor()
}

// Owned returns the number of targets that this VM owns.
func (s *Set) Owned() int { return len(*s.gates.Load()) }
