package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/coordinator"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// member returns an alive VM of a zone.
func member(zone string, i, capacity int) membership.Member {
	return membership.Member{ID: ident.VMID(fmt.Sprintf("%s-%d", zone, i)), Zone: ident.Zone(zone), Address: fmt.Sprintf("10.0.0.%d:1", i),
		State: membership.Alive, Capacity: capacity}
}

func view(self membership.Member, members ...membership.Member) *membership.View {
	return &membership.View{Self: self, Members: members}
}

func none(membership.Member) bool { return false }

// Guards against a small VM that knows no coordinator, against a large VM that hands its searches over, and against
// coordinators in a zone whose VMs are all of one size.
func TestLargeVMsCoordinate(t *testing.T) {
	large, small, other := member("a", 1, 800), member("a", 2, 192), member("a", 3, 192)
	equal := []membership.Member{member("b", 1, 400), member("b", 2, 400)}
	all := append([]membership.Member{large, small, other}, equal...)

	r := coordinator.Assign(view(small, all...), none)
	require.False(t, r.Self)
	require.Equal(t, []membership.Member{large}, r.Local)
	require.Equal(t, map[ident.Zone]int{"a": 1}, r.Coordinators)

	r = coordinator.Assign(view(large, all...), none)
	require.True(t, r.Self)
	require.Empty(t, r.Local)

	r = coordinator.Assign(view(equal[0], all...), none)
	require.False(t, r.Self)
	require.Empty(t, r.Local)
}

// Guards against searches that are handed over to a VM that is leaving, suspected or lost, and against bounds that are
// divided without a VM that may only be out of reach.
func TestLostCoordinatorGetsNoSearchesButCounts(t *testing.T) {
	small := member("a", 9, 192)
	large := []membership.Member{member("a", 1, 800), member("a", 2, 800), member("a", 3, 800), member("a", 4, 800)}
	large[0].State, large[1].State, large[2].State = membership.Suspect, membership.Leaving, membership.Dead
	counted := func(m membership.Member) bool { return m.ID != large[2].ID }
	r := coordinator.Assign(view(small, append(large, small)...), counted)
	require.Equal(t, []membership.Member{large[3]}, r.Local)
	require.Equal(t, 3, r.Coordinators["a"])
	require.Equal(t, 4, r.VMs)
}

// Guards against extra sends of the whole fleet beyond their bound.
func TestSharesOfBoundAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []membership.Member
		for _, zone := range []string{"a", "b", "c"} {
			for i := range rapid.IntRange(0, 20).Draw(t, "VMs in "+zone) {
				all = append(all, member(zone, i, rapid.SampledFrom([]int{0, 192, 400, 800}).Draw(t, "capacity")))
			}
		}
		minVMs := rapid.IntRange(0, 24).Draw(t, "least number of VMs")
		sum := 0.0
		for _, m := range all {
			r := coordinator.Assign(view(m, all...), none)
			sum += r.ShareOfBound(minVMs)
		}
		require.LessOrEqual(t, sum, 1+1e-9)
	})
}

// Guards against a coordinator that is tried again at once after it failed or refused, and against an uneven choice.
func TestChoose(t *testing.T) {
	now := time.Now()
	candidates := []coordinator.Health{{}, {InFlight: 1}, {}}
	candidates[0].Failed(now)
	require.Equal(t, 2, coordinator.Choose(candidates, now, 0))
	require.Equal(t, 0, coordinator.Choose(candidates, now.Add(2*time.Second), 0))
	candidates[2].Refused(now)
	require.Equal(t, 1, coordinator.Choose(candidates, now, 0))
	require.Equal(t, 2, coordinator.Choose(candidates, now.Add(200*time.Millisecond), 0))
	require.Equal(t, -1, coordinator.Choose(candidates[:1], now, 0))
	candidates[0].Refused(now)
	require.Equal(t, -1, coordinator.Choose(candidates[:1], now.Add(time.Second), 0), "a refusal must not end the wait after a failure")
}

// Replays a coordinator that is down for a minute beside one that replies, while a small VM has three searches within a
// second and then a pause: only the first search of each group may wait for the coordinator that is down.
func TestReplayCoordinatorThatIsDown(t *testing.T) {
	candidates, waits := make([]coordinator.Health, 2), 0
	start := time.Unix(0, 0)
	for i := range 30 {
		// Three searches within a second, then a pause.
		now := start.Add(time.Duration(i/3)*6*time.Second + time.Duration(i%3)*300*time.Millisecond)
		if at := coordinator.Choose(candidates, now, 0); at == 0 {
			waits++
			candidates[0].Failed(now)
		}
	}
	require.Equal(t, 10, waits, "each group of three searches must wait once")
}

// zoneLoad replays the searches of one zone of a large fleet: 60 VMs, of which three are large, with a search every three
// seconds each. It returns the times from the arrival of each search until it has been sent to all shards. slowed is how
// many times longer the large VMs need than they should; handOver says whether searches may be handed over.
func zoneLoad(seed uint64, handOver bool, slowed float64) []time.Duration {
	const vms, largeVMs, shards, smallCores, largeCores = 60, 3, 90, 0.192, 0.8
	const length, interval, perShard = 60 * time.Second, 3 * time.Second, 100 * time.Microsecond
	random := rand.New(rand.NewPCG(seed, 0))
	busyUntil, paces := make([]time.Duration, vms), make([]*coordinator.Pace, vms)
	start := time.Unix(0, 0)
	cost := func(vm int) time.Duration {
		if vm < largeVMs {
			return time.Duration(float64(perShard*shards) / largeCores * slowed)
		}
		return time.Duration(float64(perShard*shards) / smallCores)
	}
	for vm := range paces {
		paces[vm] = coordinator.NewPace(192)
		if vm < largeVMs {
			paces[vm] = coordinator.NewPace(800)
		}
	}
	var took []time.Duration
	for at := time.Duration(0); at < length; at += time.Duration(random.ExpFloat64() * float64(interval/vms)) {
		entry, now := random.IntN(vms), start.Add(at)
		runs := entry
		if c := random.IntN(largeVMs); handOver && entry >= largeVMs && coordinator.WorthHandingOver(paces[entry].Estimate(now), paces[c].Estimate(now)) {
			runs = c
		}
		began := max(at, busyUntil[runs])
		busyUntil[runs] = began + cost(runs)
		paces[runs].Observe(start.Add(busyUntil[runs]), shards, busyUntil[runs]-at)
		took = append(took, busyUntil[runs]-at)
	}
	slices.Sort(took)
	return took
}

// Replays the load that coordinators answer: with them, 95 in 100 searches are sent to their shards within 30 ms; on the
// VMs that received them none of the small ones' is.
func TestReplaySearchesOfSmallVMs(t *testing.T) {
	for seed := range uint64(20) {
		alone, handedOver := zoneLoad(seed, false, 1), zoneLoad(seed, true, 1)
		require.Greater(t, alone[len(alone)/2], 40*time.Millisecond)
		require.Less(t, handedOver[len(handedOver)*95/100], 30*time.Millisecond)
	}
}

// Replays a zone whose coordinators are 20 times slower than they should be: their pace shows it, and the VMs run
// most of their searches themselves instead of waiting for them.
func TestReplaySlowCoordinators(t *testing.T) {
	for seed := range uint64(20) {
		alone, handedOver := zoneLoad(seed, false, 20), zoneLoad(seed, true, 20)
		require.Less(t, handedOver[len(handedOver)/2], 2*alone[len(alone)/2])
	}
}
