package search_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/hedge"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/search"
)

// fault is the scripted outcome of a send.
type fault int

const (
	replyComplete fault = iota
	replyOtherRequest
	replyOtherShard
	replyOtherSnapshot
	replyTruncated
	replyEmpty
	sendLost
	sendRefused
	sendDialFailed
	faultCount
)

func (f fault) result(r outcome.LeafRequest) outcome.LeafResult {
	res := completeReply(r)
	switch f {
	case replyOtherRequest:
		res.ID = "another"
	case replyOtherShard:
		res.Shard = "another"
	case replyOtherSnapshot:
		res.Snapshot = "s2"
	case replyTruncated:
		res.Body = res.Body[:len(res.Body)-1]
	case replyEmpty:
		res.Body = nil
	case sendLost:
		return outcome.UnknownResult(outcome.ReasonConnectionLost, "")
	case sendRefused:
		return outcome.NotRunResult(outcome.ReasonTargetShed, "")
	case sendDialFailed:
		return outcome.NotRunResult(outcome.ReasonDialFailed, "")
	default:
	}
	return res
}

// step is the script of one send.
type step struct {
	fault fault
	delay time.Duration
	// ignoresCancel makes the target reply after the delay even if the send was cancelled.
	ignoresCancel bool
}

// Whatever targets reply, and in whatever order, no answer may mix snapshots, count a shard whose own complete reply did
// not arrive before the answer, or have the outcome NotRun after a send that ran.
func TestAnswersAreTruthful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 6).Draw(rt, "shards")
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{fault(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fault")),
				time.Duration(rapid.IntRange(0, 150).Draw(rt, "ms")) * time.Millisecond, rapid.Bool().Draw(rt, "ignores cancel")}
		}), shards*4, shards*4).Draw(rt, "steps")
		minCoverage := rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "min coverage")
		problem := ""
		synctest.Test(t, func(*testing.T) { problem = checkScript(shards, steps, minCoverage) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func checkScript(shards int, steps []step, minCoverage float64) string {
	h := newHarness(shards)
	// arrived maps the body of each complete reply to its time of arrival. refused counts the sends that provably did not
	// run; any other send may have run.
	arrived, refused := map[string]time.Time{}, 0
	h.reply = func(ctx context.Context, r outcome.LeafRequest, n int) outcome.LeafResult {
		index := 0
		_, _ = fmt.Sscanf(string(r.Shard), "shard%d", &index)
		s := steps[index*4+n]
		if s.ignoresCancel {
			ctx = context.WithoutCancel(ctx)
		}
		if !sleep(ctx, s.delay) {
			return outcome.UnknownResult(outcome.ReasonCancelled, "")
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		switch s.fault {
		case sendRefused, sendDialFailed:
			refused++
		case replyComplete:
			arrived[string(body(r))] = time.Now()
		default:
		}
		return s.fault.result(r)
	}
	answer := h.search(minCoverage)
	end := time.Now()
	h.mu.Lock()
	problem := checkAnswer(answer, shards, len(h.sends) > refused, minCoverage, func(b []byte) bool {
		at, ok := arrived[string(b)]
		return ok && !at.After(end)
	})
	h.mu.Unlock()
	// Wait for the targets that ignore cancellation, so that every goroutine of the bubble ends.
	sleep(context.Background(), time.Second)
	return problem
}

// checkAnswer returns what is wrong with an answer, or the empty string. arrived reports whether the body arrived in
// time; ran reports whether a send may have run.
func checkAnswer(a search.Answer, shards int, ran bool, minCoverage float64, arrived func([]byte) bool) string {
	seen := map[ident.ShardID]bool{}
	for _, r := range a.Results {
		var b struct{ Shard, Snapshot string }
		if json.Unmarshal(r.Body, &b) != nil || b.Shard != string(r.Shard) || b.Snapshot != string(a.Snapshot) || !arrived(r.Body) || seen[r.Shard] {
			return fmt.Sprintf("shard %s of snapshot %s is answered with the wrong body %s", r.Shard, a.Snapshot, r.Body)
		}
		seen[r.Shard] = true
	}
	for _, m := range a.Coverage.Missing {
		if seen[m.Shard] || m.Reason == outcome.ReasonNone {
			return fmt.Sprintf("shard %s is listed as missing although it is answered or missing already, or without a reason", m.Shard)
		}
		seen[m.Shard] = true
	}
	c, coverageTooLow := a.Coverage, a.Reason == outcome.ReasonCoverageTooLow
	outcomeOK := map[outcome.Kind]bool{
		outcome.Complete: c.Answered == shards,
		outcome.Partial:  c.Answered > 0 && c.Answered < shards && c.Share() >= minCoverage,
		outcome.NotRun:   c.Answered == 0 && !ran,
		outcome.Unknown:  ran && (c.Answered == 0 || coverageTooLow && c.Share() < minCoverage),
	}[a.Outcome]
	if !outcomeOK || c.Expected != shards || c.Answered+len(c.Missing) != shards || (!coverageTooLow && len(a.Results) != c.Answered) {
		return fmt.Sprintf("wrong outcome %s (reason %s) with coverage %+v and %d results; a send may have run: %v", a.Outcome, a.Reason, c, len(a.Results), ran)
	}
	return ""
}

// A reply that arrives after the deadline must be dropped and counted as late, and the answer must not wait for it beyond
// the deadline.
func TestLateReplyIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(3)
		h.reply = func(_ context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult {
			if r.Shard == "shard1" {
				sleep(context.Background(), time.Second)
			}
			return completeReply(r)
		}
		answer := h.search(0)
		require.Equal(t, outcome.Partial, answer.Outcome)
		require.Equal(t, []search.MissingShard{{Shard: "shard1", Reason: outcome.ReasonDeadline}}, answer.Coverage.Missing)
		require.Equal(t, deadline, answer.Elapsed)
		sleep(context.Background(), 2*time.Second)
		synctest.Wait()
		require.Equal(t, uint64(1), h.Stats.Results(search.Late))
		require.Equal(t, uint64(2), h.Stats.Results(search.Accepted))
	})
}

// A straggler must be hedged at the p95 of the service, and be cancelled as soon as its hedge wins, not only when the
// search ends.
func TestHedgeWinsAndLoserIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(40)
		straggle, cancelled := false, time.Time{}
		h.reply = func(ctx context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult {
			wait := 3 * time.Millisecond
			switch {
			case straggle && r.Shard == "shard7" && r.Kind == outcome.SendFirst:
				wait = time.Second
			case straggle && r.Shard == "shard8":
				wait = 50 * time.Millisecond
			}
			if !sleep(ctx, wait) {
				h.mu.Lock()
				defer h.mu.Unlock()
				if r.Shard == "shard7" {
					cancelled = time.Now()
				}
				return outcome.UnknownResult(outcome.ReasonCancelled, "")
			}
			return completeReply(r)
		}
		for range 20 {
			require.Equal(t, outcome.Complete, h.search(1).Outcome)
		}
		straggle = true
		start := time.Now()
		answer := h.search(1)
		require.Equal(t, outcome.Complete, answer.Outcome)
		require.Equal(t, 50*time.Millisecond, answer.Elapsed)
		h.mu.Lock()
		defer h.mu.Unlock()
		require.False(t, cancelled.IsZero(), "the slower send was not cancelled")
		require.Less(t, cancelled.Sub(start), 10*time.Millisecond)
		require.Equal(t, uint64(2), h.Stats.Sends(outcome.SendHedge))
		for _, r := range h.sends[len(h.sends)-2:] {
			require.Equal(t, outcome.SendHedge, r.Kind)
			require.Equal(t, answer.Snapshot, r.Snapshot)
		}
	})
}

