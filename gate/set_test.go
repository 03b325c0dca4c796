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

// maxWork is the longest deadline in the model; with maxLag it adds up to less than TakeoverDelay.
const (
	maxWork = 900 * time.Millisecond
	maxLag  = 900 * time.Millisecond
	tick    = 50 * time.Millisecond
)

// world is a target and the VMs that may own it. The target counts what runs at it, whichever VM sent it.
type world struct {
	clock   *clockwork.FakeClock
	service bundle.Service
	sets    []*Set
	// cut fails handovers.
	cut   bool
	reply outcome.LeafResult

	mu      sync.Mutex
	running [len(vms)]int
	ends    []chan outcome.LeafResult
	peak    int
	work    sync.WaitGroup
	ctx     context.Context

	// changes are views that have not reached every VM; seen is the newest view of each VM.
	changes []viewChange
	seen    [len(vms)]int
	views   int
}

type viewChange struct {
	at              time.Time
	vm, view, alive int
	gone            membership.State
}

var vms = [...]ident.VMID{"vm-a", "vm-b", "vm-c"}

type worldRunner struct {
	*world
	vm int
}

func (r worldRunner) Open(string, int) Runner { return r }

func (r worldRunner) Send(ctx context.Context, _ string, _ outcome.LeafRequest) outcome.LeafResult {
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
	res := outcome.LeafLost(outcome.ReasonDeadline, "")
	select {
	case res = <-end:
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.running[r.vm]--
	r.mu.Unlock()
	return res
}

func (r worldRunner) Handover(_ context.Context, address string, from ident.VMID, ids []ident.TargetID) ([]State, error) {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut {
		return nil, errors.New("partition")
	}
	for i, vm := range vms {
		if string(vm) == address && i < len(r.sets) {
			return r.sets[i].HandOver(from, ids), nil
		}
	}
	return nil, errors.New("no such VM")
}

func newWorld(ctx context.Context, size, slots, coldSlots, connections int) *world {
	w := &world{clock: clockwork.NewFakeClock(), ctx: ctx, reply: ok("i1")}
	w.service = bundle.Service{ID: "s", Slots: slots, ColdSlots: coldSlots, Connections: connections,
		Targets: []bundle.Target{{ID: "t1", Zone: "z", Address: "127.0.0.1:1", State: bundle.TargetServing}}}
	for i := range size {
		r := worldRunner{w, i}
		w.sets = append(w.sets, NewSet(Options{Self: vms[i], Clock: w.clock, Rules: &fixedRules{share: 1}, Targets: r, Predecessor: r}))
	}
	return w
}

// see gives a VM the view in which the VMs of the bit mask are alive, and the other one has the given state.
func (w *world) see(vm int, alive int, gone membership.State) {
	var members []membership.Member
	for i, id := range vms[:len(w.sets)] {
		state := gone
		if alive&(1<<i) != 0 {
			state = membership.Alive
		}
		members = append(members, membership.Member{ID: id, Zone: "z", Address: string(id), State: state})
	}
	view := membership.NewView(members[vm], members, 1, w.clock.Now())
	w.sets[vm].Apply(placement.NewPlan(view, &bundle.Bundle{Services: []bundle.Service{w.service}}))
}

func (w *world) send(vm int) {
	w.work.Go(func() {
		ctx, cancel := clockwork.WithTimeout(w.ctx, w.clock, maxWork)
		defer cancel()
		w.sets[vm].DoLeaf(ctx, outcome.LeafRequest{Target: "t1", Kind: outcome.SendFirst})
	})
}

func (w *world) finishOne() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ends) > 0 {
		w.ends[0] <- w.reply
		w.ends = w.ends[1:]
	}
}

// warm stands for a long run of successes at the gate of a VM.
func (w *world) warm(vm int) {
	if g := (*w.sets[vm].gates.Load())["t1"]; g != nil && g.settled() {
		g.cold.cold, g.cold.limit, g.cold.incarnation = false, g.cold.slots, "i1"
	}
}

// advance moves time in small steps, so that what is due earlier happens earlier.
func (w *world) advance(d time.Duration) {
	for ; d > 0; d -= tick {
		w.clock.Advance(tick)
		synctest.Wait()
		w.deliver()
	}
}

// spread has a change of view reach every VM within maxLag, in different orders.
func (w *world) spread(s step, alive int, gone membership.State) {
	w.views++
	for vm := range w.sets {
		lag := time.Duration((s.N*7+vm*13)%19) * maxLag / 18
		if vm == s.VM {
			lag = 0
		}
		w.changes = append(w.changes, viewChange{w.clock.Now().Add(lag), vm, w.views, alive, gone})
	}
	w.deliver()
}

func (w *world) deliver() {
	w.changes = slices.DeleteFunc(w.changes, func(c viewChange) bool {
		if c.at.After(w.clock.Now()) {
			return false
		}
		if c.view > w.seen[c.vm] {
			w.seen[c.vm] = c.view
			w.see(c.vm, c.alive, c.gone)
			synctest.Wait()
		}
		return true
	})
}

type step struct {
	Op, VM, N int
}

