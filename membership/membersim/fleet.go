package membersim

import (
	"fmt"
	"slices"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Fleet is a set of VMs on one network, all of them on the platform's list.
type Fleet struct {
	*Network
	VMs []*Endpoint
	// Listed is the platform's list of VMs.
	Listed []membership.ListedVM
}

// NewFleet starts perZone VMs in each zone, applies the platform's list to each, and runs until their views have
// converged, for at most a minute.
func NewFleet(seed uint64, perZone int, zones ...ident.Zone) *Fleet {
	f := &Fleet{Network: New(seed)}
	for _, z := range zones {
		for i := range perZone {
			e := f.Start(ident.VMID(fmt.Sprintf("%s-%03d", z, i)), z, nil)
			f.VMs = append(f.VMs, e)
			f.Listed = append(f.Listed, membership.ListedVM{ID: e.Member.ID, Zone: z, Address: e.Member.Address})
		}
	}
	f.ApplyList()
	f.RunUntilConverged(time.Minute)
	return f
}

// convergenceCheckInterval is how often RunUntilConverged compares all views, which takes quadratic time in the number
// of VMs.
const convergenceCheckInterval = 500 * time.Millisecond

// RunUntilConverged advances the clock until Converged returns true, by about the limit at most, and reports whether it
// does.
func (f *Fleet) RunUntilConverged(limit time.Duration) bool {
	for waited := time.Duration(0); waited < limit; waited += convergenceCheckInterval {
		if f.Converged() {
			return true
		}
		f.Run(convergenceCheckInterval)
	}
	return f.Converged()
}

// ApplyList applies the platform's list to every VM; a paused VM applies it when it wakes.
func (f *Fleet) ApplyList() {
	for _, e := range f.VMs {
		e.run(func() { e.ApplyList(f.Listed) })
	}
}

// Converged reports whether every running VM sees every running VM alive in its current incarnation.
func (f *Fleet) Converged() bool {
	running := f.Running()
	for _, e := range running {
		for _, other := range running {
			m, ok := e.View().Lookup(other.Member.ID)
			if !ok || m.State != membership.Alive || m.Incarnation.Token != other.Member.Incarnation.Token {
				return false
			}
		}
	}
	return true
}

// Running returns the VMs whose processes are neither stopped nor paused.
func (f *Fleet) Running() []*Endpoint {
	return slices.DeleteFunc(slices.Clone(f.VMs), func(e *Endpoint) bool { return e.stopped || e.paused })
}

// Restart starts a new process of the VM with index i. The old process must have been stopped or paused.
func (f *Fleet) Restart(i int) *Endpoint {
	old := f.VMs[i].Member
	e := f.Start(old.ID, old.Zone, nil)
	e.ApplyList(f.Listed)
	f.VMs[i] = e
	return e
}

// AllSee reports whether every other running VM sees the member in one of the given states.
func (f *Fleet) AllSee(id ident.VMID, states ...membership.State) bool {
	for _, e := range f.Running() {
		m, ok := e.View().Lookup(id)
		if e.Member.ID != id && (!ok || !slices.Contains(states, m.State)) {
			return false
		}
	}
	return true
}

// PartitionOneWay drops all messages from one zone to another. It replaces an earlier partition.
func (f *Fleet) PartitionOneWay(from, to ident.Zone) {
	f.Drop = func(a, b membership.Member) bool { return a.Zone == from && b.Zone == to }
}

// Partition drops all messages between the zone and the other zones. It replaces an earlier partition.
func (f *Fleet) Partition(zone ident.Zone) {
	f.Drop = func(a, b membership.Member) bool { return (a.Zone == zone) != (b.Zone == zone) }
}

// Heal ends the current partition or message loss.
func (f *Fleet) Heal() { f.Drop = nil }
