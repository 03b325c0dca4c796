package membersim

import (
	"fmt"
	"slices"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Fleet is a set of processes on one network, all on the platform's list.
type Fleet struct {
	*Network
	VMs []*Endpoint
	// Listed is the platform's list.
	Listed []membership.Listed
}

// NewFleet starts perZone VMs in each zone, gives each the platform's list, and waits until all know each other.
func NewFleet(seed uint64, perZone int, zones ...ident.Zone) *Fleet {
	f := &Fleet{Network: New(seed)}
	for _, z := range zones {
		for i := range perZone {
			e := f.Start(ident.VMID(fmt.Sprintf("%s-%03d", z, i)), z, nil)
			f.VMs = append(f.VMs, e)
			f.Listed = append(f.Listed, membership.Listed{ID: e.Member.ID, Zone: z, Address: e.Member.Address})
		}
	}
	f.ApplyList()
	f.Settle(time.Minute)
	return f
}

// settleInterval is how often Settle compares all views, which takes time quadratic in the number of VMs.
const settleInterval = 500 * time.Millisecond

// Settle lets time pass until Settled holds, at most the limit, and reports whether it holds.
func (f *Fleet) Settle(limit time.Duration) bool {
	for waited := time.Duration(0); waited < limit; waited += settleInterval {
		if f.Settled() {
			return true
		}
		f.Run(settleInterval)
	}
	return f.Settled()
}

// ApplyList gives the platform's list to every VM.
func (f *Fleet) ApplyList() {
	for _, e := range f.VMs {
		e.run(func() { e.ApplyList(f.Listed) })
	}
}

// Settled reports whether every running VM knows every other one by its incarnation and as alive.
func (f *Fleet) Settled() bool {
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

// Running returns the processes that neither ended nor pause.
func (f *Fleet) Running() []*Endpoint {
	return slices.DeleteFunc(slices.Clone(f.VMs), func(e *Endpoint) bool { return e.stopped || e.paused })
}

// Restart starts the VM of that place again in a new process; the old one must have been stopped or paused.
func (f *Fleet) Restart(i int) *Endpoint {
	old := f.VMs[i].Member
	e := f.Start(old.ID, old.Zone, nil)
	e.ApplyList(f.Listed)
	f.VMs[i] = e
	return e
}

// Knows reports whether every other running VM sees the member in one of the states.
func (f *Fleet) Knows(id ident.VMID, states ...membership.State) bool {
	for _, e := range f.Running() {
		m, ok := e.View().Lookup(id)
		if e.Member.ID != id && (!ok || !slices.Contains(states, m.State)) {
			return false
		}
	}
	return true
}

// CutOneWay drops what one zone sends to another.
func (f *Fleet) CutOneWay(from, to ident.Zone) {
	f.Lost = func(a, b membership.Member) bool { return a.Zone == from && b.Zone == to }
}

// CutOff drops everything between the zone and the others.
func (f *Fleet) CutOff(zone ident.Zone) {
	f.Lost = func(a, b membership.Member) bool { return (a.Zone == zone) != (b.Zone == zone) }
}

// Heal ends every cut.
func (f *Fleet) Heal() { f.Lost = nil }