// run plays the steps and returns the most requests that ran at once at the target. With converging views, each view
// reaches the other VMs within maxLag.
func (w *world) run(steps []step, converging bool) int {
	all := 1<<len(w.sets) - 1
	for vm := range w.sets {
		w.see(vm, all, membership.Dead)
	}
	w.advance(TakeoverDelay)
	warms := w.reply.Status == outcome.LeafOK
	for _, s := range steps {
		s.VM %= len(w.sets)
		if warms {
			w.warm(s.VM)
		}
		switch s.Op {
		case 0, 1, 2, 3:
			for range 1 + s.N%8 {
				w.send(s.VM)
			}
		case 4, 5:
			w.finishOne()
		case 6:
			w.advance(time.Duration(s.N) * tick)
		case 7:
			w.mu.Lock()
			w.cut = s.N%2 == 0
			w.mu.Unlock()
		case 8:
			gone := []membership.State{membership.Dead, membership.Leaving}[s.N%2]
			alive := 1 + s.N%all
			if converging {
				w.spread(s, alive, gone)
			} else {
				w.see(s.VM, alive, gone)
			}
		}
		synctest.Wait()
	}
	return w.peak
}

// playWorld plays steps in a bubble of fake time and goroutines.
func playWorld(t *testing.T, slots, coldSlots, connections int, reply outcome.LeafResult, steps []step, converging bool) (peak int) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		size := 2
		if converging {
			size = len(vms)
		}
		w := newWorld(ctx, size, slots, coldSlots, connections)
		w.reply = reply
		peak = w.run(steps, converging)
		cancel()
		w.work.Wait()
		for _, s := range w.sets {
			s.Close()
		}
	})
	return peak
}

var anySteps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{rapid.IntRange(0, 8).Draw(t, "op"), rapid.IntRange(0, len(vms)-1).Draw(t, "vm"), rapid.IntRange(0, 40).Draw(t, "n")}
}), 1, 40)

// Guards against VMs that together exceed the slots or connections of a target, with one owner (2, 6 slots) and with two (16, 21): three VMs
// whose views converge, or two whose views differ for as long as they like.
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
		if peak := playWorld(t, slots, coldSlots, connections, ok("i1"), steps, converging); peak > bound {
			rt.Fatalf("%d requests ran at once, bound %d", peak, bound)
		}
	})
}

// Guards against a cold target that receives its cold slots from each of several VMs. Its sheds keep it cold.
func TestColdSlotsOverTwoOwners(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.SampledFrom([]int{6, 16, 21}).Draw(rt, "slots")
		coldSlots := rapid.IntRange(1, 4).Draw(rt, "cold")
		shed := outcome.LeafRefused(outcome.ReasonTargetShed, "")
		if peak := playWorld(t, slots, coldSlots, 25, shed, anySteps.Draw(rt, "steps"), true); peak > coldSlots {
			rt.Fatalf("%d requests ran at once, cold slots %d", peak, coldSlots)
		}
	})
}

// Guards against a takeover that loses the warm state, waits although the previous owner answered, or forgets what that
// owner still runs.
func TestHandoverKeepsTheTargetWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t.Context(), 2, 2, 1, 25)
		w.see(0, 3, membership.Dead)
		w.see(1, 3, membership.Dead)
		w.advance(TakeoverDelay)
		old := w.sets[1].Owned()
		w.warm(old)
		w.send(old)
		synctest.Wait()
		w.see(1-old, 1<<(1-old), membership.Leaving)
		synctest.Wait()
		after := (*w.sets[1-old].gates.Load())["t1"]
		require.True(t, after.settled())
		require.False(t, after.cold.cold)
		refused := w.sets[old].DoLeaf(t.Context(), outcome.LeafRequest{Target: "t1"})
		require.Equal(t, outcome.ReasonNotOwner, refused.Reason)
		w.send(1 - old)
		w.send(1 - old)
		synctest.Wait()
		require.Equal(t, 1, w.running[1-old], "the old owner still occupies a slot")
		w.finishOne()
		synctest.Wait()
		w.advance(handoverPoll)
		require.Equal(t, 2, w.running[1-old])
		w.finishOne()
		w.finishOne()
		w.work.Wait()
	})
}

// Guards against a new owner that sends before the delay when nobody hands over.
func TestTakeoverDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t.Context(), 2, 6, 1, 25)
		w.see(0, 1, membership.Dead)
		ask := func(within time.Duration) outcome.Reason {
			ctx, cancel := clockwork.WithTimeout(t.Context(), w.clock, within)
			defer cancel()
			return w.sets[0].DoLeaf(ctx, outcome.LeafRequest{Target: "t1"}).Reason
		}
		require.Equal(t, outcome.ReasonTakeover, ask(time.Second))
		w.advance(TakeoverDelay - tick)
		require.Equal(t, outcome.ReasonTakeover, ask(tick/2))
		require.Zero(t, w.peak)
		w.advance(tick)
		w.send(0)
		synctest.Wait()
		require.Equal(t, 1, w.peak, "granted after the delay")
		w.finishOne()
	})
}

// Guards against a woken VM that goes on granting slots although its peers replaced it while it was paused.
func TestWokenOwnerTakesOverAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t.Context(), 2, 2, 1, 25)
		w.see(0, 3, membership.Dead)
		w.see(1, 3, membership.Dead)
		w.advance(TakeoverDelay)
		woken := w.sets[1].Owned()
		w.warm(woken)
		other := 1 - woken
		w.see(other, 1<<other, membership.Dead)
		w.advance(TakeoverDelay)
		w.warm(other)
		w.send(other)
		w.send(other)
		synctest.Wait()
		require.Equal(t, 2, w.running[other])

		w.sets[woken].Reacquire()
		w.send(woken)
		w.send(woken)
		synctest.Wait()
		require.Zero(t, w.running[woken], "the other owner's requests still hold the slots")
		require.Equal(t, 2, w.peak)
		w.finishOne()
		w.finishOne()
		synctest.Wait()
		w.advance(handoverPoll)
		require.Equal(t, 2, w.running[woken], "the other owner handed over a warm target")
		w.finishOne()
		w.finishOne()
		w.work.Wait()
	})
}
