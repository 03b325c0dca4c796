package gate

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
)

const (
	// maxDeadline is the longest time to the deadline of a request, and maxViewLag the longest time until a view
	// reaches every VM. Their sum is less than TakeoverDelay.
	maxDeadline = 900 * time.Millisecond
	maxViewLag  = 900 * time.Millisecond
	tick        = 50 * time.Millisecond
)

// simulation is one target and the VMs that may own it. It counts the requests that run at the target by the VM that
// sent them.
type simulation struct {
	clock   *clockwork.FakeClock
	service bundle.Service
	sets    []*Set
	// partitioned makes handover calls fail.
	partitioned bool
	reply       outcome.LeafResult

	mu      sync.Mutex
	running [len(vms)]int
	ends    []chan outcome.LeafResult
	peak    int
	work    sync.WaitGroup
	ctx     context.Context

	// pendingViews are views that have not reached their VM yet. seen is the number of the newest view applied at each
	// VM; views is the number of the newest view.
	pendingViews []pendingView
	seen         [len(vms)]int
	views        int
}

// pendingView is a view that reaches one VM at a given time. alive is a bit mask of VMs; the others have otherState.
type pendingView struct {
	at              time.Time
	vm, view, alive int
	otherState      membership.State
}

var vms = [...]ident.VMID{"vm-a", "vm-b", "vm-c"}

// simRunner is one VM's access to the target and to the other VMs.
type simRunner struct {
	*simulation
	vm int
}

func (r simRunner) Open(string, int) Runner { return r }

func (r simRunner) Send(ctx context.Context, _ string, _ outcome.LeafRequest) outcome.LeafResult {
	end := make(chan outcome.LeafResult, 1)
	r.mu.Lock()
	r.running[r.vm]++
	sum := 0
	for _, n := range r.running {
		sum += n
	}
	r.peak = max(r.peak, sum)
	r.ends = append(r.ends, end)
	r.mu.Unlock()
	res := outcome.UnknownResult(outcome.ReasonDeadline, "")
	select {
	case res = <-end:
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.running[r.vm]--
	r.mu.Unlock()
	return res
}

func (r simRunner) Handover(_ context.Context, address string, from ident.VMID, ids []ident.TargetID) ([]HandoverState, error) {
	r.mu.Lock()
	partitioned := r.partitioned
	r.mu.Unlock()
	if partitioned {
		return nil, errors.New("partition")
	}
	for i, vm := range vms {
		if string(vm) == address && i < len(r.sets) {
			return r.sets[i].ReleaseTo(from, ids), nil
		}
	}
	return nil, errors.New("no such VM")
}

func newSimulation(ctx context.Context, size, slots, coldSlots, connections int) *simulation {
	sim := &simulation{clock: clockwork.NewFakeClock(), ctx: ctx, reply: ok("i1")}
	sim.service = bundle.Service{ID: "s", Slots: slots, ColdSlots: coldSlots, Connections: connections,
		Targets: []bundle.Target{{ID: "t1", Zone: "z", Address: "127.0.0.1:1", State: bundle.TargetServing}}}
	for i := range size {
		r := simRunner{sim, i}
		sim.sets = append(sim.sets, NewSet(Options{Self: vms[i], Clock: sim.clock, Rules: &fixedRules{share: 1}, Runners: r, HandoverClient: r}))
	}
	return sim
}

// applyView applies a view at one VM. In this view the VMs of the bit mask alive are alive, and all others are in
// otherState.
func (sim *simulation) applyView(vm int, alive int, otherState membership.State) {
	var members []membership.Member
	for i, id := range vms[:len(sim.sets)] {
		state := otherState
		if alive&(1<<i) != 0 {
			state = membership.Alive
		}
		members = append(members, membership.Member{ID: id, Zone: "z", Address: string(id), State: state})
	}
	view := membership.NewView(members[vm], members, 1, sim.clock.Now())
	sim.sets[vm].Apply(placement.NewPlan(view, &bundle.Bundle{Services: []bundle.Service{sim.service}}))
}

// send starts a request at one VM, with the deadline maxDeadline from now.
func (sim *simulation) send(vm int) {
	sim.work.Go(func() {
		ctx, cancel := clockwork.WithTimeout(sim.ctx, sim.clock, maxDeadline)
		defer cancel()
		sim.sets[vm].DoLeaf(ctx, outcome.LeafRequest{Target: "t1", Kind: outcome.SendFirst})
	})
}

// finishOne replies to the oldest request that has not been replied to.
func (sim *simulation) finishOne() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if len(sim.ends) > 0 {
		sim.ends[0] <- sim.reply
		sim.ends = sim.ends[1:]
	}
}

