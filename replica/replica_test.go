package replica_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/snapshot"
)

// source is a catalog source with a settable configuration.
type source struct {
	current atomic.Pointer[config.InForce]
}

func (s *source) Current() *config.InForce { return s.current.Load() }

type world struct {
	clock     *clockwork.FakeClock
	source    source
	snapshots *snapshot.Holdings
	tracker   *replica.Tracker
	shard     *catalog.Shard
}

// newWorld returns a world with one shard that has the replicas near, far and third, each in a zone of its own. The
// tracker runs in the zone of near.
func newWorld() *world {
	w := &world{clock: clockwork.NewFakeClock()}
	w.publish(nil)
	cache := catalog.NewCache(&w.source)
	w.snapshots = snapshot.NewHoldings(w.clock)
	w.tracker = replica.New("petrosani", w.clock, cache, w.snapshots)
	s, _ := cache.Current().Service("subventii")
	w.shard = &s.Snapshots[0].Shards[0]
	for _, t := range w.shard.Replicas {
		w.snapshots.Record(snapshot.Reply{Target: t.ID, Incarnation: "1", Held: []ident.SnapshotID{"s1"}, Sent: w.clock.Now()})
	}
	return w
}

func (w *world) publish(change func(*bundle.Bundle)) {
	b := &bundle.Bundle{Zones: []bundle.Zone{{ID: "petrosani", State: bundle.ZoneIn}, {ID: "lupeni", State: bundle.ZoneIn}, {ID: "vulcan", State: bundle.ZoneIn}},
		Services: []bundle.Service{{ID: "subventii", Targets: []bundle.Target{{ID: "near", Zone: "petrosani", State: bundle.TargetServing},
			{ID: "far", Zone: "lupeni", State: bundle.TargetServing}, {ID: "third", Zone: "vulcan", State: bundle.TargetServing}},
			Snapshots: []bundle.Snapshot{{ID: "s1", Shards: []bundle.Shard{{ID: "a", Replicas: []ident.TargetID{"near", "far", "third"}}}}}}}}
	if change != nil {
		change(b)
	}
	w.source.current.Store(&config.InForce{Verified: &bundle.Verified{Bundle: b}, Since: w.clock.Now()})
}

func (w *world) target(id ident.TargetID) *catalog.Target {
	return w.shard.Replicas[slices.IndexFunc(w.shard.Replicas, func(t *catalog.Target) bool { return t.ID == id })]
}

func (w *world) done(id ident.TargetID, res outcome.LeafResult, elapsed time.Duration) {
	w.tracker.Begin(w.target(id)).Done(&res, elapsed)
}

func (w *world) choose(kind outcome.SendKind, probe bool, tried ...ident.TargetID) (replica.Choice, outcome.Reason) {
	return w.tracker.Choose(replica.Criteria{Service: "subventii", Snapshot: "s1", Shard: w.shard, Kind: kind, AllowProbe: probe, Tried: tried})
}

func succeededWith(load uint32) outcome.LeafResult {
	return outcome.LeafResult{Status: outcome.LeafOK, Incarnation: "1", Load: load}
}

// Guards against a choice that ignores load or round-trip time: a replica in another zone is chosen only when the queue
// of the near one costs more than the round trip.
func TestChoiceWeighsLoadAgainstZoneRTT(t *testing.T) {
	w := newWorld()
	w.done("near", succeededWith(0), 3*time.Millisecond)
	w.done("far", succeededWith(0), 11*time.Millisecond)
	choice, _ := w.choose(outcome.SendFirst, false, "third")
	require.Equal(t, ident.TargetID("near"), choice.Target.ID)
	require.False(t, choice.Stale)
	w.done("near", succeededWith(4), 3*time.Millisecond)
	choice, _ = w.choose(outcome.SendFirst, false, "third")
	require.Equal(t, ident.TargetID("far"), choice.Target.ID, "the far target must be chosen, because 5 x 3 ms exceeds 3 ms + 8 ms of round-trip time")
	w.clock.Advance(replica.StaleAfter + time.Millisecond)
	choice, _ = w.choose(outcome.SendFirst, false, "third")
	require.Equal(t, ident.TargetID("near"), choice.Target.ID, "a queue length older than StaleAfter must not count")
	require.True(t, choice.Stale)
}

