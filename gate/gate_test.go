package gate

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// fixedRules permits a share, or refuses.
type fixedRules struct {
	share   float64
	refused outcome.Reason
}

func (r *fixedRules) Permit(ident.TargetID, time.Time) (float64, outcome.Reason) {
	return r.share, r.refused
}

type runnerFunc func(context.Context, outcome.LeafRequest) outcome.LeafResult

func (f runnerFunc) Send(ctx context.Context, _ string, r outcome.LeafRequest) outcome.LeafResult {
	return f(ctx, r)
}

// bench is a gate with a fake clock; requests are submitted and finished by hand.
type bench struct {
	*Gate
	t     *testing.T
	clock *clockwork.FakeClock
	rules *fixedRules
}

func newBench(t *testing.T, limits Limits) *bench {
	b := &bench{t: t, clock: clockwork.NewFakeClock(), rules: &fixedRules{share: 1}}
	if limits.Connections == 0 {
		limits.Connections = limits.Slots
	}
	b.Gate = New("t1", "127.0.0.1:1", limits, runnerFunc(nil), b.clock, b.rules)
	return b
}

// warm makes the target warm with a baseline.
func (b *bench) warm(baseline time.Duration) {
	b.cold.normKnown = true
	b.cold.cold, b.cold.limit, b.cold.baseline, b.cold.incarnation = false, b.limits.usable(), baseline, "i1"
}

func (b *bench) ask(kind outcome.SendKind, within time.Duration) *waiter {
	ctx, cancel := context.WithDeadline(context.Background(), b.clock.Now().Add(within))
	b.t.Cleanup(cancel)
	return b.submit(ctx, &outcome.LeafRequest{Kind: kind})
}

func (b *bench) verdict(w *waiter) outcome.Reason {
	select {
	case v := <-w.decided:
		return v.reason
	default:
		return "waiting"
	}
}

func (b *bench) reply(res outcome.LeafResult, after time.Duration) {
	b.clock.Advance(after)
	b.finish(&res, after)
}

func ok(incarnation string) outcome.LeafResult {
	return outcome.LeafResult{Status: outcome.LeafOK, Incarnation: incarnation}
}

const (
	granted = outcome.ReasonNone
	waiting = outcome.Reason("waiting")
)

// Guards against a queue in order of arrival, in which urgent requests expire behind patient ones.
func TestEarliestDeadlineRunsFirst(t *testing.T) {
	b := newBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 4})
	require.Equal(t, granted, b.verdict(b.ask(outcome.SendFirst, time.Second)))
	late, early := b.ask(outcome.SendFirst, 900*time.Millisecond), b.ask(outcome.SendFirst, 100*time.Millisecond)
	b.reply(ok("i1"), time.Millisecond)
	require.Equal(t, granted, b.verdict(early))
	require.Equal(t, waiting, b.verdict(late))
}

// Guards against an unbounded queue.
func TestFullQueueRefuses(t *testing.T) {
	b := newBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 1})
	b.ask(outcome.SendFirst, time.Second)
	require.Equal(t, waiting, b.verdict(b.ask(outcome.SendFirst, time.Second)))
	require.Equal(t, outcome.ReasonQueueFull, b.verdict(b.ask(outcome.SendFirst, time.Second)))
}

// Guards against work that occupies a slot and cannot be answered in time, at admission and when a slot is granted.
func TestRefusesWhatCannotFinish(t *testing.T) {
	b := newBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	b.warm(80 * time.Millisecond)
	require.Equal(t, granted, b.verdict(b.ask(outcome.SendFirst, 10*time.Millisecond)), "an idle target runs what comes")
	require.Equal(t, outcome.ReasonDeadline, b.verdict(b.ask(outcome.SendFirst, 70*time.Millisecond)))
	first, second := b.ask(outcome.SendFirst, 90*time.Millisecond), b.ask(outcome.SendFirst, 130*time.Millisecond)
	require.Equal(t, waiting, b.verdict(first))
	b.reply(ok("i1"), 60*time.Millisecond)
	require.Equal(t, granted, b.verdict(first))
	b.running++ // Another slot is busy, so the estimate decides.
	b.clock.Advance(50 * time.Millisecond)
	b.Recheck()
	b.running--
	b.mu.Lock()
	b.limits.Slots, b.limits.Connections, b.cold.limit = 2, 2, 2
	b.dispatch(b.clock.Now())
	b.mu.Unlock()
	require.Equal(t, outcome.ReasonDeadline, b.verdict(second))
}

