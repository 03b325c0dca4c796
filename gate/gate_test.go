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

// fixedRules permits a fixed share of the slots. If refused is set, sends are refused with that reason.
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

// testBench is a gate with a fake clock. The test submits requests and finishes them itself.
type testBench struct {
	*Gate
	t     *testing.T
	clock *clockwork.FakeClock
	rules *fixedRules
}

func newTestBench(t *testing.T, limits Limits) *testBench {
	b := &testBench{t: t, clock: clockwork.NewFakeClock(), rules: &fixedRules{share: 1}}
	if limits.Connections == 0 {
		limits.Connections = limits.Slots
	}
	b.Gate = New("t1", "127.0.0.1:1", limits, runnerFunc(nil), b.clock, b.rules)
	return b
}

// warm makes the target warm, with the given baseline latency.
func (b *testBench) warm(baseline time.Duration) {
	b.cold.baselineIsWarm = true
	b.cold.cold, b.cold.limit, b.cold.baseline, b.cold.incarnation = false, b.limits.usable(), baseline, "i1"
}

// submitLeaf submits a request whose deadline is the given time from now.
func (b *testBench) submitLeaf(kind outcome.SendKind, within time.Duration) *waiter {
	ctx, cancel := context.WithDeadline(context.Background(), b.clock.Now().Add(within))
	b.t.Cleanup(cancel)
	return b.submit(ctx, &outcome.LeafRequest{Kind: kind})
}

// decision returns the reason with which the request was granted or refused. It returns the constant waiting while the
// request is undecided.
func (b *testBench) decision(w *waiter) outcome.Reason {
	select {
	case v := <-w.decided:
		return v.reason
	default:
		return "waiting"
	}
}

// reply finishes a running request after the given time.
func (b *testBench) reply(res outcome.LeafResult, after time.Duration) {
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

// Guards against a queue in order of arrival, in which requests with a near deadline expire behind requests with a far
// one.
func TestEarliestDeadlineRunsFirst(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 4})
	require.Equal(t, granted, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
	late, early := b.submitLeaf(outcome.SendFirst, 900*time.Millisecond), b.submitLeaf(outcome.SendFirst, 100*time.Millisecond)
	b.reply(ok("i1"), time.Millisecond)
	require.Equal(t, granted, b.decision(early))
	require.Equal(t, waiting, b.decision(late))
}

// Guards against an unbounded queue.
func TestFullQueueRefuses(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 1})
	b.submitLeaf(outcome.SendFirst, time.Second)
	require.Equal(t, waiting, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
	require.Equal(t, outcome.ReasonQueueFull, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
}

// Guards against a request that occupies a slot although it cannot finish before its deadline. The check is made at
// admission and when a slot is granted.
func TestRequestThatCannotFinishIsRefused(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	b.warm(80 * time.Millisecond)
	require.Equal(t, granted, b.decision(b.submitLeaf(outcome.SendFirst, 10*time.Millisecond)), "a request to an idle target must be granted whatever its deadline")
	require.Equal(t, outcome.ReasonDeadline, b.decision(b.submitLeaf(outcome.SendFirst, 70*time.Millisecond)))
	first, second := b.submitLeaf(outcome.SendFirst, 90*time.Millisecond), b.submitLeaf(outcome.SendFirst, 130*time.Millisecond)
	require.Equal(t, waiting, b.decision(first))
	b.reply(ok("i1"), 60*time.Millisecond)
	require.Equal(t, granted, b.decision(first))
	b.running++ // With another slot busy, the latency estimate decides.
	b.clock.Advance(50 * time.Millisecond)
	b.Recheck()
	b.running--
	b.mu.Lock()
	b.limits.Slots, b.limits.Connections, b.cold.limit = 2, 2, 2
	b.dispatch(b.clock.Now())
	b.mu.Unlock()
	require.Equal(t, outcome.ReasonDeadline, b.decision(second))
}

// Guards against a target that goes on receiving full load after it fell back into cold start.
func TestColdStartIsInferred(t *testing.T) {
	const base = 4 * time.Millisecond
	slowReplies := func(b *testBench, n int) {
		for range n {
			b.running++
			b.reply(ok("i1"), 5*base)
		}
	}
	once := func(res outcome.LeafResult) func(*testBench) {
		return func(b *testBench) {
			b.running++
			b.reply(res, base)
		}
	}
	cases := map[string]struct {
		event func(*testBench)
		cold  bool
		limit int
	}{
		"normal reply":             {once(ok("i1")), false, 6},
		"changed incarnation":      {once(ok("i2")), true, 1},
		"one straggler":            {func(b *testBench) { slowReplies(b, 1) }, false, 6},
		"consecutive slow replies": {func(b *testBench) { slowReplies(b, slowStreak) }, true, 1},
		"one pause that delays several replies": {func(b *testBench) {
			b.running += slowStreak
			b.clock.Advance(5 * base)
			for range slowStreak {
				res := ok("i1")
				b.finish(&res, 5*base)
			}
		}, false, 6},
		"shed":                                   {once(outcome.NotRunResult(outcome.ReasonTargetShed, "")), true, 3},
		"connection lost":                        {once(outcome.UnknownResult(outcome.ReasonConnectionLost, "")), true, 1},
		"dial failed":                            {once(outcome.NotRunResult(outcome.ReasonDialFailed, "")), true, 1},
		"cancelled by caller":                    {once(outcome.UnknownResult(outcome.ReasonCancelled, "")), false, 6},
		"late reply of the previous incarnation": {func(b *testBench) { once(ok("i2"))(b); b.warm(base); b.cold.incarnation = "i2"; once(ok("i1"))(b) }, false, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
			b.warm(base)
			c.event(b)
			require.Equal(t, c.cold, b.cold.cold)
			require.Equal(t, c.limit, b.limit(b.clock.Now()))
		})
	}
}

