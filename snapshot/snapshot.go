package snapshot

import (
	"teaselbank.example/teaselbank/catalog"
)

// Reason says why a snapshot was pinned.
type Reason string

// Reasons of a pin.
const (
	// NewestHeld: it is the newest snapshot for which every shard has a replica believed to hold it.
	NewestHeld Reason = "newest_held"
	// MostShards: no snapshot is believed to be held whole; this one covers the largest share of its shards.
	MostShards Reason = "most_shards"
	// Presumed: too little is known; the oldest listed snapshot is presumed to be held.
	Presumed Reason = "presumed"
)

// Pin is the snapshot of one query.
type Pin struct {
	Snapshot *catalog.Snapshot
	Reason   Reason
}

// Usable reports whether a target may serve a query that is about to start.
type Usable func(*catalog.Target) bool

// Pin chooses the snapshot of a query; a valid bundle lists at least one.
func (b *Beliefs) Pin(s *catalog.Service, usable Usable) Pin {
	for i := len(s.Snapshots) - 1; i >= 0; i-- {
		if b.heldWhole(s.Snapshots[i], usable) {
			return Pin{s.Snapshots[i], NewestHeld}
		}
	}
	best, bestShare := s.Snapshots[0], -1.0
	for i := len(s.Snapshots) - 1; i >= 0; i-- {
		if share := b.likelyShare(s.Snapshots[i], usable, i == 0); share > bestShare {
			best, bestShare = s.Snapshots[i], share
		}
	}
	if best == s.Snapshots[0] {
		return Pin{best, Presumed}
	}
	return Pin{best, MostShards}
}

func (b *Beliefs) heldWhole(snap *catalog.Snapshot, usable Usable) bool {
	for i := range snap.Shards {
		if !b.any(snap, i, usable, func(s State) bool { return s == Holds }) {
			return false
		}
	}
	return true
}

// likelyShare returns the share of shards with a replica that holds the snapshot or held it when it last replied. For
// the oldest listed snapshot a replica of which nothing is known counts too: the other snapshots are newer, and a
// target that starts has had the most time to load the oldest.
func (b *Beliefs) likelyShare(snap *catalog.Snapshot, usable Usable, oldest bool) float64 {
	likely := func(s State) bool { return s == Holds || s == HeldBefore || (oldest && s == Unknown) }
	held := 0
	for i := range snap.Shards {
		if b.any(snap, i, usable, likely) {
			held++
		}
	}
	return float64(held) / float64(len(snap.Shards))
}

func (b *Beliefs) any(snap *catalog.Snapshot, shard int, usable Usable, ok func(State) bool) bool {
	for _, t := range snap.Shards[shard].Replicas {
		if usable(t) && ok(b.State(t.ID, snap.ID)) {
			return true
		}
	}
	return false
}

// Undecided returns a shard of a snapshot newer than the pinned one, and a usable replica of which it is unknown
// whether it holds that snapshot, if the snapshot may yet prove to be held whole. A request to that replica teaches
// what it holds; without it a snapshot whose targets serve no older one would never be found. Offset varies the shard
// with which the scan starts.
func (b *Beliefs) Undecided(s *catalog.Service, pinned *catalog.Snapshot, usable Usable, offset int) (*catalog.Snapshot, int, *catalog.Target) {
	for i := len(s.Snapshots) - 1; i >= 0 && s.Snapshots[i] != pinned; i-- {
		if shard, target := b.undecidedShard(s.Snapshots[i], usable, offset); target != nil {
			return s.Snapshots[i], shard, target
		}
	}
	return nil, 0, nil
}

func (b *Beliefs) undecidedShard(snap *catalog.Snapshot, usable Usable, offset int) (int, *catalog.Target) {
	shard, found := 0, (*catalog.Target)(nil)
	for n := range snap.Shards {
		i := (n + offset) % len(snap.Shards)
		if b.any(snap, i, usable, func(s State) bool { return s == Holds }) {
			continue
		}
		candidate := b.undecidedReplica(snap, i, usable)
		if candidate == nil {
			// Every replica of this shard lacks the snapshot for now, so it cannot be held whole.
			return 0, nil
		}
		if found == nil {
			shard, found = i, candidate
		}
	}
	return shard, found
}

func (b *Beliefs) undecidedReplica(snap *catalog.Snapshot, shard int, usable Usable) *catalog.Target {
	for _, t := range snap.Shards[shard].Replicas {
		if state := b.State(t.ID, snap.ID); usable(t) && (state == Unknown || state == HeldBefore) {
			return t
		}
	}
	return nil
}
