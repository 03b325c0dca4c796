package feed

import (
	"sync"
	"time"

	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
)

// Who follows the source, and who tells whom.
const (
	// watchersPerZone is how many VMs of a zone follow the source. If they fail, the zone learns of changes from the
	// probes of other zones' VMs.
	watchersPerZone = 1
	// tellFanout is how many VMs each VM tells.
	tellFanout = 4
	// contactTimeout is how long no VM may have been in touch with the source before others follow it too: the next
	// VM of the ranking at once, each further one takeoverStep later, and all after maxTakeover.
	contactTimeout = 2500 * time.Millisecond
	takeoverStep   = 300 * time.Millisecond
	maxTakeover    = 2500 * time.Millisecond
	// takeoverTerm is how long a VM that took over goes on following.
	takeoverTerm = 8 * time.Second
	// rankName makes this choice of VMs independent of other choices by rank.
	rankName = "store-watchers"
)

// Roles decides which VMs of a zone follow the source. The others are told along a tree over the ranked VMs, whose
// first watchersPerZone are the roots.
type Roles struct {
	mu    sync.Mutex
	until time.Time
}

// position returns the ranked usable VMs of this VM's zone and this VM's place among them, or -1.
func position(view *membership.View) ([]membership.Member, int) {
	ranked := placement.Rank(rankName, view.UsableIn(view.Self.Zone))
	for i, m := range ranked {
		if m.ID == view.Self.ID {
			return ranked, i
		}
	}
	return ranked, -1
}

// Watching reports whether this VM follows the source. heard is when another VM was last in touch with it.
func (r *Roles) Watching(view *membership.View, heard, now time.Time) bool {
	_, at := position(view)
	if at < watchersPerZone {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(heard) > contactTimeout+min(maxTakeover, time.Duration(at-watchersPerZone)*takeoverStep) {
		r.until = now.Add(takeoverTerm)
	}
	return now.Before(r.until)
}

// Children returns the peer addresses of the VMs that this VM tells.
func Children(view *membership.View) []string {
	ranked, at := position(view)
	var out []string
	add := func(i int) {
		if i < len(ranked) && i != at {
			out = append(out, ranked[i].Address)
		}
	}
	if at < 0 {
		return nil
	}
	if at < watchersPerZone {
		for i := range watchersPerZone {
			add(i)
		}
	}
	first := watchersPerZone + tellFanout*at
	for i := range tellFanout {
		add(first + i)
	}
	return out
}
