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

func all(*catalog.Target) bool { return true }

// service has three snapshots: s1 and s2 share targets a1, a2, b1, b2; s3 is repartitioned onto targets of its own.
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

// The pin must follow what targets say they hold, forward and back, and never a snapshot that a shard lacks.
func TestPinFollowsBeliefs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b, s := snapshot.NewBeliefs(clock), service(t)
	learn := func(target ident.TargetID, held ...ident.SnapshotID) {
		b.Learn(snapshot.Reply{Target: target, Incarnation: "1", Held: held, Sent: clock.Now()})
	}
	pinned := func(id ident.SnapshotID, reason snapshot.Reason) {
		t.Helper()
		pin := b.Pin(s, all)
		require.Equal(t, id, pin.Snapshot.ID)
		require.Equal(t, reason, pin.Reason)
	}
	pinned("s1", snapshot.Presumed)
	learn("a1", "s1", "s2")
	pinned("s1", snapshot.Presumed)
	learn("b2", "s1", "s2")
	pinned("s2", snapshot.NewestHeld)
	learn("x1", "s3")
	learn("y1", "s3")
	pinned("s2", snapshot.NewestHeld)
	learn("z1", "s3")
	pinned("s3", snapshot.NewestHeld)
	unusable := b.Pin(s, func(t *catalog.Target) bool { return t.ID != "y1" })
	require.Equal(t, ident.SnapshotID("s2"), unusable.Snapshot.ID, "a shard without a usable replica is not held")
	learn("z1", "s4")
	pinned("s2", snapshot.NewestHeld)
	clock.Advance(snapshot.HeldMaxAge + time.Second)
	pinned("s2", snapshot.MostShards)
}

// A snapshot whose targets serve no older one would never be found without a request to them.
func TestUndecidedFindsTargetsThatServeNoOlderSnapshot(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b, s := snapshot.NewBeliefs(clock), service(t)
	asked := map[ident.TargetID]bool{}
	for range 3 {
		snap, shard, target := b.Undecided(s, s.Snapshots[0], all, 7)
		require.Equal(t, ident.SnapshotID("s3"), snap.ID)
		require.Equal(t, target, snap.Shards[shard].Replicas[0])
		asked[target.ID] = true
		b.Learn(snapshot.Reply{Target: target.ID, Incarnation: "1", Held: []ident.SnapshotID{"s3"}, Sent: clock.Now()})
	}
	require.Len(t, asked, 3)
	require.Equal(t, ident.SnapshotID("s3"), b.Pin(s, all).Snapshot.ID)
	b.Learn(snapshot.Reply{Target: "y1", Incarnation: "1", Held: []ident.SnapshotID{"s2"}, Sent: clock.Now()})
	snap, _, target := b.Undecided(s, s.Snapshots[0], all, 0)
	require.Equal(t, ident.SnapshotID("s2"), snap.ID, "s3 lacks a shard for now; the next older one is asked about")
	require.NotNil(t, target)
	clock.Advance(snapshot.LackedMaxAge + time.Second)
	_, _, target = b.Undecided(s, s.Snapshots[0], all, 0)
	require.Equal(t, ident.TargetID("y1"), target.ID, "the target may have loaded it meanwhile")
}

// A reply of an earlier incarnation that arrives late must not bring back what a restarted target no longer holds.
func TestBeliefsAreThoseOfTheLatestIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		b := snapshot.NewBeliefs(clock)
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
			b.Learn(r)
		}
		if got := b.State("t", last); got != snapshot.Holds {
			t.Fatalf("state of %s is %d", last, got)
		}
		for _, r := range replies[:len(replies)-1] {
			if b.State("t", r.Held[0]) != snapshot.Lacks {
				t.Fatalf("%s is still believed to be held", r.Held[0])
			}
		}
	})
}