// warm makes the target warm at the gate of a VM, as after many successes.
func (sim *simulation) warm(vm int) {
	if g := (*sim.sets[vm].gates.Load())["t1"]; g != nil && g.settled() {
		g.cold.cold, g.cold.limit, g.cold.incarnation = false, g.cold.slots, "i1"
	}
}

// advance moves the clock in small steps, so that events happen in the order of their times.
func (sim *simulation) advance(d time.Duration) {
	for ; d > 0; d -= tick {
		sim.clock.Advance(tick)
		synctest.Wait()
		sim.deliverViews()
	}
}

// propagateView makes a view reach every VM within maxViewLag, in an order that depends on the step.
func (sim *simulation) propagateView(s step, alive int, otherState membership.State) {
	sim.views++
	for vm := range sim.sets {
		lag := time.Duration((s.N*7+vm*13)%19) * maxViewLag / 18
		if vm == s.VM {
			lag = 0
		}
		sim.pendingViews = append(sim.pendingViews, pendingView{sim.clock.Now().Add(lag), vm, sim.views, alive, otherState})
	}
	sim.deliverViews()
}

// deliverViews applies the views that are due. A view older than the newest one seen by its VM is dropped.
func (sim *simulation) deliverViews() {
	sim.pendingViews = slices.DeleteFunc(sim.pendingViews, func(p pendingView) bool {
		if p.at.After(sim.clock.Now()) {
			return false
		}
		if p.view > sim.seen[p.vm] {
			sim.seen[p.vm] = p.view
			sim.applyView(p.vm, p.alive, p.otherState)
			synctest.Wait()
		}
		return true
	})
}

// step is one random operation of a simulation at one VM. N is the operation's argument.
type step struct {
	Op, VM, N int
}

// run executes the steps and returns the maximum number of requests that ran at the target at once. If converging is
// true, each view reaches all VMs within maxViewLag; otherwise it reaches one VM only.
func (sim *simulation) run(steps []step, converging bool) int {
	all := 1<<len(sim.sets) - 1
	for vm := range sim.sets {
		sim.applyView(vm, all, membership.Dead)
	}
	sim.advance(TakeoverDelay)
	warms := sim.reply.Status == outcome.LeafOK
	for _, s := range steps {
		s.VM %= len(sim.sets)
		if warms {
			sim.warm(s.VM)
		}
		switch s.Op {
		case 0, 1, 2, 3:
			for range 1 + s.N%8 {
				sim.send(s.VM)
			}
		case 4, 5:
			sim.finishOne()
		case 6:
			sim.advance(time.Duration(s.N) * tick)
		case 7:
			sim.mu.Lock()
			sim.partitioned = s.N%2 == 0
			sim.mu.Unlock()
		case 8:
			otherState := []membership.State{membership.Dead, membership.Leaving}[s.N%2]
			alive := 1 + s.N%all
			if converging {
				sim.propagateView(s, alive, otherState)
			} else {
				sim.applyView(s.VM, alive, otherState)
			}
		}
		synctest.Wait()
	}
	return sim.peak
}

// simulate runs the steps in a synctest bubble and returns the maximum number of requests that ran at once. It uses all
// VMs if converging is true, otherwise two.
func simulate(t *testing.T, slots, coldSlots, connections int, reply outcome.LeafResult, steps []step, converging bool) (peak int) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		size := 2
		if converging {
			size = len(vms)
		}
		sim := newSimulation(ctx, size, slots, coldSlots, connections)
		sim.reply = reply
		peak = sim.run(steps, converging)
		cancel()
		sim.work.Wait()
		for _, s := range sim.sets {
			s.Close()
		}
	})
	return peak
}

var anySteps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{rapid.IntRange(0, 8).Draw(t, "op"), rapid.IntRange(0, len(vms)-1).Draw(t, "vm"), rapid.IntRange(0, 40).Draw(t, "n")}
}), 1, 40)

// Guards against VMs that together exceed the slots or connections of a target with one owner (2 or 6 slots) or with
// two owners (16 or 21 slots). The bound is the smaller of the two numbers, slots and connections. Three VMs whose
// views converge must stay within it. Two VMs whose views may differ for any length of time may together reach twice
// the bound.
func TestSlotsOverTwoOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.SampledFrom([]int{2, 6, 16, 21}).Draw(rt, "slots")
		coldSlots := rapid.IntRange(1, min(slots, 4)).Draw(rt, "cold")
		steps, converging := anySteps.Draw(rt, "steps"), rapid.Bool().Draw(rt, "converging")
		connections := rapid.SampledFrom([]int{3, 16, 50}).Draw(rt, "connections")
		bound := min(slots, connections)
		if !converging {
			bound *= 2
		}
		if peak := simulate(t, slots, coldSlots, connections, ok("i1"), steps, converging); peak > bound {
			rt.Fatalf("%d requests ran at the target at once, more than the bound of %d", peak, bound)
		}
	})
}

