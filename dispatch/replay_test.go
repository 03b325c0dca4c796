package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/dispatch"
)

// workload is a series of searches that one VM of a large fleet runs over shards of three targets, one in each zone. Time
// is virtual and every reply is determined by the seed.
type workload struct {
	shards, searches int
	gap              time.Duration
	work             time.Duration
	refusingShare    float64 // share of the targets that refuse
	refusalRate      float64 // share of requests that a refusing target refuses
}

// replay returns the share of searches that covered at least minCovered shards. Without useFailureShare the share of
// refusals does not count in the cost of a target.
func (l workload) replay(seed uint64, minCovered int, useFailureShare bool) float64 {
	random := rand.New(rand.NewPCG(seed, seed))
	trackers := make([][]*dispatch.Tracker, l.shards)
	refuses := make([][]bool, l.shards)
	budgets := make([]*dispatch.Budget, l.shards)
	for i := range trackers {
		budgets[i] = dispatch.NewBudget(0.2, 156.0/61, 10*time.Second)
		for range 3 {
			trackers[i] = append(trackers[i], dispatch.NewTracker())
			refuses[i] = append(refuses[i], random.Float64() < l.refusingShare)
		}
	}
	start := time.Unix(0, 0)
	good := 0
	for n := range l.searches {
		now := start.Add(time.Duration(n) * l.gap)
		covered := 0
		for i := range trackers {
			budgets[i].RecordFirstSend(now.Sub(start))
			if l.serve(random, trackers[i], refuses[i], budgets[i], now, now.Sub(start), useFailureShare) {
				covered++
			}
		}
		if covered >= minCovered {
			good++
		}
	}
	return float64(good) / float64(l.searches)
}

// serve sends one unit until a target serves it, all targets refused it, or the budget is spent, and reports whether it
// was served.
func (l workload) serve(random *rand.Rand, trackers []*dispatch.Tracker, refuses []bool, budget *dispatch.Budget, now time.Time,
	at time.Duration, useFailureShare bool) bool {
	candidates := make([]dispatch.Candidate, len(trackers))
	for k, t := range trackers {
		candidates[k] = dispatch.Candidate{Load: t.Load(now), Local: k == 0, Slots: 6, FreeConnections: 1, Sharers: 1}
		if !useFailureShare {
			candidates[k].Load.FailureShare = 0
		}
	}
	for attempt := 0; ; attempt++ {
		k := dispatch.Choose(candidates, l.work, 0)
		if k < 0 || attempt > 0 && !budget.Take(at, 1) {
			return false
		}
		trackers[k].Begin(now)
		if !refuses[k] || random.Float64() >= l.refusalRate {
			trackers[k].End(now, now.Add(l.work), dispatch.Replied, l.work)
			return true
		}
		trackers[k].End(now, now, dispatch.Refused, l.work)
		candidates[k].Excluded = true
	}
}

// Replays half of the targets refusing two in five requests for 9 s, with 36 shards of which 35 are needed and two
// searches a second at this VM. It guards against a choice that keeps sending to refusing targets while other targets
// of the shard are healthy. The requirement for this load is 0.60 of the value that responses to all searches would
// have, and the test demands that at least this share of the searches covers 35 shards.
func TestReplayRefusingTargets(t *testing.T) {
	l := workload{shards: 36, searches: 40, gap: 250 * time.Millisecond, work: 28 * time.Millisecond, refusingShare: 0.5, refusalRate: 0.4}
	with, without := 0.0, 0.0
	const seeds = 30
	for seed := range uint64(seeds) {
		with += l.replay(seed, 35, true) / seeds
		without += l.replay(seed, 35, false) / seeds
	}
	t.Logf("searches covered with the failure share in the cost: %.3f, without it: %.3f", with, without)
	require.GreaterOrEqual(t, with, 0.60)
	require.Greater(t, with, without)
}

