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

// queuePerSlot is how many requests may wait for each slot of a target.
const queuePerSlot = 16

// Timing of handovers.
const (
	// handoverPoll is how often a previous owner is asked again while its last requests finish.
	handoverPoll = 50 * time.Millisecond
	// retiredFor is how long the state of a lost target is kept for its next owner; it is several times the time in
	// which that owner asks.
	retiredFor = 10 * time.Second
)

// Predecessor asks a previous owner to stop granting slots of targets, and returns their states.
type Predecessor interface {
	Handover(ctx context.Context, address string, from ident.VMID, targets []ident.TargetID) ([]State, error)
}

// Targets opens the runner of a target; the runner holds the connections of this owner's share.
type Targets interface {
	Open(address string, connections int) Runner
}

// Options are the surroundings of a Set.
type Options struct {
	Self        ident.VMID
	Clock       clockwork.Clock
	Rules       Rules
	Targets     Targets
	Predecessor Predecessor
}

// Set holds the gates of the targets this VM owns. It follows the placement plan; readers take no lock.
type Set struct {
	Options
	gates atomic.Pointer[map[ident.TargetID]*Gate]
	// baselines hold the latency of warm targets for each service.
	baselines sync.Map // ident.ServiceID -> *atomic.Int64

	// mu serialises changes of ownership.
	mu      sync.Mutex
	plan    *placement.Plan
	retired map[ident.TargetID]retiredGate
	// moved are released gates of targets whose address changed.
	moved  []retiredGate
	ctx    context.Context
	cancel context.CancelFunc
	asking sync.WaitGroup
}

type retiredGate struct {
	*Gate
	since time.Time
}

// expired closes a gate that nobody needs any more.
func (r retiredGate) expired(now time.Time) bool {
	if now.Sub(r.since) <= retiredFor || !r.idle() {
		return false
	}
	if c, ok := r.runner.(Connections); ok {
		c.Close()
	}
	return true
}