// Guards against a jump from the cold-start limit to full load.
func TestLimitDoublesAfterRunsOfSuccesses(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	b.warm(time.Millisecond)
	b.cold.enter()
	for _, step := range []int{1, 2, 4} {
		require.Equal(t, step, b.cold.limit)
		for range successesPerSlot * step {
			require.True(t, b.cold.cold)
			require.Equal(t, step, b.cold.limit)
			b.running++
			b.reply(ok("i1"), time.Millisecond)
		}
	}
	require.Equal(t, 6, b.cold.limit)
	require.False(t, b.cold.cold)
}

// Guards against doublings of the limit that make a restarted target fail again and again before it is warm.
func TestEachFailureDoublesTheSuccessesBeforeTheLimitRises(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	b.warm(time.Millisecond)
	b.running++
	b.reply(ok("i2"), time.Millisecond)
	for _, run := range []int{1, 2, 4, 8, 8} {
		for range run * initialSuccesses {
			require.Equal(t, 1, b.cold.limit)
			b.running++
			b.reply(ok("i2"), time.Millisecond)
		}
		require.Equal(t, 2, b.cold.limit)
		b.running++
		b.reply(outcome.UnknownResult(outcome.ReasonConnectionLost, ""), time.Millisecond)
	}
}

// Guards against a warm target that its owner goes on treating as cold, because requests differ in cost and some
// replies straggle.
func TestStragglersDoNotKeepATargetCold(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	for i := range 6 * initialSuccesses {
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

// Guards against the slow replies of a cold target being taken as its normal latency when nothing is known of the
// target.
func TestFirstContactRunRestartsAtLowerLatency(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	replies := func(n int, d time.Duration) {
		for range n {
			b.running++
			b.reply(ok("i1"), d)
		}
	}
	replies(initialSuccesses-100, 5*time.Millisecond)
	require.Equal(t, 1, b.cold.limit)
	replies(initialSuccesses, time.Millisecond)
	require.Equal(t, 1, b.cold.limit, "the count of successes must start again once the baseline latency has fallen below half of its initial value")
	replies(100, time.Millisecond)
	require.Equal(t, 2, b.cold.limit)
	replies(2*successesPerSlot, time.Millisecond)
	require.Equal(t, 4, b.cold.limit)
}

// Guards against the slow replies of a cold target being taken as its normal latency although another target of the
// service is warm.
func TestBaselineIsSharedWithinAService(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 6, ColdSlots: 1, Queue: 9})
	b.cold.sharedBaseline = &atomic.Int64{}
	b.cold.sharedBaseline.Store(int64(time.Millisecond))
	for range 2 * successesPerSlot {
		b.running++
		b.reply(ok("i1"), 3*time.Millisecond)
	}
	require.Equal(t, 1, b.cold.limit)
}

