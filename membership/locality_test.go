package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/membersim"
)

// countCrossZone counts the messages between zones from now on.
func countCrossZone(f *membersim.Fleet) (crossZone, all *int) {
	crossZone, all = new(int), new(int)
	f.Drop = func(from, to membership.Member) bool {
		*all++
		if from.Zone != to.Zone {
			*crossZone++
		}
		return false
	}
	return crossZone, all
}

// Guards against traffic between zones that grows with the fleet: a zone of 40 VMs sends no more probes to other zones
// than one of 20.
func TestProbesBetweenZonesDoNotGrowWithTheFleet(t *testing.T) {
	const length = 20 * time.Second
	sent := map[int]int{}
	for _, perZone := range []int{20, 40} {
		f := fleet(t, perZone)
		crossZone, _ := countCrossZone(f)
		f.Run(length)
		sent[perZone] = *crossZone
	}
	require.Less(t, sent[40], sent[20]*3/2)
}

// Guards against a change that reaches every VM only through many copies between zones, and against one that does not reach
// the other zones in time.
func TestChangeReachesLargeZonesByFewMessagesBetweenThem(t *testing.T) {
	f := fleet(t, 40)
	crossZone, all := countCrossZone(f)
	f.VMs[5].Leave(func(int) {})
	id := f.VMs[5].Member.ID
	require.True(t, runUntil(f, 3*time.Second, func() bool { return f.AllSee(id, leaving) }))
	require.Less(t, *crossZone, *all/3)
}

// Guards against VMs of a lost zone that stay usable for long, since only VMs of other zones can notice that they are
// gone.
func TestLostZoneIsNoticedByTheOthers(t *testing.T) {
	f := fleet(t, 20)
	var lost []*membersim.Endpoint
	for _, e := range f.VMs {
		if e.Member.Zone == "a" {
			e.Stop()
			lost = append(lost, e)
		}
	}
	require.True(t, runUntil(f, 40*time.Second, func() bool {
		for _, e := range lost {
			if !f.AllSee(e.Member.ID, dead) {
				return false
			}
		}
		return true
	}))
}