// Guards against preferring a target that swallows requests until its requests are abandoned: it must score worse as
// soon as they wait longer than usual. One straggler of a target that goes on replying must not count.
func TestUnansweredRequestsRaiseScore(t *testing.T) {
	w := newWorld()
	w.done("near", succeededWith(0), 3*time.Millisecond)
	w.done("far", succeededWith(0), 11*time.Millisecond)
	straggler := w.tracker.Begin(w.target("near"))
	w.clock.Advance(10 * time.Millisecond)
	choice, _ := w.choose(outcome.SendFirst, false, "third")
	require.Equal(t, ident.TargetID("far"), choice.Target.ID)
	w.done("near", succeededWith(0), 3*time.Millisecond)
	choice, _ = w.choose(outcome.SendFirst, false, "third")
	require.Equal(t, ident.TargetID("near"), choice.Target.ID)
	straggler.NotSent()
	w.clock.Advance(time.Second)
	choice, _ = w.choose(outcome.SendFirst, false, "third")
	require.Equal(t, ident.TargetID("near"), choice.Target.ID, "the near target must be chosen once no request to it is in flight")
}

// Guards against choosing a target that failed or swallows requests, and against never using it again: it must be
// probed, one request at a time.
func TestFailedTargetsAreAvoidedAndProbed(t *testing.T) {
	for name, fail := range map[string]func(*world){
		"connection lost": func(w *world) {
			w.done("near", outcome.UnknownResult(outcome.ReasonConnectionLost, ""), time.Millisecond)
		},
		"black hole": func(w *world) {
			for range 3 {
				w.done("near", outcome.UnknownResult(outcome.ReasonCancelled, ""), time.Second)
			}
		},
	} {
		w := newWorld()
		fail(w)
		require.False(t, w.tracker.Usable(w.target("near")), name)
		for range 50 {
			choice, _ := w.choose(outcome.SendFirst, true)
			require.NotEqual(t, ident.TargetID("near"), choice.Target.ID, name)
		}
		last, _ := w.choose(outcome.SendFirst, true, "far", "third")
		require.Equal(t, replica.ReasonLastResort, last.Reason, name)
		for range 50 {
			choice, _ := w.choose(outcome.SendHedge, false)
			require.NotEqual(t, ident.TargetID("near"), choice.Target.ID, name)
		}
		choice, reason := w.choose(outcome.SendHedge, false, "far", "third")
		if name == "black hole" {
			require.Equal(t, replica.ReasonLastResort, choice.Reason, "a target that only left requests unanswered may be alive and must get the hedge if no other replica is left")
		} else {
			require.Equal(t, outcome.ReasonNoReplica, reason, "a failed target must get no hedge")
		}
		w.clock.Advance(600 * time.Millisecond)
		choice, _ = w.choose(outcome.SendFirst, true)
		require.Equal(t, replica.ReasonProbe, choice.Reason, name)
		require.Equal(t, ident.TargetID("near"), choice.Target.ID, name)
		again, _ := w.choose(outcome.SendFirst, true)
		require.NotEqual(t, replica.ReasonProbe, again.Reason, "a second probe must not be sent before the next one is due")
		w.done("near", succeededWith(0), time.Millisecond)
		require.True(t, w.tracker.Usable(w.target("near")), name)
	}
}

// Guards against a zone that returns to service getting more than its share so far, unless a shard has no other
// replica.
func TestReturningZoneGetsItsShare(t *testing.T) {
	w := newWorld()
	near := func(z *bundle.Bundle) { z.Zones[0].ReturnSeconds = 100 }
	w.publish(func(b *bundle.Bundle) { near(b); b.Zones[0].State = bundle.ZoneOut })
	_, reason := w.choose(outcome.SendFirst, true, "far", "third")
	require.Equal(t, outcome.ReasonZoneOut, reason)
	w.publish(near)
	for _, c := range []struct{ after, low, high int }{{0, 0, 0}, {25, 150, 350}, {25, 400, 600}, {50, 1000, 1000}} {
		w.clock.Advance(time.Duration(c.after) * time.Second)
		chosen := 0
		for range 1000 {
			if choice, _ := w.choose(outcome.SendFirst, true, "third"); choice.Target.ID == "near" {
				chosen++
			}
		}
		require.True(t, c.low <= chosen && chosen <= c.high, "%d of 1000 sends went to the near target after %d s more, which is not its share", chosen, c.after)
		choice, _ := w.choose(outcome.SendFirst, true, "far", "third")
		require.Equal(t, ident.TargetID("near"), choice.Target.ID, "the near target must be chosen if it is the only replica left")
	}
}