// Guards against extra sends to a cold target, including a hedge that was queued while the target was warm.
func TestNoHedgesOrRetriesWhileCold(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	require.Equal(t, outcome.ReasonColdStart, b.decision(b.submitLeaf(outcome.SendHedge, time.Second)))
	require.Equal(t, outcome.ReasonColdStart, b.decision(b.submitLeaf(outcome.SendRetry, time.Second)))
	b.warm(time.Millisecond)
	b.submitLeaf(outcome.SendFirst, time.Second)
	hedge := b.submitLeaf(outcome.SendHedge, time.Second)
	require.Equal(t, waiting, b.decision(hedge))
	b.reply(ok("i2"), time.Millisecond)
	require.Equal(t, outcome.ReasonColdStart, b.decision(hedge))
}

// Guards against queued requests being sent to a zone or target after it was taken out of service.
func TestRulesHoldWhenASlotIsGranted(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.ReasonZoneOut, outcome.ReasonTargetLeaving, outcome.ReasonStaleView} {
		b := newTestBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
		b.submitLeaf(outcome.SendFirst, time.Second)
		queued := b.submitLeaf(outcome.SendFirst, time.Second)
		b.rules.refused = reason
		require.Equal(t, reason, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
		b.reply(ok("i1"), time.Millisecond)
		require.Equal(t, reason, b.decision(queued))
	}
}

// Guards against new requests to a target that has replied that it is draining, while neither the bundle nor the
// platform reports this yet.
func TestDrainingReplyStopsWork(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	b.submitLeaf(outcome.SendFirst, time.Second)
	queued := b.submitLeaf(outcome.SendFirst, time.Second)
	b.reply(outcome.NotRunResult(outcome.ReasonTargetDraining, ""), time.Millisecond)
	require.Equal(t, outcome.ReasonTargetLeaving, b.decision(queued))
	b.clock.Advance(DrainHold - time.Millisecond)
	require.Equal(t, outcome.ReasonTargetLeaving, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
	b.clock.Advance(time.Millisecond)
	require.Equal(t, granted, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
}

// Guards against full load on a zone at the moment of its return to service.
func TestReturnIsPaced(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 8, ColdSlots: 1, Queue: 9})
	b.warm(time.Millisecond)
	for share, limit := range map[float64]int{0: 1, 0.24: 1, 0.25: 2, 0.5: 4, 1: 8} {
		b.rules.share = share
		require.Equal(t, limit, b.limit(b.clock.Now()))
	}
}

// Guards against a lost slot when the context ends at the moment the slot is granted.
func TestWithdrawReturnsAGrantedSlot(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	w := b.submitLeaf(outcome.SendFirst, time.Second)
	require.Equal(t, outcome.ReasonCancelled, b.withdraw(w, context.Canceled).reason)
	require.Equal(t, granted, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
}

// Guards against a release that cuts off running requests, and against queued requests that run after the release.
func TestReleaseRefusesTheQueueAndLetsWorkFinish(t *testing.T) {
	b := newTestBench(t, Limits{Slots: 1, ColdSlots: 1, Queue: 9})
	started, end := make(chan struct{}), make(chan struct{})
	b.runner = runnerFunc(func(context.Context, outcome.LeafRequest) outcome.LeafResult {
		close(started)
		<-end
		return ok("i1")
	})
	done := make(chan outcome.LeafResult)
	go func() { done <- b.Do(context.Background(), outcome.LeafRequest{Kind: outcome.SendFirst}) }()
	<-started
	queued := b.submitLeaf(outcome.SendFirst, time.Second)
	b.release()
	require.Equal(t, outcome.ReasonNotOwner, b.decision(queued))
	require.Equal(t, outcome.ReasonNotOwner, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
	close(end)
	require.Equal(t, outcome.LeafOK, (<-done).Status)
	require.True(t, b.idle())
}
