package feed

import (
	"sync"
	"time"

	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
)

// Choice of the VMs that follow the source, and shape of the tree along which changes are pushed.
const (
	// followersPerZone is how many VMs of a zone follow the source. If they fail, the other VMs of the zone learn of
	// changes through probes of VMs in other zones.
	followersPerZone = 1
	// treeFanout is how many VMs each VM pushes changes to.
	treeFanout = 4
	// contactTimeout is how long the source may have replied to no VM before further VMs follow it: first the next VM in
	// the ranking, then each further one up to takeoverStep later. It exceeds watchWait, after which a follower reports contact.
	contactTimeout = 2300 * time.Millisecond
	takeoverStep   = 300 * time.Millisecond
	// maxTakeover limits the time from the first VM of a zone to the last.
	maxTakeover = 2500 * time.Millisecond
	// readMargin is the part of the bound on changes that is left for the first call of a VM that took over.
	readMargin = 500 * time.Millisecond
	// defaultChangeBound applies if no bound on changes is stated.
	defaultChangeBound = 3 * time.Second
	// takeoverTerm is the minimum time for which a VM that took over follows the source.
	takeoverTerm = 8 * time.Second
	// rankName is the hash key of the ranking. It makes the ranking independent of other rankings of the same VMs.
	rankName = "store-watchers"
)

// FollowerRole decides whether this VM follows the source. The other VMs of a zone get changes along a tree over the
// ranked VMs, whose roots are the first followersPerZone.
type FollowerRole struct {
	// ChangeBound is the time in which a change must have reached every VM; 0 stands for the default. If all followers are
	// lost just before a change, every remaining VM of a zone follows the source before the bound has passed, because the
	// VMs that rank before it may be lost as well.
	ChangeBound time.Duration

	mu          sync.Mutex
	followUntil time.Time
}

// zoneRanking returns the usable VMs of this VM's zone in ranked order, and the index of this VM among them. The index
// is -1 if this VM is not among them.
func zoneRanking(view *membership.View) ([]membership.Member, int) {
	ranked := placement.Rank(rankName, view.UsableIn(view.Self.Zone))
	for i, m := range ranked {
		if m.ID == view.Self.ID {
			return ranked, i
		}
	}
	return ranked, -1
}

// ShouldFollow reports whether this VM follows the source. lastContact is when the source last replied to another VM.
func (r *FollowerRole) ShouldFollow(view *membership.View, lastContact, now time.Time) bool {
	_, at := zoneRanking(view)
	if at < followersPerZone {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(lastContact) > contactTimeout+r.takeoverDelay(at-followersPerZone) {
		r.followUntil = now.Add(takeoverTerm)
	}
	return now.Before(r.followUntil)
}

// takeoverDelay returns how long after contactTimeout a VM follows the source, by its place among the VMs of its zone that
// do not follow it as a rule.
func (r *FollowerRole) takeoverDelay(place int) time.Duration {
	bound := r.ChangeBound
	if bound <= 0 {
		bound = defaultChangeBound
	}
	spread := max(0, min(maxTakeover, bound-contactTimeout-readMargin))
	return min(spread, time.Duration(place)*min(takeoverStep, spread/2))
}

// Children returns the peer addresses of the VMs to which this VM pushes changes.
func Children(view *membership.View) []string {
	ranked, at := zoneRanking(view)
	var out []string
	add := func(i int) {
		if i < len(ranked) && i != at {
			out = append(out, ranked[i].Address)
		}
	}
	if at < 0 {
		return nil
	}
	if at < followersPerZone {
		for i := range followersPerZone {
			add(i)
		}
	}
	first := followersPerZone + treeFanout*at
	for i := range treeFanout {
		add(first + i)
	}
	return out
}
