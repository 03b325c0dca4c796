package gate

import (
	"slices"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
)

// TakeoverDelay is how long a new owner waits before it sends the first request if a previous owner does not hand over.
// It is longer than the 1 s in which the membership views of the VMs converge.
const TakeoverDelay = 2 * time.Second

// stage is the state of a gate in a change of ownership.
type stage uint8

const (
	// takingOver: the plan gives the target to this VM, which waits for handovers or for the end of the takeover delay.
	takingOver stage = iota
	// owned: this VM grants slots.
	owned
	// released: this VM grants no slots; running requests finish.
	released
)

// ownership is the part of a gate's state that follows changes of ownership. An owner's share is the part of the
// target's slots and connections that the plan gives to that owner. Gate.mu guards it.
type ownership struct {
	stage stage
	// delayEnd is the end of the takeover delay or, for a share that was released on a successor's request, the time at
	// which this VM takes the share back if no plan has moved the share.
	delayEnd time.Time
	// previous are the owners that this VM takes over from. pending are those that have not handed over yet;
	// handoverFailed reports that at least one of them will not.
	previous       []ident.VMID
	pending        map[ident.VMID]bool
	handoverFailed bool
	// states are the handover responses of previous owners.
	states []HandoverState
	// takeoverIncomplete reports that this VM lost the target before its own takeover, or the growth of its share,
	// ended. This VM can then not exclude that an earlier owner still grants slots.
	takeoverIncomplete bool
	// soleOwner reports that the last plan that gave the target to this VM named no other owner.
	soleOwner bool
	// successors are the VMs that this VM has seen take over the target since it last owned it, each with the time of
	// the latest observation.
	successors map[ident.VMID]time.Time
	// inFlight is the number of requests that each previous owner still runs. They occupy slots of this owner.
	inFlight map[ident.VMID]int
	// next is the share that comes into force when the takeover ends.
	next Limits
}

// inherited returns the number of slots that requests of previous owners still occupy.
func (o *ownership) inherited() int {
	n := 0
	for _, v := range o.inFlight {
		n += v
	}
	return n
}

// admit refuses a request whose deadline is before the end of the takeover delay, if the takeover has to wait for that
// end. While a handover may still arrive, requests wait for it.
func (o *ownership) admit(deadline time.Time) decision {
	if o.stage == takingOver && (o.handoverFailed || len(o.pending) == 0) && deadline.Before(o.delayEnd) {
		return decision{outcome.ReasonTakeoverDelay, "a previous owner of the target may still send until the takeover delay ends"}
	}
	return decision{}
}

// HandoverState is what a previous owner reports about a target to its successor.
type HandoverState struct {
	Target      ident.TargetID
	InFlight    int
	Limit       int
	Cold        bool
	Incarnation string
	// Released reports that the previous owner has stopped granting slots, and that no other VM can hold the share.
	Released bool
}

// takeOver begins a change of ownership. The share given by next comes into force when every previous owner has handed
// over, or after TakeoverDelay. A share that this VM already holds stays in use in the meantime.
func (g *Gate) takeOver(next Limits, previous []ident.VMID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.owner
	o.next, o.previous, o.handoverFailed, o.states, o.takeoverIncomplete = next, previous, false, nil, false
	o.successors = nil
	o.delayEnd = g.clock.Now().Add(TakeoverDelay)
	o.pending = make(map[ident.VMID]bool, len(previous))
	for _, vm := range previous {
		o.pending[vm] = true
	}
	if o.stage != owned {
		// State that is left from an earlier ownership is out of date.
		o.stage, g.limits = takingOver, next
		g.cold.resize(next.usable(), next.ColdSlots)
		g.cold.restart()
	}
	g.clock.AfterFunc(TakeoverDelay, g.endDelay)
}

// setSoleOwner records whether the plan names no owner of the target but this VM.
func (g *Gate) setSoleOwner(soleOwner bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owner.soleOwner = soleOwner
}

// settled reports whether this VM owns the target and no change of ownership is in progress.
func (g *Gate) settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner.stage == owned && len(g.owner.pending) == 0
}

// onHandover records the state that one previous owner handed over.
func (g *Gate) onHandover(from ident.VMID, s HandoverState) {
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
	if s.Released && o.pending[from] {
		delete(o.pending, from)
		o.states = append(o.states, s)
		if len(o.pending) == 0 {
			g.adoptStates()
			g.activate(now)
		}
	}
	g.dispatch(now)
}

// adoptStates begins the new ownership with the cold-start state of the previous owners. The target counts as warm only
// if all of them reported the same incarnation as warm. g.mu must be held.
func (g *Gate) adoptStates() {
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
	g.cold.baselineIsWarm = !cold
	if g.cold.limit > g.owner.next.ColdSlots {
		g.cold.successesNeeded = successesPerSlot * g.cold.limit
	}
}

// onHandoverFailure records that a previous owner does not respond. That owner may go on sending, and its known
// requests may go on running, until the delay ends.
func (g *Gate) onHandoverFailure(from ident.VMID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := &g.owner
	if o.pending[from] {
		o.handoverFailed = true
		return
	}
	if o.inFlight[from] > 0 {
		g.clock.AfterFunc(TakeoverDelay, func() { g.dropInherited(from) })
	}
}

// dropInherited stops counting the requests of a previous owner.
func (g *Gate) dropInherited(from ident.VMID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.owner.inFlight, from)
	g.dispatch(g.clock.Now())
}

// activate brings the next share into force. g.mu must be held.
func (g *Gate) activate(now time.Time) {
	g.owner.stage, g.owner.pending = owned, nil
	g.limits = g.owner.next
	g.cold.resize(g.limits.usable(), g.limits.ColdSlots)
	g.resizePool(now)
	g.dispatch(now)
}