// Replays a target of the VM's own zone that pauses under load: the request in flight waits there, later ones must go
// to another zone, and must go to the target again once it has replied.
func TestReplayPause(t *testing.T) {
	const median = 8 * time.Millisecond
	local, remote := dispatch.NewTracker(), dispatch.NewTracker()
	start := time.Unix(0, 0)
	choose := func(now time.Time) int {
		return dispatch.Choose([]dispatch.Candidate{
			{Load: local.Load(now), Local: true, Slots: 2, FreeConnections: 3, Sharers: 3},
			{Load: remote.Load(now), Slots: 2, FreeConnections: 3, Sharers: 3}}, median, 0)
	}
	require.Zero(t, choose(start))
	local.Begin(start)
	require.Zero(t, choose(start.Add(median)), "a wait of one median latency must not count as a pause")
	require.Equal(t, 1, choose(start.Add(60*time.Millisecond)), "a wait of 60 ms must count as a pause")
	local.End(start, start.Add(100*time.Millisecond), dispatch.Replied, median)
	later := start.Add(8 * time.Second)
	require.Zero(t, choose(later), "a target must be chosen again after a single pause")
}

// Replays a local target that became eight times slower: after a few replies a target of another zone must be preferred,
// and the slow one must be tried again later although it sent no reply in between.
func TestReplaySlowTarget(t *testing.T) {
	const median = 28 * time.Millisecond
	local, remote := dispatch.NewTracker(), dispatch.NewTracker()
	now := time.Unix(0, 0)
	choose := func() int {
		return dispatch.Choose([]dispatch.Candidate{{Load: local.Load(now), Local: true, Slots: 6, FreeConnections: 3, Sharers: 1},
			{Load: remote.Load(now), Slots: 6, FreeConnections: 3, Sharers: 1}}, median, 0)
	}
	attempts := 0
	for ; choose() == 0; attempts++ {
		local.Begin(now)
		local.End(now, now.Add(8*median), dispatch.Replied, median)
		now = now.Add(8 * median)
		require.Less(t, attempts, 3)
	}
	now = now.Add(10 * time.Second)
	require.Zero(t, choose())
}

// Guards against requests waiting for a target that fails each of them: after two failures in a row the target must
// count as down, only one request at a time may try it again, and a reply must make it usable.
func TestDownTarget(t *testing.T) {
	tracker := dispatch.NewTracker()
	now := time.Unix(0, 0)
	for range 2 {
		tracker.Begin(now)
		tracker.End(now, now, dispatch.Failed, time.Millisecond)
	}
	require.True(t, tracker.Load(now).Down)
	now = now.Add(time.Second)
	require.False(t, tracker.Load(now).Down, "the target must be tried again after its backoff")
	tracker.Begin(now)
	require.True(t, tracker.Load(now).Down, "the target must count as down while one request tries it")
	tracker.End(now, now.Add(time.Millisecond), dispatch.Replied, time.Millisecond)
	require.False(t, tracker.Load(now.Add(time.Millisecond)).Down)
}

// Guards against using targets of last resort while others can serve.
func TestOrderOfLastResort(t *testing.T) {
	const median = 10 * time.Millisecond
	order := []dispatch.Candidate{
		{Local: true, FreeConnections: 1, Slots: 2},
		{FreeConnections: 1, Slots: 2},
		{Local: true, FreeConnections: 1, Slots: 2, Cold: true},
		{Local: true, FreeConnections: 1, Slots: 2, Load: dispatch.Load{InBackoff: true}},
		{Local: true, Slots: 2},
		{Local: true, FreeConnections: 1, Slots: 2, Leaving: true},
	}
	for i := 1; i < len(order); i++ {
		require.Greater(t, order[i].Cost(median), order[i-1].Cost(median), i)
	}
	for i := range order {
		order[i].Excluded = true
	}
	require.Equal(t, -1, dispatch.Choose(order, median, 0))
	require.Equal(t, -1, dispatch.Choose([]dispatch.Candidate{{Load: dispatch.Load{AddressReused: true}, FreeConnections: 1}}, median, 0))
}