// Guards against a cold target that receives its full number of cold slots from each of several VMs. The target sheds
// every request, which keeps it cold.
func TestColdSlotsOverTwoOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.SampledFrom([]int{6, 16, 21}).Draw(rt, "slots")
		coldSlots := rapid.IntRange(1, 4).Draw(rt, "cold")
		shed := outcome.NotRunResult(outcome.ReasonTargetShed, "")
		if peak := simulate(t, slots, coldSlots, 25, shed, anySteps.Draw(rt, "steps"), true); peak > coldSlots {
			rt.Fatalf("%d requests ran at the cold target at once, more than its cold slots: %d", peak, coldSlots)
		}
	})
}

// Guards against a takeover that loses the warm state, that waits although the previous owner has handed over, or that
// does not count the requests which the previous owner still runs.
func TestHandoverKeepsTheTargetWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t.Context(), 2, 2, 1, 25)
		sim.applyView(0, 3, membership.Dead)
		sim.applyView(1, 3, membership.Dead)
		sim.advance(TakeoverDelay)
		old := sim.sets[1].Owned()
		sim.warm(old)
		sim.send(old)
		synctest.Wait()
		sim.applyView(1-old, 1<<(1-old), membership.Leaving)
		synctest.Wait()
		after := (*sim.sets[1-old].gates.Load())["t1"]
		require.True(t, after.settled())
		require.False(t, after.cold.cold)
		refused := sim.sets[old].DoLeaf(t.Context(), outcome.LeafRequest{Target: "t1"})
		require.Equal(t, outcome.ReasonNotOwner, refused.Reason)
		sim.send(1 - old)
		sim.send(1 - old)
		synctest.Wait()
		require.Equal(t, 1, sim.running[1-old], "the new owner must not use the slot that the previous owner still occupies")
		sim.finishOne()
		synctest.Wait()
		sim.advance(handoverPoll)
		require.Equal(t, 2, sim.running[1-old])
		sim.finishOne()
		sim.finishOne()
		sim.work.Wait()
	})
}

// Guards against a new owner that sends before the takeover delay ends although no previous owner has handed over.
func TestTakeoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t.Context(), 2, 6, 1, 25)
		sim.applyView(0, 1, membership.Dead)
		sendWithin := func(within time.Duration) outcome.Reason {
			ctx, cancel := clockwork.WithTimeout(t.Context(), sim.clock, within)
			defer cancel()
			return sim.sets[0].DoLeaf(ctx, outcome.LeafRequest{Target: "t1"}).Reason
		}
		require.Equal(t, outcome.ReasonTakeoverDelay, sendWithin(time.Second))
		sim.advance(TakeoverDelay - tick)
		require.Equal(t, outcome.ReasonTakeoverDelay, sendWithin(tick/2))
		require.Zero(t, sim.peak)
		sim.advance(tick)
		sim.send(0)
		synctest.Wait()
		require.Equal(t, 1, sim.peak, "the request was not granted after the takeover delay")
		sim.finishOne()
	})
}

// Guards against a VM that goes on granting slots after a pause, although its peers replaced it while it was paused.
func TestWokenOwnerTakesOverAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t.Context(), 2, 2, 1, 25)
		sim.applyView(0, 3, membership.Dead)
		sim.applyView(1, 3, membership.Dead)
		sim.advance(TakeoverDelay)
		woken := sim.sets[1].Owned()
		sim.warm(woken)
		other := 1 - woken
		sim.applyView(other, 1<<other, membership.Dead)
		sim.advance(TakeoverDelay)
		sim.warm(other)
		sim.send(other)
		sim.send(other)
		synctest.Wait()
		require.Equal(t, 2, sim.running[other])

		sim.sets[woken].Reacquire()
		sim.send(woken)
		sim.send(woken)
		synctest.Wait()
		require.Zero(t, sim.running[woken], "the woken owner must not send while the other owner's requests hold the slots")
		require.Equal(t, 2, sim.peak)
		sim.finishOne()
		sim.finishOne()
		synctest.Wait()
		sim.advance(handoverPoll)
		require.Equal(t, 2, sim.running[woken], "the woken owner must use all slots, because the other owner handed over a warm target")
		sim.finishOne()
		sim.finishOne()
		sim.work.Wait()
	})
}