// One replica stalls until hedges have won against three of its requests, so that it is avoided. It recovers, and the
// other replica stops replying. The hedge must then go to the recovered replica, or every search of the next half second
// misses the shard.
func TestHedgeGoesToASuspectedReplicaWhenTheOtherIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(40)
		stalled, silent := map[ident.TargetID]bool{}, map[ident.TargetID]bool{}
		h.reply = func(ctx context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult {
			wait := 3 * time.Millisecond
			if r.Shard == "shard7" && (stalled[r.Target] || silent[r.Target]) {
				wait = time.Second
			}
			if !sleep(ctx, wait) {
				return outcome.UnknownResult(outcome.ReasonCancelled, "")
			}
			return completeReply(r)
		}
		for range 20 {
			require.Equal(t, outcome.Complete, h.search(1).Outcome)
		}
		target := func(id ident.TargetID) *catalog.Target {
			service, _ := h.Catalog.Current().Service("subventii")
			shard := service.Snapshots[0].Shards[7]
			return shard.Replicas[slices.IndexFunc(shard.Replicas, func(t *catalog.Target) bool { return t.ID == id })]
		}
		stalled["t7-0"] = true
		for range 100 {
			h.search(1)
			if !h.Replicas.Usable(target("t7-0")) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.False(t, h.Replicas.Usable(target("t7-0")), "the stalled replica is still usable, so the test does not reproduce the failure")
		stalled["t7-0"], silent["t7-1"] = false, true
		for range 5 {
			answer := h.search(1)
			require.Equal(t, outcome.Complete, answer.Outcome, "%+v", answer.Coverage.Missing)
		}
	})
}