// Guards against a target that fell back into cold start and goes on receiving full load.
func TestColdStartIsInferred(t *testing.T) {
	const base = 4 * time.Millisecond
	slow := func(b *bench, n int) {
		for range n {
			b.running++
			b.reply(ok("i1"), 5*base)
		}
	}
	one := func(res outcome.LeafResult) func(*bench) {
		return func(b *bench) {
			b.running++
			b.reply(res, base)
		}
	}
	cases := map[string]struct {
		event func(*bench)
		cold  bool
		limit int
	}{
		"normal reply":        {one(ok("i1")), false, 6},
		"changed incarnation": {one(ok("i2")), true, 1},
		"one straggler":       {func(b *bench) { slow(b, 1) }, false, 6},
		"run of slow replies": {func(b *bench) { slow(b, slowRun) }, true, 1},
		"one pause": {func(b *bench) {
			b.running += slowRun
			b.clock.Advance(5 * base)
			for range slowRun {
				res := ok("i1")
				b.finish(&res, 5*base)
			}
		}, false, 6},
		"shed":                  {one(outcome.LeafRefused(outcome.ReasonTargetShed, "")), true, 3},
		"connection lost":       {one(outcome.LeafLost(outcome.ReasonConnectionLost, "")), true, 1},
		"dial failed":           {one(outcome.LeafRefused(outcome.ReasonDialFailed, "")), true, 1},
		"cancelled by caller":   {one(outcome.LeafLost(outcome.ReasonCancelled, "")), false, 6},
		"late reply of the old": {func(b *bench) { one(ok("i2"))(b); b.warm(base); b.cold.incarnation = "i2"; one(ok("i1"))(b) }, false, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
			b.warm(base)
			c.event(b)
			require.Equal(t, c.cold, b.cold.cold)
			require.Equal(t, c.limit, b.limit(b.clock.Now()))
		})
	}
}

// Guards against a jump from the cold-start limit to full load.
func TestLimitDoublesAfterRunsOfSuccesses(t *testing.T) {
	b := newBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	b.warm(time.Millisecond)
	b.cold.fall()
	for _, step := range []int{1, 2, 4} {
		require.Equal(t, step, b.cold.limit)
		for range warmRun * step {
			require.True(t, b.cold.cold)
			require.Equal(t, step, b.cold.limit)
			b.running++
			b.reply(ok("i1"), time.Millisecond)
		}
	}
	require.Equal(t, 6, b.cold.limit)
	require.False(t, b.cold.cold)
}

// Guards against a doubling that makes a restarted target fail again and again before it is warm.
func TestFailureAboveTheColdLimitDoublesTheRun(t *testing.T) {
	b := newBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	b.warm(time.Millisecond)
	b.running++
	b.reply(ok("i2"), time.Millisecond)
	for _, run := range []int{1, 2, 4, 8, 8} {
		for range run * firstRun {
			require.Equal(t, 1, b.cold.limit)
			b.running++
			b.reply(ok("i2"), time.Millisecond)
		}
		require.Equal(t, 2, b.cold.limit)
		b.running++
		b.reply(outcome.LeafLost(outcome.ReasonConnectionLost, ""), time.Millisecond)
	}
}

// Guards against a warm target that stays cold for its owner because requests differ in cost and some straggle.
func TestStragglersDoNotEndARun(t *testing.T) {
	b := newBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	for i := range 6 * firstRun {
		d := []time.Duration{500, 800, 1000, 1100, 1200, 1300, 1500, 2500}[i%8] * time.Microsecond
		if i%100 == 99 {
			d = 20 * time.Millisecond
		}
		b.running++
		b.reply(ok("i1"), d)
	}
	require.Equal(t, 6, b.cold.limit)
	require.False(t, b.cold.cold)
}

// Guards against the slow replies of a cold target being taken as its norm at the first contact.
func TestFirstContactWaitsForOneLatency(t *testing.T) {
	b := newBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	replies := func(n int, d time.Duration) {
		for range n {
			b.running++
			b.reply(ok("i1"), d)
		}
	}
	replies(firstRun-100, 5*time.Millisecond)
	require.Equal(t, 1, b.cold.limit)
	replies(firstRun, time.Millisecond)
	require.Equal(t, 1, b.cold.limit, "the run begins again at the lower latency")
	replies(100, time.Millisecond)
	require.Equal(t, 2, b.cold.limit)
	replies(2*warmRun, time.Millisecond)
	require.Equal(t, 4, b.cold.limit)
}

