package distribution

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/membership"
)

// inBubble runs a test on a new fleet in a synctest bubble, where time is fake, and stops the fleet's VMs afterwards.
func inBubble(t *testing.T, zones, perZone int, test func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, zones, perZone)
		defer f.stopAll()
		test(t, f)
	})
}

// A VM that no push reaches would keep serving with an old bundle. With the platform down, pushes alone must bring each
// new bundle to every VM.
func TestPushReachesEveryVM(t *testing.T) {
	inBubble(t, 6, 20, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		list := f.startAll()
		f.advance(11 * time.Second)
		for n := uint64(1); n <= 3; n++ {
			list[n].Offer(version(n))
			synctest.Wait()
			f.requireVersion(n, list...)
		}
	})
}

// A peer that never answers must not delay delivery to the others. Pushes to the silent peer must fail after
// callTimeout; a spare peer then replaces it.
func TestSilentPeerDelaysNobody(t *testing.T) {
	inBubble(t, 2, 4, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		f.blackHole = f.members[3].ID
		list := f.startAll()
		f.advance(30 * time.Second)
		list[0].Offer(version(1))
		synctest.Wait()
		for i, v := range list {
			if i != 3 {
				f.requireVersion(1, v)
			}
		}
		f.advance(callTimeout)
		require.Positive(t, list[0].Stats().PushErrors.Load()+list[2].Stats().PushErrors.Load()+list[1].Stats().PushErrors.Load())
	})
}

// If bundles with different content are signed with one version, each VM must keep the one that it accepted first and
// every VM must raise the alarm. A higher version must replace both and clear the alarms.
func TestTwoContentsOfOneVersion(t *testing.T) {
	inBubble(t, 2, 3, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		cutOff := true
		f.cut = func(from, to membership.Member) bool { return cutOff && from.Zone != to.Zone }
		list := f.startAll()
		f.advance(11 * time.Second)
		list[0].Offer(variant(2, "left"))
		list[1].Offer(variant(2, "right"))
		synctest.Wait()
		f.mu.Lock()
		cutOff = false
		f.mu.Unlock()
		f.advance(5 * time.Minute)
		for i, v := range list {
			require.Equal(t, []string{"left", "right"}[i%2], v.Store.Current().Bundle.Reason)
			require.NotNil(t, v.Store.Alarm(), v.member.ID)
		}
		list[4].Offer(version(3))
		synctest.Wait()
		f.requireVersion(3, list...)
		for _, v := range list {
			require.Nil(t, v.Store.Alarm())
			require.Positive(t, v.Store.Conflicts())
		}
	})
}

// A platform that is rolled back to an older bundle must not bring the older bundle into force again, neither on
// running VMs nor on a VM that starts while its peers have the newer one.
func TestRolledBackPlatformNeverWins(t *testing.T) {
	inBubble(t, 2, 2, func(t *testing.T, f *fleet) {
		f.platform.publish(2, version(2))
		list := f.startAll()
		f.advance(20 * time.Second)
		f.requireVersion(2, list...)
		f.platform.rollBack(1, version(1))
		list[0].stop()
		restarted := f.start(0)
		f.advance(time.Minute)
		f.requireVersion(2, append(list[1:], restarted)...)
		for _, v := range append(list[1:], restarted) {
			require.Nil(t, v.Store.Current().Previous, "an older version was in force on %s at first", v.member.ID)
		}
		require.True(t, restarted.Ready())
		require.False(t, restarted.Store.Current().Unconfirmed)
	})
}

// While the platform is down for an hour, the watchers must not flood it with reads and bundles must still spread among
// peers. Once it is back, its newer bundle must be read within the backoff.
func TestPlatformDownForAnHour(t *testing.T) {
	inBubble(t, 2, 2, func(t *testing.T, f *fleet) {
		f.platform.publish(1, version(1))
		list := f.startAll()
		f.advance(30 * time.Second)
		f.requireVersion(1, list...)
		f.platform.setDown(true)
		before := f.platform.count()
		f.advance(time.Hour)
		// Four watchers with pauses of 15 to 30 s read at most 240 times each, and a few times while backing off.
		require.Less(t, f.platform.count()-before, 4*250)
		list[3].Offer(version(2))
		synctest.Wait()
		f.requireVersion(2, list...)
		f.platform.publish(3, version(3))
		f.platform.setDown(false)
		f.advance(maxBackoff + time.Second)
		f.requireVersion(3, list...)
	})
}

