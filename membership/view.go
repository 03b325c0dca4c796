// Package membership keeps each VM's view of the live VMs. A view is immutable; readers take it without a lock.
package membership

import (
	"slices"
	"strings"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// State is what a VM believes of another one.
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
	// Sequence counts the member's refutations within its incarnation.
	Sequence uint64
	State    State
	// Since is when the viewing VM learned of the state.
	Since time.Time
	// Indirect reports that the viewing VM reaches the member only through other VMs.
	Indirect bool
}

// Usable reports whether new work may be sent to the member.
func (m Member) Usable() bool { return m.State == Alive || m.State == Suspect }

// View is the set of VMs that one VM knows. It is immutable and sorted by id.
type View struct {
	// Self is this VM. When it begins to leave, its entry in Members stays usable until peers know of it.
	Self    Member
	Members []Member
	// Generation counts the changes of this VM's view.
	Generation uint64
	// Updated is when the view last changed.
	Updated time.Time
	// Stale reports that the process was paused and has not yet refreshed its view.
	Stale bool
}

// Viewer gives the current view without taking a lock.
type Viewer interface {
	View() *View
}

// NewView returns a view of the given members; self is included if absent.
func NewView(self Member, members []Member, generation uint64, updated time.Time) *View {
	all := slices.Clone(members)
	if !slices.ContainsFunc(all, func(m Member) bool { return m.ID == self.ID }) {
		all = append(all, self)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return &View{Self: self, Members: all, Generation: generation, Updated: updated}
}

// Lookup returns the member of that id.
func (v *View) Lookup(id ident.VMID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id ident.VMID) int {
		return strings.Compare(string(m.ID), string(id))
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// UsableIn returns the usable members of a zone; an empty zone means all zones.
func (v *View) UsableIn(zone ident.Zone) []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Usable() && (zone == "" || m.Zone == zone) {
			out = append(out, m)
		}
	}
	return out
}
