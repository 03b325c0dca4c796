package snapshot

import (
	"teaselbank.example/teaselbank/catalog"
)

// Reason is the reason why a snapshot was pinned.
type Reason string

// Reasons of a pin.
const (
	// NewestHeld means that the pinned snapshot is the newest one for which every shard has a usable replica in state
	// Holds.
	NewestHeld Reason = "newest_held"
	// MostShards means that no snapshot has a usable replica in state Holds for every shard. The pinned snapshot, which is
	// not the oldest listed one, is likely to be held for the largest share of its shards.
	MostShards Reason = "most_shards"
	// Presumed means that no snapshot has a usable replica in state Holds for every shard, and that the oldest listed
	// snapshot is pinned: the replies do not make a newer one as likely, and replicas in state Unknown are presumed to
	// hold the oldest.
	Presumed Reason = "presumed"
)

// Pin is the snapshot that all leaf requests of one query use, and the reason for its choice.
type Pin struct {
	Snapshot *catalog.Snapshot
	Reason   Reason
}

// Usable reports whether a target may serve a query that is about to start.
type Usable func(*catalog.Target) bool

// Pin chooses the snapshot of a query. The service must list at least one snapshot, as it does in a valid bundle.
func (h *Holdings) Pin(s *catalog.Service, usable Usable) Pin {
	for i := len(s.Snapshots) - 1; i >= 0; i-- {
		if h.heldForAllShards(s.Snapshots[i], usable) {
			return Pin{s.Snapshots[i], NewestHeld}
		}
	}
	best, bestShare := s.Snapshots[0], -1.0
	for i := len(s.Snapshots) - 1; i >= 0; i-- {
		if share := h.likelyShare(s.Snapshots[i], usable, i == 0); share > bestShare {
			best, bestShare = s.Snapshots[i], share
		}
	}
	if best == s.Snapshots[0] {
		return Pin{best, Presumed}
	}
	return Pin{best, MostShards}
}

func (h *Holdings) heldForAllShards(snap *catalog.Snapshot, usable Usable) bool {
	for i := range snap.Shards {
		if !h.anyReplica(snap, i, usable, func(s State) bool { return s == Holds }) {
			return false
		}
	}
	return true
}

// likelyShare returns the share of shards with a usable replica whose last reply listed the snapshot, however old the
// reply is. For the oldest listed snapshot a replica in state Unknown counts too: the other snapshots are newer, and a
// target that starts has had the most time to load the oldest.
func (h *Holdings) likelyShare(snap *catalog.Snapshot, usable Usable, oldest bool) float64 {
	likely := func(s State) bool { return s == Holds || s == HeldStale || (oldest && s == Unknown) }
	held := 0
	for i := range snap.Shards {
		if h.anyReplica(snap, i, usable, likely) {
			held++
		}
	}
	return float64(held) / float64(len(snap.Shards))
}

func (h *Holdings) anyReplica(snap *catalog.Snapshot, shard int, usable Usable, match func(State) bool) bool {
	for _, t := range snap.Shards[shard].Replicas {
		if usable(t) && match(h.State(t.ID, snap.ID)) {
			return true
		}
	}
	return false
}

// DiscoveryTarget returns a snapshot newer than the pinned one, the index of one of its shards, and a usable replica of
// that shard in state Unknown or HeldStale. The snapshot is the newest one that may turn out to be held for all of its
// shards; if there is none, the returned target is nil. The reply to a request that is sent to the replica shows which
// snapshots the replica holds. Without requests to such replicas, a snapshot on targets that serve no older one would
// never be pinned. The scan starts at shard offset modulo the number of shards.
func (h *Holdings) DiscoveryTarget(s *catalog.Service, pinned *catalog.Snapshot, usable Usable, offset int) (*catalog.Snapshot, int, *catalog.Target) {
	for i := len(s.Snapshots) - 1; i >= 0 && s.Snapshots[i] != pinned; i-- {
		if shard, target := h.discoveryShard(s.Snapshots[i], usable, offset); target != nil {
			return s.Snapshots[i], shard, target
		}
	}
	return nil, 0, nil
}

func (h *Holdings) discoveryShard(snap *catalog.Snapshot, usable Usable, offset int) (int, *catalog.Target) {
	shard, found := 0, (*catalog.Target)(nil)
	for n := range snap.Shards {
		i := (n + offset) % len(snap.Shards)
		if h.anyReplica(snap, i, usable, func(s State) bool { return s == Holds }) {
			continue
		}
		candidate := h.discoveryReplica(snap, i, usable)
		if candidate == nil {
			// No usable replica of this shard may hold the snapshot now, so it cannot be held for all shards.
			return 0, nil
		}
		if found == nil {
			shard, found = i, candidate
		}
	}
	return shard, found
}

func (h *Holdings) discoveryReplica(snap *catalog.Snapshot, shard int, usable Usable) *catalog.Target {
	for _, t := range snap.Shards[shard].Replicas {
		if state := h.State(t.ID, snap.ID); usable(t) && (state == Unknown || state == HeldStale) {
			return t
		}
	}
	return nil
}