// Guards against a search that responds too late, responds too early, or waits for replies that can no longer arrive.
func TestNext(t *testing.T) {
	by := time.Unix(10, 0)
	before, after := by.Add(-time.Millisecond), by
	cases := []struct {
		p    dispatch.Progress
		now  time.Time
		want dispatch.Step
	}{
		{dispatch.Progress{Shards: 10, MinCovered: 9, Covered: 10}, before, dispatch.Answer},
		{dispatch.Progress{Shards: 10, MinCovered: 9, Covered: 9, Pending: 1}, before, dispatch.Wait},
		{dispatch.Progress{Shards: 10, MinCovered: 9, Covered: 9, Pending: 1}, after, dispatch.Answer},
		{dispatch.Progress{Shards: 10, MinCovered: 9, Covered: 9}, before, dispatch.Answer},
		{dispatch.Progress{Shards: 10, MinCovered: 9, Covered: 8, Pending: 2}, after, dispatch.Wait},
		{dispatch.Progress{Shards: 10, MinCovered: 9, Covered: 8}, before, dispatch.GiveUp},
		{dispatch.Progress{Shards: 10, MinCovered: 9, Covered: 4, Pending: 4}, before, dispatch.GiveUp},
	}
	for _, c := range cases {
		require.Equal(t, c.want, c.p.Next(c.now, by), "%+v", c.p)
	}
}

// Replays a zone that is cut off from the others for 6 s, in steps of a quarter of a second. Only if the zone's own
// targets do not suffice, its VMs must be not ready for all but the first second of the cut, and ready again as soon as
// they have contact with another zone.
func TestReplayIsolatedZone(t *testing.T) {
	start := time.Unix(100, 0)
	const step, cutFrom, cutTo, last = 250 * time.Millisecond, 8, 32, 40
	replayCut := func(cut, sufficient bool, startsAt int) (notReady []int) {
		var r dispatch.ZoneContact
		for n := startsAt; n < last; n++ {
			now := start.Add(time.Duration(n) * step)
			if inCut := cut && n >= cutFrom && n < cutTo; !inCut {
				r.LastContact = now
			}
			if r.ShouldProbe(now) && !r.ProbedAt.After(r.LastContact) {
				r.ProbedAt = now
			}
			if !r.Ready(now, sufficient) {
				notReady = append(notReady, n)
			}
		}
		return notReady
	}
	notReady := replayCut(true, false, 0)
	require.GreaterOrEqual(t, len(notReady), cutTo-cutFrom-4)
	require.Equal(t, cutTo-1, notReady[len(notReady)-1], "the VM must be ready again as soon as the cut ends")
	require.Empty(t, replayCut(true, true, 0), "a VM must stay ready during the cut if the targets of its own zone suffice")
	require.Empty(t, replayCut(false, false, 0), "a VM must stay ready while its zone is not cut off")
	lateStart := replayCut(true, false, 16)
	require.Len(t, lateStart, cutTo-16, "a VM that starts during the cut must not be ready until the cut ends")
}

// Guards against a VM that counts as isolated because all VMs of the other zones are gone although their targets are
// reachable, and against one that counts as isolated because of its own stall.
func TestIsolatedOnlyAfterProbing(t *testing.T) {
	now := time.Unix(100, 0)
	longAgo := now.Add(-time.Hour)
	require.False(t, dispatch.ZoneContact{}.Isolated(now), "a VM that never had contact must not count as isolated without a probe, because it may be the only VM")
	require.False(t, dispatch.ZoneContact{LastContact: longAgo}.Isolated(now), "a VM must not count as isolated before it has probed a target")
	require.True(t, dispatch.ZoneContact{LastContact: longAgo}.ShouldProbe(now))
	require.False(t, dispatch.ZoneContact{LastContact: longAgo, ProbedAt: now.Add(-100 * time.Millisecond)}.Isolated(now), "a VM must not count as isolated before its probe has timed out")
	require.True(t, dispatch.ZoneContact{LastContact: longAgo, ProbedAt: now.Add(-time.Second)}.Isolated(now))
	require.False(t, dispatch.ZoneContact{LastContact: now.Add(-10 * time.Millisecond), ProbedAt: now.Add(-time.Second)}.Isolated(now), "a VM that had contact after its probe must not count as isolated")
	require.False(t, dispatch.ZoneContact{LastContact: now}.ShouldProbe(now))
	require.True(t, dispatch.ZoneContact{}.Ready(now, true), "a VM must be ready without contact with other zones if the targets of its own zone suffice")
}