// Guards against treating an overloaded target as failed or as lacking its snapshot: it must be avoided briefly, then
// be used again without a probe.
func TestOverloadedTargetIsAvoidedBriefly(t *testing.T) {
	w := newWorld()
	w.done("near", outcome.LeafResult{Status: outcome.LeafNotRun, Reason: outcome.ReasonTargetShed, Incarnation: "1"}, time.Millisecond)
	choice, _ := w.choose(outcome.SendFirst, true, "third")
	require.Equal(t, ident.TargetID("far"), choice.Target.ID)
	require.True(t, w.tracker.Usable(w.target("near")))
	w.clock.Advance(101 * time.Millisecond)
	choice, _ = w.choose(outcome.SendFirst, false, "third")
	require.Equal(t, ident.TargetID("near"), choice.Target.ID)
	require.NotEqual(t, replica.ReasonProbe, choice.Reason)
}

// Guards against sending to a draining target before it restarts, and against hedges and retries to a target in cold
// start.
func TestDrainingAndColdTargets(t *testing.T) {
	w := newWorld()
	w.done("near", outcome.LeafResult{Status: outcome.LeafNotRun, Reason: outcome.ReasonTargetDraining, Incarnation: "1"}, time.Millisecond)
	_, reason := w.choose(outcome.SendFirst, true, "far", "third")
	require.Equal(t, outcome.ReasonTargetDraining, reason)
	w.done("near", outcome.LeafResult{Status: outcome.LeafOK, Incarnation: "2", Cold: true}, time.Millisecond)
	_, reason = w.choose(outcome.SendFirst, false, "far", "third")
	require.Equal(t, outcome.ReasonNone, reason)
	for _, kind := range []outcome.SendKind{outcome.SendHedge, outcome.SendRetry} {
		_, reason = w.choose(kind, false, "far", "third")
		require.Equal(t, outcome.ReasonColdStart, reason)
	}
}

// Guards against choosing a target that the bundle excludes, that lacks the snapshot or that was already tried,
// whatever its replies were.
func TestChoiceNeverTakesAForbiddenTarget(t *testing.T) {
	ids := []ident.TargetID{"near", "far", "third"}
	results := []outcome.LeafResult{succeededWith(0), succeededWith(9), outcome.UnknownResult(outcome.ReasonConnectionLost, ""), outcome.UnknownResult(outcome.ReasonDeadline, ""),
		outcome.NotRunResult(outcome.ReasonTargetShed, ""), outcome.NotRunResult(outcome.ReasonDialFailed, "")}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		lacking := rapid.SampledFrom(append(ids, "none")).Draw(t, "lacking")
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			out, leaving := rapid.IntRange(0, 3).Draw(t, "zone out"), rapid.IntRange(0, 3).Draw(t, "leaving")
			w.publish(func(b *bundle.Bundle) {
				if out < 3 {
					b.Zones[out].State = bundle.ZoneOut
				}
				if leaving < 3 {
					b.Services[0].Targets[leaving].State = bundle.TargetLeaving
				}
			})
			w.snapshots.Record(snapshot.Reply{Target: lacking, Incarnation: "1", Held: []ident.SnapshotID{"s2"}, Sent: w.clock.Now()})
			w.done(rapid.SampledFrom(ids).Draw(t, "target"), rapid.SampledFrom(results).Draw(t, "result"), time.Millisecond)
			w.clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			tried := rapid.SampledFrom(ids).Draw(t, "tried")
			choice, reason := w.choose(outcome.SendFirst, rapid.Bool().Draw(t, "probe"), tried)
			if reason != outcome.ReasonNone {
				continue
			}
			got := slices.Index(ids, choice.Target.ID)
			if got == out || got == leaving || choice.Target.ID == lacking && w.snapshots.State(lacking, "s1") == snapshot.Lacks || choice.Target.ID == tried {
				t.Fatalf("chose %s, want no target that the bundle excludes, that lacks the snapshot or that was already tried; zone %d is out and target %d is leaving (3 means none), %s lacks the snapshot, and %s was already tried", choice.Target.ID, out, leaving, lacking, tried)
			}
		}
	})
}
