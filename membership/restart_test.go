package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/membersim"
)

// Guards against requests that are routed by an old view: after a pause, a process must see that its view is stale even
// before its next tick.
func TestPausedProcessIsStaleAtOnceAndRefreshes(t *testing.T) {
	f := fleet(t, 4)
	e := f.VMs[2]
	lost := countLostMembers(f, func(viewer, _ membership.Member) bool { return viewer.ID == e.Member.ID })
	require.False(t, e.View().Stale)
	var pauses []time.Duration
	e.OnPause(func(length time.Duration) {
		require.True(t, e.View().Stale, "the view must be stale while the pause listeners run")
		pauses = append(pauses, length)
	})
	e.Pause()
	f.Run(5 * time.Second)
	e.Wake()
	require.True(t, e.View().Stale)
	require.True(t, runUntil(f, time.Second, func() bool { return !e.View().Stale }))
	require.True(t, runUntil(f, 30*time.Second, f.Converged))
	require.Zero(t, *lost, "calls that were in flight during the pause must not remove peers from the view")
	require.Equal(t, uint64(1), e.Stats().Pauses)
	require.Len(t, pauses, 1)
	require.GreaterOrEqual(t, pauses[0], 4*time.Second)
}

// Guards against a view that stays stale forever when no peer can be reached.
func TestStaleViewWithoutPeersIsUsedAgain(t *testing.T) {
	f := fleet(t, 1)
	e := f.VMs[0]
	f.Partition("a")
	e.Pause()
	f.Run(5 * time.Second)
	e.Wake()
	require.True(t, e.View().Stale)
	f.Run(2900 * time.Millisecond)
	require.True(t, e.View().Stale)
	f.Run(200 * time.Millisecond)
	require.False(t, e.View().Stale)
	require.Equal(t, uint64(1), e.Stats().UnrefreshedViews)
}

// Guards against a restarted process that is mistaken for the old one, also when its clock is behind that of the old
// one, and against late updates of the old process that remove the new one.
func TestRestartWithTheSameID(t *testing.T) {
	f := fleet(t, 3)
	old := f.VMs[1].Member
	f.VMs[1].Stop()
	fresh := f.Restart(1)
	require.True(t, runUntil(f, 10*time.Second, f.Converged))
	lost := countLostMembers(f, func(_, m membership.Member) bool { return m.ID == old.ID })
	old.State = dead
	old.Sequence = 99
	for _, e := range f.VMs {
		e.HandleProbe(membership.ProbeRequest{From: f.VMs[0].Member, Updates: []membership.Member{old}, ExpectedIncarnation: "x"})
	}
	f.Run(time.Minute)
	require.Zero(t, *lost)
	require.True(t, f.Converged())

	ahead := fresh.Member
	ahead.Incarnation = ident.Incarnation{Started: f.Clock.Now().Add(time.Hour), Token: "ahead"}
	fresh.Stop()
	f.VMs[0].HandleProbe(membership.ProbeRequest{From: ahead, ExpectedIncarnation: "x"})
	f.Run(30 * time.Second)
	f.Restart(1)
	require.True(t, runUntil(f, 20*time.Second, f.Converged))
}

// Guards against a process that takes its ID back when it wakes from a pause during which another process started under
// that ID.
func TestWokenOldProcessDoesNotRemoveTheNew(t *testing.T) {
	f := fleet(t, 3)
	old := f.VMs[1]
	f.Run(time.Minute)
	old.Pause()
	f.Run(10 * time.Second)
	f.Restart(1)
	require.True(t, runUntil(f, 20*time.Second, f.Converged))
	lost := countLostMembers(f, func(_, m membership.Member) bool { return m.ID == old.Member.ID })
	old.Wake()
	f.Run(time.Minute)
	require.Zero(t, *lost)
	require.True(t, f.Converged())
	require.True(t, old.Superseded())
	require.Equal(t, leaving, old.View().Self.State)
}

