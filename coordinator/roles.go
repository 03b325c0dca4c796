// Package coordinator decides which VMs run the searches of a fleet with VMs of different sizes. A coordinator runs the
// searches that callers send to smaller VMs of its zone. The decisions do no I/O.
//
// Load pattern: hundreds of VMs, most of them small, each receive a search every few seconds, and each search goes to 90
// or more shards. If every VM ran its own searches, a small one would need a hundred milliseconds of its share of a
// processor to send one, and targets would close its connections as idle before they are used again.
package coordinator

import (
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// minAdvantage is how many times the capacity of a VM that of its zone's coordinators must at least be. With less, the
// call to a coordinator takes longer than it saves.
const minAdvantage = 2

// Roles is the division of the fleet into coordinators and other VMs, as seen by one VM.
type Roles struct {
	// Self reports that this VM is a coordinator.
	Self bool
	// Local are the coordinators of this VM's zone that are known to be alive, other than this VM.
	Local []membership.Member
	// Remote are the coordinators of the other zones that are known to be alive.
	Remote map[ident.Zone][]membership.Member
	// Coordinators counts the coordinators of each zone. A zone whose VMs are all of a similar size has none.
	Coordinators map[ident.Zone]int
	// VMs counts all VMs, coordinators included.
	VMs int
}

// Assign returns the roles of a fleet. counted reports whether a member still counts although it is not usable, because
// it may only be out of reach; such a member is no coordinator to send searches to.
func Assign(view *membership.View, counted func(membership.Member) bool) Roles {
	r := Roles{Coordinators: map[ident.Zone]int{}, Remote: map[ident.Zone][]membership.Member{}}
	ranges := map[ident.Zone]capacityRange{}
	for _, m := range view.Members {
		if m.Usable() || counted(m) {
			r.VMs++
			ranges[m.Zone] = ranges[m.Zone].with(m.Capacity)
		}
	}
	for _, m := range view.Members {
		if !m.Usable() && !counted(m) || !ranges[m.Zone].coordinates(m.Capacity) {
			continue
		}
		r.Coordinators[m.Zone]++
		switch {
		case m.ID == view.Self.ID:
			r.Self = true
		case m.State != membership.Alive || m.Indirect:
		case m.Zone == view.Self.Zone:
			r.Local = append(r.Local, m)
		default:
			r.Remote[m.Zone] = append(r.Remote[m.Zone], m)
		}
	}
	return r
}

// Total returns the number of coordinators in all zones.
func (r *Roles) Total() int {
	n := 0
	for _, c := range r.Coordinators {
		n += c
	}
	return n
}

// coordinatorShare is the part of a bound on the whole fleet that the coordinators divide among themselves; the other
// VMs divide the rest. The others run a search only when no coordinator of their zone does.
const coordinatorShare = 0.6

// ShareOfBound returns the part of a bound on the whole fleet that this VM may use, from 0 to 1. The parts of all VMs with
// the same view add up to at most 1. minVMs is the least number of VMs to assume.
func (r *Roles) ShareOfBound(minVMs int) float64 {
	vms, coordinators := max(1, r.VMs), r.Total()
	if coordinators == 0 || coordinators >= vms {
		return 1 / float64(max(vms, minVMs))
	}
	if r.Self {
		return coordinatorShare / float64(coordinators)
	}
	return (1 - coordinatorShare) / float64(max(vms, minVMs)-coordinators)
}

// capacityRange holds the least and the greatest known capacity of a zone's VMs.
type capacityRange struct{ least, greatest int }

func (c capacityRange) with(capacity int) capacityRange {
	if capacity <= 0 {
		return c
	}
	if c.least == 0 || capacity < c.least {
		c.least = capacity
	}
	c.greatest = max(c.greatest, capacity)
	return c
}

// coordinates reports whether a VM of the given capacity is a coordinator in a zone with this range.
func (c capacityRange) coordinates(capacity int) bool {
	return capacity > 0 && c.greatest >= minAdvantage*c.least && capacity*minAdvantage > c.greatest
}