// lateClock fires timers late, as in a process that gets no CPU time.
type lateClock struct {
	clockwork.Clock
	late atomic.Int64
}

func (c *lateClock) NewTimer(d time.Duration) clockwork.Timer {
	return c.Clock.NewTimer(d + time.Duration(c.late.Load()))
}

// A VM stalls while its searches run, and replies wait to be read. The sends that they answer must neither be hedged nor
// count as slow: otherwise the hedges of the next searches are denied, and a replica that does not reply costs coverage.
func TestProcessStallIsNotCountedAsSlowTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(40)
		clock := &lateClock{Clock: h.Clock}
		h.Clock = clock
		// readTime is how long the process takes after the stall to read the replies that wait.
		const stall, readTime = 8 * time.Millisecond, 300 * time.Microsecond
		h.reply = func(ctx context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult {
			wait := 3 * time.Millisecond
			if late := time.Duration(clock.late.Load()); late > 0 {
				wait += late + readTime
			}
			if !sleep(ctx, wait) {
				return outcome.UnknownResult(outcome.ReasonCancelled, "")
			}
			return completeReply(r)
		}
		for range 20 {
			require.Equal(t, outcome.Complete, h.search(1).Outcome)
		}
		hedges := h.Stats.Sends(outcome.SendHedge)
		clock.late.Store(int64(stall))
		for range 3 {
			require.Equal(t, outcome.Complete, h.search(1).Outcome)
		}
		require.Equal(t, hedges, h.Stats.Sends(outcome.SendHedge), "sends were hedged although their replies had arrived")
		require.Equal(t, hedge.Allowed, h.Hedge.Service("subventii").Take(), "the stall of the process was counted as slow targets")
	})
}

// A target does not reply while the process stalls. Its hedge must be postponed, but not omitted.
func TestHedgeAfterAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(40)
		clock := &lateClock{Clock: h.Clock}
		h.Clock = clock
		silent := false
		h.reply = func(ctx context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult {
			wait := 3 * time.Millisecond
			if silent && r.Shard == "shard7" && r.Kind == outcome.SendFirst {
				wait = time.Second
			}
			if !sleep(ctx, wait) {
				return outcome.UnknownResult(outcome.ReasonCancelled, "")
			}
			return completeReply(r)
		}
		for range 20 {
			require.Equal(t, outcome.Complete, h.search(1).Outcome)
		}
		silent = true
		clock.late.Store(int64(8 * time.Millisecond))
		require.Equal(t, outcome.Complete, h.search(1).Outcome)
	})
}

// Sends without a reply must not raise the hedge delay: later hedges would leave them in flight longer still.
func TestSilentSendsDoNotRaiseTheHedgeDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(40)
		silent := false
		h.reply = func(ctx context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult {
			wait := 3 * time.Millisecond
			if silent && r.Shard[len(r.Shard)-1] == '7' && r.Kind == outcome.SendFirst {
				wait = time.Hour
			}
			if !sleep(ctx, wait) {
				return outcome.UnknownResult(outcome.ReasonCancelled, "")
			}
			return completeReply(r)
		}
		for range 150 {
			h.search(1)
			silent = len(h.sends) > 800
		}
		delay, known := h.Hedge.Service("subventii").Delay()
		require.True(t, known)
		require.Less(t, delay, 5*time.Millisecond)
	})
}

