package gate

import (
	"slices"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
)

// TakeoverDelay is how long a new owner waits before its first send when no previous owner hands over. It is longer
// than the 1 s in which the views of the VMs converge.
const TakeoverDelay = 2 * time.Second

// stage is where an owner stands in a change of ownership.
type stage uint8

const (
	// takingOver: this VM is the owner by its plan, and waits for a handover or the end of the delay.
	takingOver stage = iota
	// owned: this VM grants slots.
	owned
	// released: this VM grants nothing; running requests finish.
	released
)

// ownership is the part of a gate's state that follows changes of owner.
type ownership struct {
	stage stage
	// until is the end of the takeover delay, or of the time for which a share is released on request.
	until time.Time
	// previous are the owners this VM takes over from. asked holds those that have not answered yet; lost says that one
	// of them never will.
	previous []ident.VMID
	asked    map[ident.VMID]bool
	lost     bool
	// states are the answers of previous owners.
	states []State
	// unsure says that this VM lost the target before its own takeover or growth ended, so it cannot vouch for an earlier
	// owner.
	unsure bool
	// sole says that the last plan that gave the target to this VM named no other owner.
	sole bool
	// successors are the VMs that this VM has seen take the target over since it last owned it, with the time.
	successors map[ident.VMID]time.Time
	// inFlight is what previous owners still run; it occupies slots of this owner.
	inFlight map[ident.VMID]int
	// next is the share to take when the takeover ends.
	next Limits
}

// inherited returns how many slots previous owners still occupy.
func (o *ownership) inherited() int {
	n := 0
	for _, v := range o.inFlight {
		n += v
	}
	return n
}

// admit refuses a request that cannot outlast the takeover. While a handover may still arrive, requests wait for it.
func (o *ownership) admit(deadline time.Time) verdict {
	if o.stage == takingOver && (o.lost || len(o.asked) == 0) && deadline.Before(o.until) {
		return verdict{outcome.ReasonTakeover, "the previous owner may still send"}
	}
	return verdict{}
}

// State is what an owner tells its successor about a target.
type State struct {
	Target      ident.TargetID
	InFlight    int
	Limit       int
	Cold        bool
	Incarnation string
	// Released says that the previous owner has stopped granting slots.
	Released bool
}

// takeOver begins a change of owner: the share grows to next when every previous owner has handed over, or after
// TakeoverDelay. A share that this VM holds already stays in use meanwhile.
func (g *Gate) takeOver(next Limits, previous []ident.VMID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.owner
	o.next, o.previous, o.lost, o.states, o.unsure = next, previous, false, nil, false
	o.successors = nil
	o.until = g.clock.Now().Add(TakeoverDelay)
	o.asked = make(map[ident.VMID]bool, len(previous))
	for _, vm := range previous {
		o.asked[vm] = true
	}
	if o.stage != owned {
		// Whatever an earlier ownership knew of the target is out of date.
		o.stage, g.limits = takingOver, next
		g.cold.resize(next.usable(), next.ColdSlots)
		g.cold.restart()
	}
	g.clock.AfterFunc(TakeoverDelay, g.endDelay)
}

// setSole notes whether this VM is the only owner by its plan.
func (g *Gate) setSole(sole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owner.sole = sole
}

// settled reports whether no change of owner is under way.
func (g *Gate) settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner.stage == owned && len(g.owner.asked) == 0
}

// handedOver takes the state of one previous owner.
func (g *Gate) handedOver(from ident.VMID, s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.owner
	now := g.clock.Now()
	if o.inFlight == nil {
		o.inFlight = map[ident.VMID]int{}
	}
	o.inFlight[from] = s.InFlight
	if s.InFlight == 0 {
		delete(o.inFlight, from)
	}
	if s.Released && o.asked[from] {
		delete(o.asked, from)
		o.states = append(o.states, s)
		if len(o.asked) == 0 {
			g.adopt()
			g.own(now)
		}
	}
	g.dispatch(now)
}

// adopt starts from what the previous owners know of the target: warm only if all of them found the same incarnation
// warm.
func (g *Gate) adopt() {
	if g.owner.stage != takingOver {
		return
	}
	states := g.owner.states
	limit, cold := states[0].Limit, false
	for _, s := range states {
		if s.Incarnation == "" || s.Incarnation != states[0].Incarnation {
			return
		}
		limit, cold = min(limit, s.Limit), cold || s.Cold
	}
	g.cold.incarnation, g.cold.cold = states[0].Incarnation, cold
	g.cold.limit = max(g.cold.limit, min(limit, g.owner.next.usable()))
	g.cold.normKnown = !cold
	if g.cold.limit > g.owner.next.ColdSlots {
		g.cold.need = warmRun * g.cold.limit
	}
}

// noHandover notes that a previous owner does not answer: what it ran, it may still run until the delay ends.
func (g *Gate) noHandover(from ident.VMID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.owner
	if o.asked[from] {
		o.lost = true
		return
	}
	if o.inFlight[from] > 0 {
		g.clock.AfterFunc(TakeoverDelay, func() { g.forget(from) })
	}
}

func (g *Gate) forget(from ident.VMID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.owner.inFlight, from)
	g.dispatch(g.clock.Now())
}

