package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/membersim"
)

const (
	alive   = membership.Alive
	suspect = membership.Suspect
	leaving = membership.Leaving
	dead    = membership.Dead
)

func fleet(t *testing.T, perZone int) *membersim.Fleet {
	t.Helper()
	f := membersim.NewFleet(1, perZone, "a", "b", "c")
	require.True(t, f.Converged(), "the views must converge before the failure")
	return f
}

func runUntil(f *membersim.Fleet, d time.Duration, cond func() bool) bool {
	return f.RunUntil(f.Clock.Now().Add(d), cond)
}

// countLostMembers returns a counter of how often, from now on, a member for which counts returns true becomes unusable
// in a view.
func countLostMembers(f *membersim.Fleet, counts func(viewer, m membership.Member) bool) *int {
	lost := new(int)
	for _, e := range f.VMs {
		usable := map[ident.VMID]bool{}
		e.OnChange(func(v *membership.View) {
			for _, m := range v.Members {
				if usable[m.ID] && !m.Usable() && counts(e.Member, m) {
					*lost++
				}
				usable[m.ID] = m.Usable()
			}
		})
	}
	return lost
}

func anyMember(_, _ membership.Member) bool { return true }

// Guards against a killed VM that stays usable in views and gets work.
func TestKilledVMIsRemovedEverywhere(t *testing.T) {
	f := fleet(t, 10)
	f.VMs[3].Stop()
	id := f.VMs[3].Member.ID
	require.True(t, runUntil(f, 10*time.Second, func() bool { return f.AllSee(id, dead) }))
	f.ApplyList()
	f.Run(10 * time.Minute)
	require.True(t, f.AllSee(id, dead), "the platform's list alone must not revive a dead VM")
}

// Guards against work that is sent to a VM more than 3 s after the VM announced that it leaves.
func TestLeavingVMIsRemovedWithin3s(t *testing.T) {
	f := fleet(t, 20)
	contactedAll := false
	f.VMs[7].Leave(func(n int) { contactedAll = n == 8 })
	id := f.VMs[7].Member.ID
	require.True(t, runUntil(f, 3*time.Second, func() bool { return f.AllSee(id, leaving) }))
	require.True(t, contactedAll)
	f.VMs[7].Stop()
	require.True(t, runUntil(f, 30*time.Second, func() bool { return f.AllSee(id, dead) }))
}

// Guards against a leaving VM that refuses work that peers relay to it before its announcement reaches them.
func TestLeavingVMOwnsItsTargetsUntilLeaveHasPropagated(t *testing.T) {
	f := fleet(t, 4)
	e := f.VMs[0]
	e.Leave(func(int) {})
	require.Equal(t, leaving, e.View().Self.State)
	f.Run(900 * time.Millisecond)
	require.True(t, f.AllSee(e.Member.ID, leaving))
	own, _ := e.View().Lookup(e.Member.ID)
	require.True(t, own.Usable())
	f.Run(200 * time.Millisecond)
	own, _ = e.View().Lookup(e.Member.ID)
	require.False(t, own.Usable())
}

// Guards against a VM that is removed or flaps because messages between two zones are lost in one direction.
func TestOneWayPartitionKeepsVMsAndFlagsThem(t *testing.T) {
	f := fleet(t, 4)
	lost := countLostMembers(f, anyMember)
	f.PartitionOneWay("a", "b")
	f.Run(5 * time.Minute)
	require.Zero(t, *lost)
	flagged, _ := f.VMs[0].View().Lookup(f.VMs[4].Member.ID)
	require.True(t, flagged.Indirect)
	near, _ := f.VMs[0].View().Lookup(f.VMs[1].Member.ID)
	require.False(t, near.Indirect)
	f.Heal()
	f.Run(2 * time.Minute)
	flagged, _ = f.VMs[0].View().Lookup(f.VMs[4].Member.ID)
	require.False(t, flagged.Indirect)
}

// Guards against flapping when 30 % of the messages from one zone to the others and 10 % of all messages are lost.
func TestLossCausesNoFlapping(t *testing.T) {
	for seed := range uint64(6) {
		f := membersim.NewFleet(seed, 4, "a", "b", "c")
		require.True(t, f.Converged())
		lost := countLostMembers(f, anyMember)
		f.Drop = func(from, to membership.Member) bool {
			return (from.Zone == "a" && to.Zone != "a" && f.Rand.IntN(10) < 3) || f.Rand.IntN(10) < 1
		}
		f.Run(5 * time.Minute)
		require.Zero(t, *lost, "a view lost a member with seed %d", seed)
	}
}

// Guards against a zone that stays lost after a partition heals, and against VMs that lose members of their own side
// when the two sides exchange their views.
func TestPartitionHeals(t *testing.T) {
	for _, length := range []time.Duration{time.Minute, time.Hour} {
		f := fleet(t, 4)
		f.Partition("b")
		f.Run(length)
		v := f.VMs[4].View()
		require.Len(t, v.UsableIn("b"), 4, "the VMs of the isolated zone must keep each other in their views")
		require.Empty(t, v.UsableIn("a"))
		lost := countLostMembers(f, anyMember)
		f.Heal()
		require.True(t, runUntil(f, time.Minute, f.Converged), "the views did not converge within a minute after a partition of %s", length)
		require.Zero(t, *lost, "a view lost a member after a partition of %s", length)
	}
}

// Guards against probes to dead members that increase with the number of dead members or with the fleet.
func TestProbesToDeadMembersAreBounded(t *testing.T) {
	f := fleet(t, 20)
	for _, e := range f.VMs[:20] {
		e.Stop()
	}
	f.Run(time.Minute)
	before := f.VMs[30].Stats().DeadProbes
	f.Run(10 * time.Minute)
	require.LessOrEqual(t, f.VMs[30].Stats().DeadProbes-before, uint64(60))
}

// Guards against a failure on the data path after which the member is probed only at its next regular turn, and against
// failure reports that remove a VM that replies to probes.
func TestReportedFailureIsProbedAtOnce(t *testing.T) {
	f := fleet(t, 20)
	e, victim := f.VMs[0], f.VMs[9].Member.ID
	for range 100 {
		e.ReportFailure(victim)
	}
	require.Equal(t, uint64(1), e.Stats().Reports)
	f.Run(10 * time.Second)
	m, _ := e.View().Lookup(victim)
	require.Equal(t, alive, m.State)
	f.VMs[9].Stop()
	e.ReportFailure(victim)
	require.True(t, runUntil(f, time.Second, func() bool {
		m, _ = e.View().Lookup(victim)
		return m.State == suspect
	}))
}

type configStub struct{ seen map[ident.VMID]uint64 }

func (c configStub) Version() (uint64, []byte) { return 7, []byte{1} }
func (c configStub) ObservePeerVersion(m membership.Member, version uint64, _ []byte) {
	c.seen[m.ID] = version
}

// Guards against probes or replies that do not carry the configuration version of their sender.
func TestProbesCarryConfigVersion(t *testing.T) {
	n := membersim.New(1)
	a, b := configStub{map[ident.VMID]uint64{}}, configStub{map[ident.VMID]uint64{}}
	n.Start("a", "z", a).ApplyList([]membership.ListedVM{{ID: "b", Zone: "z", Address: membersim.Address("b")}})
	n.Start("b", "z", b)
	n.Run(5 * time.Second)
	require.Equal(t, uint64(7), a.seen["b"])
	require.Equal(t, uint64(7), b.seen["a"])
}
