package topology_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/routing"
	"teaselbank.example/teaselbank/topology"
)

func registered(id string, started int64) topology.Change {
	return topology.Change{Target: &topology.Target{ID: ident.TargetID(id), Service: "s", Address: "10.0.0.1:80", Started: started}}
}

// ids returns the ids of the targets in a snapshot, each with whether the target is leaving.
func ids(s *topology.Snapshot) map[ident.TargetID]bool {
	leaving := map[ident.TargetID]bool{}
	for _, t := range s.Targets["s"] {
		leaving[t.ID] = !t.LeavingSince.IsZero()
	}
	return leaving
}

// Guards against work for a target more than three seconds after it began to drain or was unregistered, however often
// its entry is written again, and against removing targets at once whose entries expired during an outage of the
// registry.
func TestLeaving(t *testing.T) {
	s := topology.NewState()
	now := time.Unix(0, 0)
	draining := registered("drains", 1)
	draining.Draining = true
	s.Apply(now, 1, []topology.Change{registered("drains", 1), registered("gone", 1), registered("stays", 1), registered("back", 1)})
	s.Apply(now, 2, []topology.Change{draining, {Unregistered: "gone"}, {Unregistered: "back"}, {Unregistered: "unknown"}})
	require.Equal(t, map[ident.TargetID]bool{"drains": true, "gone": true, "back": true, "stays": false}, ids(s.Current()))
	later := now.Add(1900 * time.Millisecond)
	again := registered("drains", 1)
	again.Draining = true
	s.Apply(later, 3, []topology.Change{again, {Unregistered: "gone"}, registered("back", 1)})
	require.Equal(t, now.Add(topology.LeavingGrace), s.Expire(later))
	require.True(t, s.Expire(now.Add(topology.LeavingGrace)).IsZero())
	require.Equal(t, map[ident.TargetID]bool{"stays": false, "back": false}, ids(s.Current()))
	require.Less(t, topology.LeavingGrace, 3*time.Second)
}

// Guards against a draining target that writes its entry once more after LeavingGrace and is then used as if it had
// just begun to drain, and against work for a target that was already draining when this VM first learned of it.
func TestDrainingTargetDoesNotComeBack(t *testing.T) {
	s := topology.NewState()
	now := time.Unix(0, 0)
	draining := func() topology.Change {
		c := registered("drains", 1)
		c.Draining = true
		return c
	}
	s.Apply(now, 1, []topology.Change{registered("drains", 1), registered("stays", 1)})
	s.Apply(now, 2, []topology.Change{draining()})
	s.Expire(now.Add(topology.LeavingGrace))
	s.Apply(now.Add(topology.LeavingGrace+80*time.Millisecond), 3, []topology.Change{draining()})
	require.Equal(t, map[ident.TargetID]bool{"stays": false}, ids(s.Current()))
	s.Apply(now.Add(time.Minute), 4, []topology.Change{registered("drains", 2)})
	require.Equal(t, map[ident.TargetID]bool{"stays": false, "drains": false}, ids(s.Current()), "a new process under the same id must get work")
	late := topology.NewState()
	late.Apply(now, 3, []topology.Change{draining()})
	require.Empty(t, ids(late.Current()))
}

// Guards against a restarted target that still counts as leaving, and against an older configuration that replaces a
// newer one.
func TestNewProcessAndOldConfiguration(t *testing.T) {
	s := topology.NewState()
	now := time.Unix(0, 0)
	s.Apply(now, 1, []topology.Change{registered("a", 1), {Table: routing.NewTable(5, nil, nil, routing.Limits{})}})
	s.Apply(now, 2, []topology.Change{{Unregistered: "a"}, registered("a", 2), {Table: routing.NewTable(4, nil, nil, routing.Limits{})}})
	require.Equal(t, map[ident.TargetID]bool{"a": false}, ids(s.Current()))
	require.EqualValues(t, 5, s.Current().Table.Version)
	require.EqualValues(t, 2, s.Current().Revision)
}

// Guards against a zone that stays out of service after it was put back, and against snapshots that change after they
// were published.
func TestZones(t *testing.T) {
	s := topology.NewState()
	s.Apply(time.Unix(0, 0), 1, []topology.Change{{Zone: "a"}})
	taken := s.Current()
	require.True(t, taken.ZonesOut["a"])
	s.Apply(time.Unix(0, 0), 2, []topology.Change{{Zone: "a", ZoneRestored: true}})
	require.False(t, s.Current().ZonesOut["a"])
	require.True(t, taken.ZonesOut["a"])
}