// Guards against the slow replies of a cold target being taken as its norm when another target of the service is warm.
func TestBaselineIsSharedWithinAService(t *testing.T) {
	b := newBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	b.cold.shared = &atomic.Int64{}
	b.cold.shared.Store(int64(time.Millisecond))
	for range 2 * warmRun {
		b.running++
		b.reply(ok("i1"), 3*time.Millisecond)
	}
	require.Equal(t, 1, b.cold.limit)
}

// Guards against extra load on a cold target, also from a hedge that was queued while the target was warm.
func TestNoHedgesOrRetriesWhileCold(t *testing.T) {
	b := newBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	require.Equal(t, outcome.ReasonColdStart, b.verdict(b.ask(outcome.SendHedge, time.Second)))
	require.Equal(t, outcome.ReasonColdStart, b.verdict(b.ask(outcome.SendRetry, time.Second)))
	b.warm(time.Millisecond)
	b.ask(outcome.SendFirst, time.Second)
	hedge := b.ask(outcome.SendHedge, time.Second)
	require.Equal(t, waiting, b.verdict(hedge))
	b.reply(ok("i2"), time.Millisecond)
	require.Equal(t, outcome.ReasonColdStart, b.verdict(hedge))
}

// Guards against queued work that reaches a zone or target after it was taken out (P4, P8).
func TestRulesHoldWhenASlotIsGranted(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.ReasonZoneOut, outcome.ReasonTargetLeaving, outcome.ReasonStaleView} {
		b := newBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
		b.ask(outcome.SendFirst, time.Second)
		queued := b.ask(outcome.SendFirst, time.Second)
		b.rules.refused = reason
		require.Equal(t, reason, b.verdict(b.ask(outcome.SendFirst, time.Second)))
		b.reply(ok("i1"), time.Millisecond)
		require.Equal(t, reason, b.verdict(queued))
	}
}

// Guards against new work to a target that said it is draining while the bundle and the platform do not know yet.
func TestDrainingReplyStopsWork(t *testing.T) {
	b := newBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	b.ask(outcome.SendFirst, time.Second)
	queued := b.ask(outcome.SendFirst, time.Second)
	b.reply(outcome.LeafRefused(outcome.ReasonTargetDraining, ""), time.Millisecond)
	require.Equal(t, outcome.ReasonTargetLeaving, b.verdict(queued))
	b.clock.Advance(DrainHold - time.Millisecond)
	require.Equal(t, outcome.ReasonTargetLeaving, b.verdict(b.ask(outcome.SendFirst, time.Second)))
	b.clock.Advance(time.Millisecond)
	require.Equal(t, granted, b.verdict(b.ask(outcome.SendFirst, time.Second)))
}

// Guards against full load on a zone at the moment of its return.
func TestReturnIsPaced(t *testing.T) {
	b := newBench(t, Limits{Slots: 8, ColdSlots: 1, Queue: 9})
	b.warm(time.Millisecond)
	for share, limit := range map[float64]int{0: 1, 0.24: 1, 0.25: 2, 0.5: 4, 1: 8} {
		b.rules.share = share
		require.Equal(t, limit, b.limit(b.clock.Now()))
	}
}

// Guards against a slot that is lost when the context ends at the moment of the grant.
func TestWithdrawReturnsAGrantedSlot(t *testing.T) {
	b := newBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	w := b.ask(outcome.SendFirst, time.Second)
	require.Equal(t, outcome.ReasonCancelled, b.withdraw(w, context.Canceled).reason)
	require.Equal(t, granted, b.verdict(b.ask(outcome.SendFirst, time.Second)))
}

// Guards against refusals that cut off running work, and against queued work that runs after ownership is lost.
func TestReleaseRefusesTheQueueAndLetsWorkFinish(t *testing.T) {
	b := newBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	started, end := make(chan struct{}), make(chan struct{})
	b.runner = runnerFunc(func(context.Context, outcome.LeafRequest) outcome.LeafResult {
		close(started)
		<-end
		return ok("i1")
	})
	done := make(chan outcome.LeafResult)
	go func() { done <- b.Do(context.Background(), outcome.LeafRequest{Kind: outcome.SendFirst}) }()
	<-started
	queued := b.ask(outcome.SendFirst, time.Second)
	b.release()
	require.Equal(t, outcome.ReasonNotOwner, b.verdict(queued))
	require.Equal(t, outcome.ReasonNotOwner, b.verdict(b.ask(outcome.SendFirst, time.Second)))
	close(end)
	require.Equal(t, outcome.LeafOK, (<-done).Status)
	require.True(t, b.idle())
}