// Guards against trust in a platform list that is out of date. The list marks VMs as leaving, but must not override
// updates that come from the members.
func TestPlatformList(t *testing.T) {
	f := fleet(t, 3)
	id := f.VMs[4].Member.ID
	whole := f.Listed
	f.Listed = whole[:3]
	f.ApplyList()
	f.Run(3 * time.Hour)
	require.True(t, f.Converged(), "a VM that replies must stay in the view although it is not in the platform's list")

	f.Listed = append([]membership.ListedVM{}, whole...)
	f.Listed[4].Leaving = true
	f.VMs[0].ApplyList(f.Listed)
	require.True(t, runUntil(f, 3*time.Second, func() bool { return f.AllSee(id, leaving) }))
	f.Run(time.Minute)
	require.True(t, f.AllSee(id, leaving), "a VM that the platform's list marks as leaving must not refute it")

	f.ApplyList()
	f.VMs[4].Stop()
	f.Run(time.Minute)
	f.Restart(4)
	require.True(t, runUntil(f, 20*time.Second, f.Converged))
	f.ApplyList()
	f.Run(time.Hour)
	require.True(t, f.Converged(), "a VM that the platform's list marked as leaving before its restart must not count as leaving after it, even if the list is stale for an hour")
}

// Guards against dead members that are never evicted, and against evicted ones that return.
func TestDeadMemberIsForgotten(t *testing.T) {
	f := fleet(t, 2)
	f.VMs[1].Stop()
	id := f.VMs[1].Member.ID
	f.Run(3 * time.Hour)
	require.True(t, f.AllSee(id, dead), "a dead member that the platform's list names must be kept")
	f.Listed = append([]membership.ListedVM{f.Listed[0]}, f.Listed[2:]...)
	f.ApplyList()
	f.Run(3 * time.Hour)
	for _, e := range f.Running() {
		_, known := e.View().Lookup(id)
		require.False(t, known)
	}
}

// Guards against sequences of failures after which views do not converge, and against an incarnation that reappears in
// views after its process was stopped.
func TestViewsConvergeAfterFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := membersim.NewFleet(rapid.Uint64().Draw(rt, "seed"), 2, "a", "b", "c")
		endedIncarnations := map[string]bool{}
		zone := rapid.SampledFrom([]ident.Zone{"a", "b", "c"})
		vmIndex := rapid.IntRange(0, len(f.VMs)-1)
		restart := func(rt *rapid.T) {
			i := vmIndex.Draw(rt, "vm")
			f.VMs[i].Stop()
			endedIncarnations[f.VMs[i].Member.Incarnation.Token] = true
			f.Restart(i)
		}
		actions := map[string]func(*rapid.T){
			"restart": restart,
			"pause":   func(rt *rapid.T) { f.VMs[vmIndex.Draw(rt, "vm")].Pause() },
			"wake":    func(rt *rapid.T) { f.VMs[vmIndex.Draw(rt, "vm")].Wake() },
			"cut":     func(rt *rapid.T) { f.Partition(zone.Draw(rt, "zone")) },
			"one_way": func(rt *rapid.T) { f.PartitionOneWay(zone.Draw(rt, "from"), zone.Draw(rt, "to")) },
			"heal":    func(*rapid.T) { f.Heal() },
			"list":    func(*rapid.T) { f.ApplyList() },
			"report": func(rt *rapid.T) {
				f.VMs[vmIndex.Draw(rt, "vm")].ReportFailure(f.VMs[vmIndex.Draw(rt, "reported")].Member.ID)
			},
			"": func(rt *rapid.T) {
				f.Run(time.Duration(rapid.IntRange(1, 8000).Draw(rt, "ms")) * time.Millisecond)
			},
		}
		rt.Repeat(actions)
		f.Heal()
		for _, e := range f.VMs {
			e.Wake()
		}
		if !f.RunUntil(f.Clock.Now().Add(3*time.Minute), f.Converged) {
			rt.Fatal("views still differ 3 minutes after the partition was healed")
		}
		f.Run(30 * time.Second)
		for _, e := range f.VMs {
			for _, m := range e.View().Members {
				if endedIncarnations[m.Incarnation.Token] {
					rt.Fatalf("the view of %s contains the stopped incarnation %s of %s", e.Member.ID, m.Incarnation, m.ID)
				}
			}
		}
	})
}