// An availability zone that is taken out while a query runs must get none of its later sends, neither hedges nor retries.
func TestZoneTakenOutDuringAQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(4)
		out := false
		h.reply = func(_ context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult {
			sleep(context.Background(), time.Millisecond)
			h.mu.Lock()
			defer h.mu.Unlock()
			if r.Target[len(r.Target)-1] == '1' {
				t.Errorf("%s send went to %s in the zone that was taken out", r.Kind, r.Target)
			}
			if !out {
				out = true
				h.publish(4, func(b *bundle.Bundle) { b.Zones[1].State = bundle.ZoneOut })
			}
			return outcome.NotRunResult(outcome.ReasonDialFailed, "")
		}
		answer := h.search(0)
		require.Equal(t, outcome.NotRun, answer.Outcome)
		require.Equal(t, uint64(1), answer.ConfigVersion, "the query does not report the configuration version with which it began")
	})
}

// switchingSource returns the catalog in field before for the first reads, as many as field from states, and the
// catalog in field after for all later reads.
type switchingSource struct {
	before, after *catalog.Catalog
	reads, from   int
}

func (s *switchingSource) Current() *catalog.Catalog {
	if s.reads++; s.reads > s.from {
		return s.after
	}
	return s.before
}

// A send must not be made if, after its target was chosen, a bundle that excludes the target comes into force, or if
// the deadline has passed.
func TestSendIsCheckedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1)
		source := &switchingSource{before: catalog.Build(h.Current(), nil), from: 2}
		h.publish(1, func(b *bundle.Bundle) { b.Zones[0].State, b.Zones[1].State = bundle.ZoneOut, bundle.ZoneOut })
		source.after = catalog.Build(h.Current(), nil)
		h.Catalog, h.Replicas = source, replica.New("petrosani", h.Clock, source, h.Holdings)
		answer := h.search(0)
		require.Equal(t, outcome.NotRun, answer.Outcome)
		require.Equal(t, outcome.ReasonZoneOut, answer.Reason)
		require.Empty(t, h.sends)

		h = newHarness(1)
		ctx, cancel := context.WithTimeout(context.Background(), 0)
		defer cancel()
		for _, passed := range []context.Context{ctx, expiredContext{context.Background()}} {
			answer = h.Search(passed, search.Query{Service: "subventii", Body: []byte(`1`)})
			require.Equal(t, outcome.NotRun, answer.Outcome)
			require.Equal(t, outcome.ReasonDeadline, answer.Reason)
			require.Empty(t, h.sends)
		}
	})
}

// expiredContext is a context whose deadline has passed but whose timer has not fired yet, as after a stall of the
// process.
type expiredContext struct{ context.Context }

func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// guardFunc is a scripted search.Guard that derives its result from the canary.
type guardFunc func(canary outcome.LeafRequest) search.GuardResult

func (g guardFunc) Check(_ context.Context, _ string, canary outcome.LeafRequest, replicas []ident.TargetID) search.GuardResult {
	if len(replicas) != 2 || replicas[0] != canary.Target {
		panic("the canary must have two replicas, the first of them its target")
	}
	return g(canary)
}

// A query that the guard does not allow must not be fanned out, and its outcome may be NotRun only if its canary did not
// run.
func TestSearchFollowsTheVerdictOfItsGuard(t *testing.T) {
	leaf := func(verdict search.GuardVerdict, f fault) guardFunc {
		return func(canary outcome.LeafRequest) search.GuardResult {
			res := f.result(canary)
			return search.GuardResult{Verdict: verdict, Leaf: &res, Target: canary.Target}
		}
	}
	verdictOnly := func(verdict search.GuardVerdict) guardFunc {
		return func(outcome.LeafRequest) search.GuardResult { return search.GuardResult{Verdict: verdict} }
	}
	for name, tc := range map[string]struct {
		guard  guardFunc
		want   outcome.Kind
		reason outcome.Reason
		sends  int
	}{
		"known":                              {verdictOnly(search.GuardSafe), outcome.Complete, "", 3},
		"canary answered":                    {leaf(search.GuardSafe, replyComplete), outcome.Complete, "", 2},
		"canary reply to another request":    {leaf(search.GuardSafe, replyOtherRequest), outcome.Complete, "", 3},
		"canary reply from another snapshot": {leaf(search.GuardSafe, replyOtherSnapshot), outcome.Complete, "", 3},
		"quarantined before the query":       {verdictOnly(search.GuardQuarantined), outcome.NotRun, outcome.ReasonQuarantined, 0},
		"quarantined by its canary":          {leaf(search.GuardQuarantined, sendLost), outcome.Unknown, outcome.ReasonQuarantined, 0},
		"check failed without a canary":      {verdictOnly(search.GuardFailed), outcome.Unknown, outcome.ReasonConnectionLost, 0},
		"canary refused":                     {leaf(search.GuardFailed, sendRefused), outcome.NotRun, outcome.ReasonTargetShed, 0},
		"canary lost":                        {leaf(search.GuardFailed, sendLost), outcome.Unknown, outcome.ReasonConnectionLost, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(3)
			h.Guard = tc.guard
			answer := h.search(1)
			require.Equal(t, tc.want, answer.Outcome, name)
			require.Equal(t, tc.reason, answer.Reason, name)
			require.Len(t, h.sends, tc.sends, name)
			require.Equal(t, 3, answer.Coverage.Answered+len(answer.Coverage.Missing), name)
		})
	}
}

