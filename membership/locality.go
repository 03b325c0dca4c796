package membership

// Traffic between zones costs more than traffic within one, and in a large fleet most peers are in other zones. VMs of a
// large zone therefore detect each other's failures themselves, and only a few of their messages a second go to other
// zones, however many VMs the zone has.
const (
	// minPreferredZone is the least number of usable VMs of a zone that prefer each other. With fewer, messages to other
	// zones are needed for a quick detection of failures.
	minPreferredZone = 8
	// crossZoneProbes is how many probes in a probe interval the VMs of a zone together send to other zones.
	crossZoneProbes = 4
	// crossZonePushes is how many copies of a change the VMs of a zone together push to other zones.
	crossZonePushes = 8
)

// crossZoneShare returns the probability with which one of this VM's messages goes to another zone, so that all VMs of the
// zone together send perZone of them there, and whether VMs of the zone prefer each other at all.
func (n *Node) crossZoneShare(perZone float64) (share float64, prefers bool) {
	inZone, all := 1, 1
	for _, r := range n.sorted {
		if r.Usable() {
			all++
			if r.Zone == n.self.Zone {
				inZone++
			}
		}
	}
	if inZone < minPreferredZone {
		return 0, false
	}
	uniform := float64(all-inZone) / float64(all-1)
	return min(uniform, perZone/float64(inZone)), true
}

// pickProbed returns a random member to probe next, if there is one: as a rule one of this VM's zone.
func (n *Node) pickProbed() []*record {
	candidate := func(r *record) bool { return r.State != Dead && !r.probing }
	if share, prefers := n.crossZoneShare(crossZoneProbes); prefers {
		local := n.rand.Float64() >= share
		if found := n.pick(1, func(r *record) bool { return candidate(r) && (r.Zone == n.self.Zone) == local }); len(found) > 0 {
			return found
		}
	}
	return n.pick(1, candidate)
}

// pickPushed returns the random members that get a push: pushFanout of this VM's zone, and now and then one of another
// zone.
func (n *Node) pickPushed() []*record {
	share, prefers := n.crossZoneShare(crossZonePushes)
	if !prefers {
		return n.pick(pushFanout, (*record).acceptsPush)
	}
	picked := n.pick(pushFanout, func(r *record) bool { return r.acceptsPush() && r.Zone == n.self.Zone })
	if n.rand.Float64() < share {
		picked = append(picked, n.pick(1, func(r *record) bool { return r.acceptsPush() && r.Zone != n.self.Zone })...)
	}
	return picked
}
