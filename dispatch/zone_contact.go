package dispatch

import "time"

// Times for detecting that this VM is cut off from the other zones.
const (
	// probeAfter is the time without contact after which targets of other zones are probed. A connected VM receives
	// replies and probes of its peers more often.
	probeAfter = 250 * time.Millisecond
	// probeTimeout is the time that probed targets have to accept a connection. It allows for one lost packet on a link
	// with a latency of some milliseconds.
	probeTimeout = 300 * time.Millisecond
	// isolatedAfter is the minimum time without contact before a VM counts as isolated, so that a short stall of the VM
	// itself does not count as isolation.
	isolatedAfter = 600 * time.Millisecond
)

// ZoneContact is the state of this VM's contact with other zones.
type ZoneContact struct {
	// LastContact is the time of the last contact with a VM or a target of another zone; the zero time if there was none.
	LastContact time.Time
	// ProbedAt is when targets of other zones were first probed after LastContact; the zero time if they were never
	// probed.
	ProbedAt time.Time
}

// ContactIsOld reports whether a contact was so long ago that a connected VM should have had another one.
func ContactIsOld(now, contact time.Time) bool { return now.Sub(contact) >= probeAfter }

// ShouldProbe reports whether targets of other zones should be probed. Without probes, contact would depend on the
// messages that peers send on their own, and a VM whose peers in other zones are all gone would take the targets of
// those zones to be unreachable.
func (c ZoneContact) ShouldProbe(now time.Time) bool {
	return ContactIsOld(now, c.LastContact) && now.Sub(c.ProbedAt) >= probeAfter
}

// Isolated reports whether this VM is cut off from the other zones: there was no contact for isolatedAfter, and a probe
// sent since the last contact timed out. A VM that never had contact is isolated as soon as a probe timed out, and not
// before.
func (c ZoneContact) Isolated(now time.Time) bool {
	return c.ProbedAt.After(c.LastContact) && now.Sub(c.ProbedAt) >= probeTimeout && (c.LastContact.IsZero() || now.Sub(c.LastContact) >= isolatedAfter)
}

// Ready reports whether this VM should get new connections from callers. sufficient says that the targets of its own
// zone can serve every route. If a zone is cut off from the others and lacks targets of too many shards, its VMs should
// not be ready, so that VMs of other zones serve its callers. The balancer turns to other zones only if none of a zone's
// VMs is ready. All VMs of the zone must therefore decide alike, so the decision rests on the targets of the zone, which
// all of them see, and not on the requests that each VM received. A VM that starts while its zone is cut off, and has not
// had contact with another zone yet, must not be ready either, or the whole zone would get callers again.
func (c ZoneContact) Ready(now time.Time, sufficient bool) bool {
	return sufficient || !c.LastContact.IsZero() && !c.Isolated(now)
}