// A shard that lost its replicas must not keep a query without a verdict from reaching the other shards.
func TestCanaryMovesToAnotherShardWhenRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			h := newHarness(3)
			h.Guard = guardFunc(func(canary outcome.LeafRequest) search.GuardResult {
				res, verdict := completeReply(canary), search.GuardSafe
				if canary.Shard == "shard1" {
					res, verdict = outcome.NotRunResult(outcome.ReasonDialFailed, ""), search.GuardFailed
				}
				return search.GuardResult{Verdict: verdict, Leaf: &res, Target: canary.Target}
			})
			h.reply = func(_ context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult {
				if r.Shard == "shard1" {
					return outcome.NotRunResult(outcome.ReasonDialFailed, "")
				}
				return completeReply(r)
			}
			answer := h.search(0)
			require.Equal(t, outcome.Partial, answer.Outcome)
			require.Equal(t, 2, answer.Coverage.Answered)
			require.Equal(t, ident.ShardID("shard1"), answer.Coverage.Missing[0].Shard)
		}
	})
}

// If a shard has a replica in this zone, the canary must run there: in another zone it would add the delay of the link
// between the zones to the whole search.
func TestCanaryStaysInTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(3)
		h.publish(3, func(b *bundle.Bundle) {
			for i := range b.Services[0].Targets {
				b.Services[0].Targets[i].Zone = "lupeni"
			}
			b.Services[0].Targets[2].Zone = "petrosani"
		})
		for range 20 {
			h.Guard = guardFunc(func(canary outcome.LeafRequest) search.GuardResult {
				require.Equal(t, ident.ShardID("shard1"), canary.Shard)
				require.Equal(t, ident.TargetID("t1-0"), canary.Target)
				res := completeReply(canary)
				return search.GuardResult{Verdict: search.GuardSafe, Leaf: &res, Target: canary.Target}
			})
			require.Equal(t, outcome.Complete, h.search(1).Outcome)
		}
	})
}

// A bundle that repartitions the service during a query must not change which shards the query expects.
func TestRepartitionDuringAQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(3)
		h.reply = func(_ context.Context, r outcome.LeafRequest, n int) outcome.LeafResult {
			sleep(context.Background(), time.Millisecond)
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.version == 1 {
				h.publish(5, func(b *bundle.Bundle) { b.Services[0].Snapshots = b.Services[0].Snapshots[1:] })
			}
			if r.Shard == "shard2" && n == 0 {
				return outcome.NotRunResult(outcome.ReasonDialFailed, "")
			}
			return completeReply(r)
		}
		answer := h.search(1)
		require.Equal(t, outcome.Complete, answer.Outcome)
		require.Equal(t, ident.SnapshotID("s1"), answer.Snapshot)
		require.Equal(t, 3, answer.Coverage.Expected)
		answer = h.search(1)
		require.Equal(t, ident.SnapshotID("s2"), answer.Snapshot)
		require.Equal(t, 5, answer.Coverage.Expected)
	})
}

// A newer snapshot that targets come to hold while queries run must be pinned by later queries, and only by those.
func TestPinMovesToANewerSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(4)
		held := []ident.SnapshotID{"s1"}
		h.reply = func(_ context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult {
			res := completeReply(r)
			res.Held = held
			return res
		}
		require.Equal(t, ident.SnapshotID("s1"), h.search(1).Snapshot)
		held = []ident.SnapshotID{"s1", "s2"}
		require.Equal(t, ident.SnapshotID("s1"), h.search(1).Snapshot)
		answer := h.search(1)
		require.Equal(t, ident.SnapshotID("s2"), answer.Snapshot)
		require.Equal(t, outcome.Complete, answer.Outcome)
	})
}