// After a network partition between zones heals, gossip must bring the higher version to the zones that missed it.
func TestPartitionHeals(t *testing.T) {
	inBubble(t, 2, 3, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		list := f.startAll()
		f.advance(11 * time.Second)
		list[0].Offer(version(1))
		synctest.Wait()
		f.requireVersion(1, list...)
		apart := true
		f.cut = func(from, to membership.Member) bool { return apart && from.Zone != to.Zone }
		list[0].Offer(version(2))
		f.advance(time.Second)
		f.requireVersion(2, list[0], list[2], list[4])
		f.requireVersion(1, list[1], list[3], list[5])
		f.mu.Lock()
		apart = false
		f.mu.Unlock()
		have, digest := list[0].Version()
		list[1].ObservePeerVersion(list[0].member, have, digest)
		synctest.Wait()
		f.requireVersion(2, list...)
	})
}

// A VM keeps no bundle on disk, so it has none when it starts. It must not become ready before it has tried to reach
// peers, must mark its bundle as unconfirmed if it reached none, and must never become ready without peers and
// platform.
func TestReadinessAfterStart(t *testing.T) {
	inBubble(t, 1, 2, func(t *testing.T, f *fleet) {
		f.platform.publish(1, version(1))
		v := f.start(0)
		f.advance(9 * time.Second)
		require.False(t, v.Ready())
		f.advance(10 * time.Second)
		require.True(t, v.Ready())
		require.True(t, v.Store.Current().Unconfirmed)
		f.start(1)
		f.advance(time.Minute)
		require.False(t, v.Store.Current().Unconfirmed, "the bundle must be confirmed once a peer that has it is known")
	})
	inBubble(t, 1, 2, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		v := f.start(0)
		f.advance(time.Hour)
		require.False(t, v.Ready())
	})
}

// A receiver that does not have the base of a delta, because it missed several versions, must still get the bundle.
func TestUnknownBaseFallsBackToWhole(t *testing.T) {
	inBubble(t, 1, 2, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		a := f.start(0)
		f.advance(11 * time.Second)
		a.Offer(version(1))
		b := f.start(1)
		f.advance(time.Second)
		f.requireVersion(1, b)
		for n := uint64(2); n <= 9; n++ {
			f.cut = func(_, _ membership.Member) bool { return n < 9 }
			a.Offer(version(n))
			synctest.Wait()
		}
		f.requireVersion(9, a, b)
		require.Positive(t, a.Stats().NeedWhole.Load())
		require.Zero(t, b.Stats().Refused.Load())
	})
}

// A peer that repeatedly advertises a version which it does not have must not make a VM fetch from it each time.
func TestLyingPeerIsNotAskedAgainAtOnce(t *testing.T) {
	inBubble(t, 1, 2, func(t *testing.T, f *fleet) {
		f.platform.setDown(true)
		list := f.startAll()
		f.advance(11 * time.Second)
		list[0].Offer(version(1))
		synctest.Wait()
		before := list[1].Stats().FetchesSent.Load()
		for range 100 {
			list[1].ObservePeerVersion(list[0].member, 99, make([]byte, 32))
			synctest.Wait()
		}
		require.LessOrEqual(t, list[1].Stats().FetchesSent.Load()-before, uint64(2))
	})
}

// Exactly watchersPerZone VMs of every zone must be watchers, so that few VMs read the platform.
func TestWatchers(t *testing.T) {
	inBubble(t, 6, 20, func(t *testing.T, f *fleet) {
		perZone := map[string]int{}
		for _, m := range f.members {
			if IsWatcher(membership.NewView(m, f.members, 1, time.Now())) {
				perZone[string(m.Zone)]++
			}
		}
		require.Len(t, perZone, 6)
		for zone, n := range perZone {
			require.Equal(t, watchersPerZone, n, zone)
		}
	})
}

// The peers chosen must be distinct, begin with the own zone, include every zone unless there are more than maxFanout
// allows, and be as many as the fleet's size permits within the bounds.
func TestChoosePeers(t *testing.T) {
	for _, size := range []struct{ zones, perZone, want int }{{1, 2, 1}, {3, 3, fanout}, {6, 108, fanout}, {30, 4, maxFanout}} {
		f := newFleet(t, size.zones, size.perZone)
		self := f.members[0]
		d := New(Options{Viewer: staticView{membership.NewView(self, f.members, 1, time.Time{})}})
		peers, spares := d.choosePeers(d.Viewer.View())
		require.Len(t, peers, min(size.want, len(f.members)-1))
		require.LessOrEqual(t, len(spares), maxSpares)
		require.Equal(t, self.Zone, peers[0].Zone, "the first peer must be in the VM's own zone")
		zones, seen := map[string]bool{}, map[string]bool{}
		for _, p := range peers {
			require.False(t, seen[string(p.ID)], "a peer was chosen twice")
			seen[string(p.ID)], zones[string(p.Zone)] = true, true
		}
		if size.zones <= 6 {
			require.Len(t, zones, size.zones)
		}
	}
}