// endDelay ends a takeover without a handover, or takes back a share that was released on a successor's request and
// that the plan still gives to this VM. The target then counts as cold, unless this VM held a share and only waited for
// a larger one.
func (g *Gate) endDelay() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	o := &g.owner
	unfinished := o.stage == takingOver || len(o.pending) > 0 || o.stage == released && !o.delayEnd.IsZero()
	if !unfinished || now.Before(o.delayEnd) {
		return
	}
	if o.stage != owned {
		g.cold.restart()
	}
	g.activate(now)
}

// assign applies a plan that keeps the target with this VM. A smaller share comes into force at once, and running
// requests above it finish. A larger share waits for the owners whose share shrinks. assign returns the owners to take
// over from, if any. owners are all owners in the plan.
func (g *Gate) assign(next Limits, shrinking []ident.VMID, owners []placement.Owner) []ident.VMID {
	g.mu.Lock()
	defer g.mu.Unlock()
	o, now := &g.owner, g.clock.Now()
	switch o.stage {
	case takingOver:
		o.next = next
		if slices.Equal(o.previous, shrinking) {
			return nil
		}
		return shrinking
	case released:
		// The share was released to successors on request. Unless a plan moves it, this VM takes it back after
		// TakeoverDelay.
		o.next = next
		if len(shrinking) == 0 && !o.noOtherSuccessor("", owners, now) {
			return nil
		}
		return o.withSuccessors(shrinking)
	}
	pending := len(o.pending) > 0
	grows := next.Slots > g.limits.Slots || next.ColdSlots > g.limits.ColdSlots || next.Connections > g.limits.Connections
	waits := grows && (pending || len(shrinking) > 0)
	o.next = next
	if waits {
		next = next.min(g.limits)
	} else {
		o.pending = nil
	}
	g.limits = next
	g.cold.resize(next.usable(), next.ColdSlots)
	g.resizePool(now)
	g.dispatch(now)
	if !waits || pending && slices.Equal(o.previous, shrinking) {
		return nil
	}
	return shrinking
}

// withSuccessors returns, sorted, the owners whose share shrinks and the VMs that have taken over the target.
func (o *ownership) withSuccessors(shrinking []ident.VMID) []ident.VMID {
	all := slices.Clone(shrinking)
	for vm := range o.successors {
		if !slices.Contains(all, vm) {
			all = append(all, vm)
		}
	}
	slices.Sort(all)
	return all
}

// awaitsHandover reports whether to call a previous owner again, because it has not handed over or still runs requests.
func (g *Gate) awaitsHandover(vm ident.VMID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner.pending[vm] && !g.owner.handoverFailed || g.owner.inFlight[vm] > 0
}

// release stops granting slots because the plan gives the target to other VMs. Unlike after releaseTo, this VM does not
// take the share back by itself.
func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owner.takeoverIncomplete = g.owner.takeoverIncomplete || g.owner.stage == takingOver || len(g.owner.pending) > 0
	g.owner.stage, g.owner.delayEnd, g.owner.pending = released, time.Time{}, nil
	now := g.clock.Now()
	g.resizePool(now)
	g.refuseExcluded(now)
}

// releaseTo stops granting slots at a successor's request, and returns the state of the gate. If this VM's plan has not
// moved the share within TakeoverDelay, this VM takes it back in cold start. If another VM may hold the share, nothing
// changes, and the successor has to wait for the takeover delay. noThirdOwner reports that this VM's plan names no
// owner but this VM and the successor.
func (g *Gate) releaseTo(from ident.VMID, noThirdOwner bool) HandoverState {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	o := &g.owner
	// While this VM is taking over, it grants no slots, but an earlier owner may.
	canRelease := noThirdOwner && o.soleOwner && o.stage != takingOver && len(o.pending) == 0 && !o.takeoverIncomplete && o.noOtherSuccessor(from, nil, now)
	if canRelease {
		o.addSuccessor(from, now)
	}
	if canRelease && o.stage == owned {
		o.next = g.limits
		o.stage, o.delayEnd = released, now.Add(TakeoverDelay)
		g.clock.AfterFunc(TakeoverDelay, g.endDelay)
		g.resizePool(now)
		g.refuseExcluded(now)
	}
	return HandoverState{Target: g.target, InFlight: g.running + o.inherited(), Limit: g.cold.limit, Cold: g.cold.cold,
		Incarnation: g.cold.incarnation, Released: canRelease}
}

// addSuccessor records that a VM takes over the target.
func (o *ownership) addSuccessor(vm ident.VMID, now time.Time) {
	if o.successors == nil {
		o.successors = map[ident.VMID]time.Time{}
	}
	o.successors[vm] = now
}

// noOtherSuccessor reports whether no VM other than from and the given owners took over the target within the last
// 2*TakeoverDelay, so that none can hold the share that from requests. The VM from knows of an older takeover as well,
// because the membership views have converged since then.
func (o *ownership) noOtherSuccessor(from ident.VMID, owners []placement.Owner, now time.Time) bool {
	for vm, since := range o.successors {
		named := slices.ContainsFunc(owners, func(p placement.Owner) bool { return p.VM == vm })
		if vm != from && !named && now.Sub(since) < 2*TakeoverDelay {
			return false
		}
	}
	return true
}

// successor returns the VM to which the share was released, if there is exactly one.
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

// addSuccessors records the owners in a plan that gives the target to other VMs.
func (g *Gate) addSuccessors(owners []placement.Owner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range owners {
		g.owner.addSuccessor(p.VM, g.clock.Now())
	}
}

// idle reports whether no request runs.
func (g *Gate) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running == 0
}