// own puts the next share in force.
func (g *Gate) own(now time.Time) {
	g.owner.stage, g.owner.asked = owned, nil
	g.limits = g.owner.next
	g.cold.resize(g.limits.usable(), g.limits.ColdSlots)
	g.hold(now)
	g.dispatch(now)
}

// endDelay ends a takeover without a handover, or takes back a share that was released on request and that the plan
// still gives to this VM. Either way the target counts as cold.
func (g *Gate) endDelay() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	o := &g.owner
	waiting := o.stage == takingOver || len(o.asked) > 0 || o.stage == released && !o.until.IsZero()
	if !waiting || now.Before(o.until) {
		return
	}
	if o.stage != owned {
		g.cold.restart()
	}
	g.own(now)
}

// assign follows a plan that keeps the target with this VM. A smaller share is in force at once, and running requests
// above it finish. A larger one waits for the owners that lose it, named by losers; assign returns those to take over
// from, if any. owners are all owners by the plan.
func (g *Gate) assign(next Limits, losers []ident.VMID, owners []placement.Owner) []ident.VMID {
	g.mu.Lock()
	defer g.mu.Unlock()
	o, now := &g.owner, g.clock.Now()
	switch o.stage {
	case takingOver:
		o.next = next
		if slices.Equal(o.previous, losers) {
			return nil
		}
		return losers
	case released:
		// The share went to successors on request. If no plan follows that moves it, it comes back after TakeoverDelay.
		o.next = next
		if len(losers) == 0 && !o.onlyHolder("", owners, now) {
			return nil
		}
		return o.withSuccessors(losers)
	}
	pending := len(o.asked) > 0
	grows := next.Slots > g.limits.Slots || next.ColdSlots > g.limits.ColdSlots || next.Connections > g.limits.Connections
	waits := grows && (pending || len(losers) > 0)
	o.next = next
	if waits {
		next = next.min(g.limits)
	} else {
		o.asked = nil
	}
	g.limits = next
	g.cold.resize(next.usable(), next.ColdSlots)
	g.hold(now)
	g.dispatch(now)
	if !waits || pending && slices.Equal(o.previous, losers) {
		return nil
	}
	return losers
}

// withSuccessors adds the VMs that took the target over to those that lose it.
func (o *ownership) withSuccessors(losers []ident.VMID) []ident.VMID {
	all := slices.Clone(losers)
	for vm := range o.successors {
		if !slices.Contains(all, vm) {
			all = append(all, vm)
		}
	}
	slices.Sort(all)
	return all
}

// awaits reports whether a previous owner has to be asked again: it has not handed over, or still runs requests.
func (g *Gate) awaits(vm ident.VMID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner.asked[vm] && !g.owner.lost || g.owner.inFlight[vm] > 0
}

// release stops granting for good: the plan gives the target to others.
func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owner.unsure = g.owner.unsure || g.owner.stage == takingOver || len(g.owner.asked) > 0
	g.owner.stage, g.owner.until, g.owner.asked = released, time.Time{}, nil
	now := g.clock.Now()
	g.hold(now)
	g.recheck(now)
}

// handOver stops granting because a successor asks for it, and reports the state. If this VM's plan does not follow
// within TakeoverDelay, the share is taken back in cold start. Where this VM cannot vouch that nobody else holds the
// share, it changes nothing, and the successor waits for the delay: solely says that its plan names no third VM.
func (g *Gate) handOver(from ident.VMID, solely bool) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	o := &g.owner
	// During its own takeover this VM grants nothing, but an earlier owner may.
	vouches := solely && o.sole && o.stage != takingOver && len(o.asked) == 0 && !o.unsure && o.onlyHolder(from, nil, now)
	if vouches {
		o.succeededBy(from, now)
	}
	if vouches && o.stage == owned {
		o.next = g.limits
		o.stage, o.until = released, now.Add(TakeoverDelay)
		g.clock.AfterFunc(TakeoverDelay, g.endDelay)
		g.hold(now)
		g.recheck(now)
	}
	return State{Target: g.target, InFlight: g.running + o.inherited(), Limit: g.cold.limit, Cold: g.cold.cold,
		Incarnation: g.cold.incarnation, Released: vouches}
}

func (o *ownership) succeededBy(vm ident.VMID, now time.Time) {
	if o.successors == nil {
		o.successors = map[ident.VMID]time.Time{}
	}
	o.successors[vm] = now
}

// onlyHolder reports whether no third VM can hold the share that a successor asks for. A third VM that took over longer
// ago than views need to converge is known to the successor as well.
func (o *ownership) onlyHolder(from ident.VMID, owners []placement.Owner, now time.Time) bool {
	for vm, since := range o.successors {
		named := slices.ContainsFunc(owners, func(p placement.Owner) bool { return p.VM == vm })
		if vm != from && !named && now.Sub(since) < 2*TakeoverDelay {
			return false
		}
	}
	return true
}

// successor returns the VM that the share was released to on request.
func (g *Gate) successor() (ident.VMID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner.stage != released || len(g.owner.successors) != 1 {
		return "", false
	}
	for vm := range g.owner.successors {
		return vm, true
	}
	return "", false
}

// succeed notes the owners that a plan names for a target that this VM no longer owns.
func (g *Gate) succeed(owners []placement.Owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range owners {
		g.owner.succeededBy(p.VM, g.clock.Now())
	}
}

// idle reports whether nothing runs.
func (g *Gate) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running == 0
}