// NewSet returns an empty set.
func NewSet(o Options) *Set {
	s := &Set{Options: o, retired: map[ident.TargetID]retiredGate{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.gates.Store(&map[ident.TargetID]*Gate{})
	return s
}

// Close ends the handovers that are under way.
func (s *Set) Close() {
	s.cancel()
	s.asking.Wait()
}

// Settled reports whether this VM may use its share of every target it owns. It is false before the first plan.
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

// change collects what one plan asks of previous owners.
type change struct {
	plan *placement.Plan
	next map[ident.TargetID]*Gate
	// without is the plan as it would be without this VM; it names the previous owners when there is no older plan.
	without *placement.Plan
	asks    map[ident.VMID][]*Gate
}

// Apply opens gates of targets that the plan gives to this VM and releases those of the others. It does not wait for
// handovers.
func (s *Set) Apply(plan *placement.Plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(plan)
}

// Reacquire gives up every target and takes it over again by the current plan, as a process does that starts. It is
// meant for a process that was paused for so long that its peers may have replaced it as an owner without its knowing.
func (s *Set) Reacquire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	plan, old := s.plan, *s.gates.Load()
	if plan == nil {
		return
	}
	none := map[ident.TargetID]*Gate{}
	s.gates.Store(&none)
	s.retire(old, none)
	s.plan = nil
	s.apply(plan)
}

func (s *Set) apply(plan *placement.Plan) {
	old := *s.gates.Load()
	c := &change{plan: plan, next: make(map[ident.TargetID]*Gate, len(old)), asks: map[ident.VMID][]*Gate{}}
	plan.Targets(func(t *placement.Target) {
		if share, own := t.OwnedBy(s.Self); own {
			limits := Limits{Slots: share.Slots, ColdSlots: share.ColdSlots, Connections: share.Connections,
				Queue: share.Slots * queuePerSlot}
			g := s.follow(c, t, old[t.ID], limits)
			g.setSole(len(t.Owners) == 1)
			c.next[t.ID] = g
		}
	})
	s.gates.Store(&c.next)
	s.retire(old, c.next)
	for id, r := range s.retired {
		if t, ok := plan.Target(id); ok {
			r.succeed(t.Owners)
		}
	}
	s.plan = plan
	for _, g := range c.next {
		g.Recheck()
	}
	for vm, gates := range c.asks {
		s.ask(plan, vm, gates)
	}
}

// follow brings the gate of one owned target in step with the plan.
func (s *Set) follow(c *change, t *placement.Target, g *Gate, limits Limits) *Gate {
	losers := s.losers(c, t)
	if g != nil && g.address == t.Address {
		if previous := g.assign(limits, losers, t.Owners); len(previous) > 0 {
			g.takeOver(limits, previous)
			c.ask(g, previous)
		}
		return g
	}
	moved := g != nil
	if r, ok := s.retired[t.ID]; ok && r.address == t.Address {
		// Requests from the earlier ownership may still run, and go on counting against the slots.
		g = r.Gate
		delete(s.retired, t.ID)
	} else {
		g = New(t.ID, t.Address, limits, s.Targets.Open(t.Address, limits.Connections), s.Clock, s.Rules)
		shared, _ := s.baselines.LoadOrStore(t.Service, new(atomic.Int64))
		g.cold.shared = shared.(*atomic.Int64)
	}
	if moved {
		g.Recheck()
		return g
	}
	g.release()
	g.takeOver(limits, losers)
	c.ask(g, losers)
	return g
}

// losers returns the other VMs that held more of the target before this plan.
func (s *Set) losers(c *change, t *placement.Target) []ident.VMID {
	var before *placement.Target
	if s.plan != nil {
		before, _ = s.plan.Target(t.ID)
	}
	losers := s.lose(before, t)
	if len(losers) > 0 || before != nil && !slices.ContainsFunc(before.Owners, s.isSelf) {
		return losers
	}
	if g := (*s.gates.Load())[t.ID]; g != nil && g.settled() {
		return nil
	}
	if c.without == nil {
		c.without = c.plan.Without(s.Self)
	}
	before, _ = c.without.Target(t.ID)
	return s.lose(before, t)
}

func (s *Set) isSelf(o placement.Owner) bool { return o.VM == s.Self }

func (s *Set) lose(before, now *placement.Target) []ident.VMID {
	if before == nil {
		return nil
	}
	var losers []ident.VMID
	for _, o := range before.Owners {
		if left, _ := now.OwnedBy(o.VM); o.VM != s.Self && left.Slots < o.Slots {
			losers = append(losers, o.VM)
		}
	}
	return losers
}

func (c *change) ask(g *Gate, previous []ident.VMID) {
	for _, vm := range previous {
		c.asks[vm] = append(c.asks[vm], g)
	}
}

// retire releases the gates that are no longer owned, and forgets those that no successor will ask for.
func (s *Set) retire(old, next map[ident.TargetID]*Gate) {
	now := s.Clock.Now()
	for id, r := range s.retired {
		if r.expired(now) {
			delete(s.retired, id)
		}
	}
	s.moved = slices.DeleteFunc(s.moved, func(r retiredGate) bool { return r.expired(now) })
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

// ask has a previous owner hand over the gates' targets, and asks again until its last requests have finished.
func (s *Set) ask(plan *placement.Plan, vm ident.VMID, gates []*Gate) {
	member, ok := plan.View().Lookup(vm)
	if !ok || member.State == membership.Dead {
		for _, g := range gates {
			g.noHandover(vm)
		}
		return
	}
	s.asking.Go(func() {
		for {
			s.askOnce(member, gates)
			if gates = slices.DeleteFunc(gates, func(g *Gate) bool { return !g.awaits(vm) }); len(gates) == 0 {
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

// askOnce tells the gates what a previous owner answers.
func (s *Set) askOnce(member membership.Member, gates []*Gate) {
	ctx, cancel := clockwork.WithTimeout(s.ctx, s.Clock, TakeoverDelay)
	defer cancel()
	ids := make([]ident.TargetID, len(gates))
	for i, g := range gates {
		ids[i] = g.target
	}
	states, err := s.Predecessor.Handover(ctx, member.Address, s.Self, ids)
	for _, g := range gates {
		i := slices.IndexFunc(states, func(st State) bool { return st.Target == g.target })
		if err != nil || i < 0 {
			g.noHandover(member.ID)
			continue
		}
		g.handedOver(member.ID, states[i])
	}
}

// HandOver stops granting slots of the named targets for a successor, and returns their states. It leaves out targets
// that this VM has no gate of: their last owner is another VM, for which it cannot vouch.
func (s *Set) HandOver(from ident.VMID, targets []ident.TargetID) []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make([]State, 0, len(targets))
	for _, id := range targets {
		g := (*s.gates.Load())[id]
		if r, ok := s.retired[id]; g == nil && ok {
			g = r.Gate
		}
		if g == nil || from == s.Self {
			continue
		}
		states = append(states, g.handOver(from, s.solely(id, from)))
	}
	return states
}

// solely reports whether this VM's plan gives the target to no third VM. With a third one, a share that this VM gives
// up may not be the one that the successor takes.
func (s *Set) solely(id ident.TargetID, from ident.VMID) bool {
	t, ok := s.plan.Target(id)
	return ok && !slices.ContainsFunc(t.Owners, func(o placement.Owner) bool { return o.VM != s.Self && o.VM != from })
}

// DoLeaf runs a leaf request if this VM owns its target.
func (s *Set) DoLeaf(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	g, ok := (*s.gates.Load())[r.Target]
	if !ok {
		return outcome.LeafRefused(outcome.ReasonNotOwner, "this VM does not own the target")
	}
	return g.Do(ctx, r)
}

// Successor returns the VM that this VM handed the target over to although its own plan does not follow yet.
func (s *Set) Successor(id ident.TargetID) (ident.VMID, bool) {
	g, ok := (*s.gates.Load())[id]
	if !ok {
		return "", false
	}
	return g.successor()
}

// Owned returns how many targets this VM owns.
func (s *Set) Owned() int { return len(*s.gates.Load()) }