// Guards against pauses and stragglers raising the estimate, so that hedges are sent too late.
func TestEstimateIgnoresPauses(t *testing.T) {
	e := dispatch.NewLatencyEstimator(100 * time.Millisecond)
	for i := range 256 {
		took := 8 * time.Millisecond
		if i%20 == 0 {
			took = 100 * time.Millisecond
		}
		e.Observe(took)
	}
	require.Equal(t, 8*time.Millisecond, e.Estimate().Median)
	require.Equal(t, 8*time.Millisecond, e.Estimate().P90)
	require.Equal(t, 30*time.Millisecond, dispatch.HedgeDelay(e.Estimate(), 0, 100*time.Millisecond), "the hedge delay must be at least 0.3 of the objective")
}

// Replays searches over 54 shards of which 52 are needed, with two targets allowed for each shard, while half of the
// targets lose two replies in five. A third send, to a target that lost its reply, has to complete most of the searches
// that two sends do not.
func TestReplayLossyTargets(t *testing.T) {
	const shards, needed, targets, lossy, lost = 54, 52, 3, 0.5, 0.4
	covered := func(seed uint64, repeats bool) float64 {
		random := rand.New(rand.NewPCG(seed, seed))
		const searches = 400
		good := 0
		for range searches {
			n := 0
			for range shards {
				bad := [targets]bool{}
				for k := range bad {
					bad[k] = random.Float64() < lossy
				}
				counts := dispatch.SendCounts{MaxTargets: 2}
				for served := false; !served && (counts.AllowsNewTarget() || repeats && counts.AllowsRepeat()); counts.MayHaveRun++ {
					k := counts.Targets
					if counts.AllowsNewTarget() {
						counts.Targets++
					} else {
						k = random.IntN(counts.MaxTargets)
					}
					if served = !bad[k] || random.Float64() >= lost; served {
						n++
					}
				}
			}
			if n >= needed {
				good++
			}
		}
		return float64(good) / searches
	}
	with, without := covered(1, true), covered(1, false)
	t.Logf("searches covered with a repeat: %.3f, without: %.3f", with, without)
	require.GreaterOrEqual(t, with, 0.9)
	require.Less(t, without, 0.7, "without repeats, too few searches must be covered, or this load does not show that repeats are needed")
}

// Replays a fleet that restarts after all VMs lost power: for 5 s the old connections keep the target at its connection
// limit, and it resets each new one. A VM that sends every 550 ms must lose no more than two sends to resets, and must
// use the target again within another 5 s.
func TestReplayTargetAtConnectionLimit(t *testing.T) {
	const gap, blocked = 550 * time.Millisecond, 5 * time.Second
	start := time.Unix(0, 0)
	var backoff dispatch.DialBackoff
	resets, served := 0, time.Duration(0)
	for at := gap; served == 0 && at < time.Minute; at += gap {
		switch now := start.Add(at); {
		case backoff.Active(now):
		case at < blocked:
			resets++
			backoff.ConnectionBroke(now)
		default:
			served = at
		}
	}
	require.LessOrEqual(t, resets, 2)
	require.LessOrEqual(t, served, 2*blocked+gap)
}

// Replays a target that loses two replies in five, at a VM that sends to it 20 times a second for 4 s. The connections
// that it breaks must not start the dial backoff, or the requests of its shard go to the other targets only, which may
// be slow.
func TestReplayLossyTargetStartsNoDialBackoff(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var backoff dispatch.DialBackoff
	now := time.Unix(0, 0)
	backoff.Replied(now)
	for range 80 {
		now = now.Add(50 * time.Millisecond)
		if random.Float64() < 0.4 {
			backoff.ConnectionBroke(now)
		} else {
			backoff.Replied(now)
		}
		require.False(t, backoff.Active(now))
	}
}

// Replays a target that drains while all connections to the other targets of its shard are in use. It must get no new
// requests; otherwise a VM that learns of the drain a second late sends to it beyond the time allowed.
func TestReplayLeavingTargetGetsNoOverflow(t *testing.T) {
	candidates := []dispatch.Candidate{
		{Local: true, FreeConnections: 3, Slots: 2, Leaving: true},
		{FreeConnections: 0, Slots: 2},
		{FreeConnections: 0, Slots: 2, Cold: true},
	}
	require.Equal(t, 1, dispatch.Choose(candidates, 8*time.Millisecond, 0))
}
