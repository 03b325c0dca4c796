package snapshot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/snapshot"
)

func anyTarget(*catalog.Target) bool { return true }

// service returns a service with three snapshots: s1 and s2 share targets a1, a2, b1 and b2; s3 is partitioned
// differently, onto targets of its own.
func service(t *testing.T) *catalog.Service {
	t.Helper()
	two := func(id ident.SnapshotID) bundle.Snapshot {
		return bundle.Snapshot{ID: id, Shards: []bundle.Shard{{ID: "a", Replicas: []ident.TargetID{"a1", "a2"}}, {ID: "b", Replicas: []ident.TargetID{"b1", "b2"}}}}
	}
	three := bundle.Snapshot{ID: "s3", Shards: []bundle.Shard{{ID: "x", Replicas: []ident.TargetID{"x1"}}, {ID: "y", Replicas: []ident.TargetID{"y1"}}, {ID: "z", Replicas: []ident.TargetID{"z1"}}}}
	b := &bundle.Bundle{Zones: []bundle.Zone{{ID: "lupeni", State: bundle.ZoneIn}},
		Services: []bundle.Service{{ID: "subventii", Snapshots: []bundle.Snapshot{two("s1"), two("s2"), three}}}}
	for _, id := range []ident.TargetID{"a1", "a2", "b1", "b2", "x1", "y1", "z1"} {
		b.Services[0].Targets = append(b.Services[0].Targets, bundle.Target{ID: id, Zone: "lupeni", State: bundle.TargetServing})
	}
	s, ok := catalog.Build(&config.InForce{Verified: &bundle.Verified{Bundle: b}}, nil).Service("subventii")
	require.True(t, ok)
	return s
}

// Guards against a pin that stays on an older snapshot although replies show that a newer one is held for every shard,
// or on a newer one although replies no longer show that. Guards also against pinning a snapshot that no usable replica
// of some shard holds.
func TestPinFollowsHeldSnapshots(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b, s := snapshot.NewHoldings(clock), service(t)
	record := func(target ident.TargetID, held ...ident.SnapshotID) {
		b.Record(snapshot.Reply{Target: target, Incarnation: "1", Held: held, Sent: clock.Now()})
	}
	requirePin := func(id ident.SnapshotID, reason snapshot.Reason) {
		t.Helper()
		pin := b.Pin(s, anyTarget)
		require.Equal(t, id, pin.Snapshot.ID)
		require.Equal(t, reason, pin.Reason)
	}
	requirePin("s1", snapshot.Presumed)
	record("a1", "s1", "s2")
	requirePin("s1", snapshot.Presumed)
	record("b2", "s1", "s2")
	requirePin("s2", snapshot.NewestHeld)
	record("x1", "s3")
	record("y1", "s3")
	requirePin("s2", snapshot.NewestHeld)
	record("z1", "s3")
	requirePin("s3", snapshot.NewestHeld)
	unusable := b.Pin(s, func(t *catalog.Target) bool { return t.ID != "y1" })
	require.Equal(t, ident.SnapshotID("s2"), unusable.Snapshot.ID, "a snapshot must not count as held if one of its shards has no usable replica")
	record("z1", "s4")
	requirePin("s2", snapshot.NewestHeld)
	clock.Advance(snapshot.HoldsMaxAge + time.Second)
	requirePin("s2", snapshot.MostShards)
}

// Guards against a snapshot that is never pinned because its targets serve no older one and therefore get no requests.
func TestDiscoveryFindsTargetsThatServeNoOlderSnapshot(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b, s := snapshot.NewHoldings(clock), service(t)
	discovered := map[ident.TargetID]bool{}
	for range 3 {
		snap, shard, target := b.DiscoveryTarget(s, s.Snapshots[0], anyTarget, 7)
		require.Equal(t, ident.SnapshotID("s3"), snap.ID)
		require.Equal(t, target, snap.Shards[shard].Replicas[0])
		discovered[target.ID] = true
		b.Record(snapshot.Reply{Target: target.ID, Incarnation: "1", Held: []ident.SnapshotID{"s3"}, Sent: clock.Now()})
	}
	require.Len(t, discovered, 3)
	require.Equal(t, ident.SnapshotID("s3"), b.Pin(s, anyTarget).Snapshot.ID)
	b.Record(snapshot.Reply{Target: "y1", Incarnation: "1", Held: []ident.SnapshotID{"s2"}, Sent: clock.Now()})
	snap, _, target := b.DiscoveryTarget(s, s.Snapshots[0], anyTarget, 0)
	require.Equal(t, ident.SnapshotID("s2"), snap.ID, "s3 is not held for one shard; the next older snapshot must be returned")
	require.NotNil(t, target)
	clock.Advance(snapshot.LacksMaxAge + time.Second)
	_, _, target = b.DiscoveryTarget(s, s.Snapshots[0], anyTarget, 0)
	require.Equal(t, ident.TargetID("y1"), target.ID, "y1 must be asked for s3 again after LacksMaxAge, because the target may have loaded the snapshot in the meantime")
}

// Guards against a late reply of an earlier incarnation that brings back snapshots which a restarted target no longer
// holds.
func TestLateRepliesOfEarlierIncarnationsAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		b := snapshot.NewHoldings(clock)
		var replies []snapshot.Reply
		incarnation := 0
		for i := range rapid.IntRange(1, 12).Draw(t, "replies") {
			if rapid.Bool().Draw(t, "restarted") {
				incarnation++
			}
			replies = append(replies, snapshot.Reply{Target: "t", Incarnation: fmt.Sprint("i", incarnation),
				Held: []ident.SnapshotID{ident.SnapshotID(fmt.Sprint("s", i))}, Sent: clock.Now().Add(time.Duration(i) * time.Millisecond)})
		}
		last := replies[len(replies)-1].Held[0]
		for _, r := range rapid.Permutation(replies).Draw(t, "order") {
			b.Record(r)
		}
		if got := b.State("t", last); got != snapshot.Holds {
			t.Fatalf("state of the last reported snapshot %s is %d, want Holds", last, got)
		}
		for _, r := range replies[:len(replies)-1] {
			if b.State("t", r.Held[0]) != snapshot.Lacks {
				t.Fatalf("snapshot %s of an earlier reply does not count as lacking", r.Held[0])
			}
		}
	})
}
