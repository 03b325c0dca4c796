// Package membership maintains this VM's view of the VMs of the fleet. It detects failures in the manner of SWIM, with
// direct and indirect probes, suspicion, refutation and gossiped updates. A view is immutable and read without a lock.
package membership

import (
	"slices"
	"strings"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// State is the state of a member in the view of one VM.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Dead    State = "dead"
	Leaving State = "leaving"
)

// Member is one VM as seen by another.
type Member struct {
	ID   ident.VMID
	Zone ident.Zone
	// Address is the IP address and port of the peer protocol.
	Address     string
	Incarnation ident.Incarnation
	// Capacity is the VM's share of a processor in thousandths of a core; 0 if unknown.
	Capacity int
	// Sequence is raised by the member, within its incarnation, each time it announces its own state, for example to
	// refute an update or to leave.
	Sequence uint64
	State    State
	// Since is when the viewing VM learned of State, on its own clock.
	Since time.Time
	// Indirect reports that only indirect probes of the viewing VM, through other VMs, reach the member.
	Indirect bool
}

// Usable reports whether new work may be sent to the member.
func (m Member) Usable() bool { return m.State == Alive || m.State == Suspect }

// View is the set of members known to one VM, including that VM. It is immutable.
type View struct {
	// Self is this VM. When the VM begins to leave, its entry in Members remains usable for a short time, until the
	// announcement has reached the peers.
	Self Member
	// Members is sorted by ID.
	Members []Member
	// Generation is raised by one with each change of this VM's view.
	Generation uint64
	// Updated is when the view last changed.
	Updated time.Time
	// Stale reports that the process was paused and has not refreshed its view since.
	Stale bool
}

// Viewer provides the current view without taking a lock.
type Viewer interface {
	View() *View
}

// NewView returns a view of the given members. Self is added if it is not among them.
func NewView(self Member, members []Member, generation uint64, updated time.Time) *View {
	all := slices.Clone(members)
	if !slices.ContainsFunc(all, func(m Member) bool { return m.ID == self.ID }) {
		all = append(all, self)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return &View{Self: self, Members: all, Generation: generation, Updated: updated}
}

// Lookup returns the member with the given ID.
func (v *View) Lookup(id ident.VMID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id ident.VMID) int {
		return strings.Compare(string(m.ID), string(id))
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// UsableIn returns the usable members of a zone, or of all zones if zone is empty.
func (v *View) UsableIn(zone ident.Zone) []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Usable() && (zone == "" || m.Zone == zone) {
			out = append(out, m)
		}
	}
	return out
}
