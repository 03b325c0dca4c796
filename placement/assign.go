package placement

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Minimum share of one owner. With smaller shares a target would lose the benefit of pooling its slots, because each
// owner queues for its own share only.
const (
	MinSlotsPerOwner       = 8
	MinConnectionsPerOwner = 8
)

// loadFactor bounds the targets of one VM, as a multiple of the average.
const loadFactor = 1.25

// OwnerCount returns how many owners a target with the given slots, connections and cold slots has if vms VMs are
// usable. It is at least 1.
func OwnerCount(slots, connections, coldSlots, vms int) int {
	n := min(slots/MinSlotsPerOwner, connections/MinConnectionsPerOwner, coldSlots)
	return max(1, min(n, max(1, vms)))
}

// ownerRequest is a target that needs owners, with the budget to divide among them.
type ownerRequest struct {
	target *Target
	hash   uint64
	budget Owner
}

// candidate is a VM that may own targets.
type candidate struct {
	vm   ident.VMID
	hash uint64
	// load is the number of owner shares assigned to the VM.
	load int
}

// assign assigns the owners of each target: the highest-ranked VMs of its zone that are below the load bound, or of all
// zones if its own zone has no usable VM. Targets are assigned in the order of their hashes, so that adding or removing
// one changes neither the order of the others nor most of their owners.
func assign(view *membership.View, list []ownerRequest) {
	slices.SortFunc(list, func(a, b ownerRequest) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.target.ID, b.target.ID))
	})
	byZone := map[ident.Zone][]ownerRequest{}
	for _, r := range list {
		byZone[r.target.Zone] = append(byZone[r.target.Zone], r)
	}
	all, zones := candidates(view)
	var fallback []ownerRequest
	for zone, requests := range byZone {
		if len(zones[zone]) == 0 {
			fallback = append(fallback, requests...)
			continue
		}
		assignOwners(requests, zones[zone], 0)
	}
	if len(fallback) == 0 || len(all) == 0 {
		return
	}
	slices.SortFunc(fallback, func(a, b ownerRequest) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.target.ID, b.target.ID))
	})
	assigned := 0
	for _, c := range all {
		assigned += c.load
	}
	assignOwners(fallback, all, assigned)
}

func candidates(view *membership.View) (all []*candidate, zones map[ident.Zone][]*candidate) {
	zones = map[ident.Zone][]*candidate{}
	for _, m := range view.Members {
		if !m.Usable() {
			continue
		}
		c := &candidate{vm: m.ID, hash: xxhash.Sum64String(string(m.ID))}
		all = append(all, c)
		zones[m.Zone] = append(zones[m.Zone], c)
	}
	return all, zones
}

// assignOwners assigns owners among the candidates to the targets of the list. assigned is the number of owner shares
// that the candidates already hold; they count towards the load bound.
func assignOwners(list []ownerRequest, among []*candidate, assigned int) {
	chosen := make([]*candidate, 0, len(among))
	total := assigned
	for _, r := range list {
		total += r.ownerCount(len(among))
	}
	bound := int(math.Ceil(loadFactor * float64(total) / float64(len(among))))
	for _, r := range list {
		chosen = chosen[:0]
		for range r.ownerCount(len(among)) {
			best := r.bestCandidate(among, chosen, bound)
			if best == nil {
				// The load bound always allows the first owner. A further owner for which no candidate is left is
				// omitted, and the others share its part.
				break
			}
			best.load++
			chosen = append(chosen, best)
		}
		r.divideBudget(chosen)
	}
}

// ownerCount returns how many owners the target has, given the number of usable VMs.
func (r *ownerRequest) ownerCount(vms int) int {
	return OwnerCount(r.budget.Slots, r.budget.Connections, r.budget.ColdSlots, vms)
}

// bestCandidate returns the highest-ranked candidate that is below the load bound and not chosen yet. It returns nil if
// there is none.
func (r *ownerRequest) bestCandidate(among, chosen []*candidate, bound int) *candidate {
	var best *candidate
	var high uint64
	for _, c := range among {
		s := score(r.hash, c.hash)
		if (best == nil || s > high) && c.load < bound && !slices.Contains(chosen, c) {
			best, high = c, s
		}
	}
	return best
}

// divideBudget divides the target's budget evenly among the chosen VMs. The first one also gets the remainders, so that
// the shares add up to the budget.
func (r *ownerRequest) divideBudget(chosen []*candidate) {
	n := len(chosen)
	r.target.Owners = make([]Owner, n)
	for i, c := range chosen {
		o := Owner{VM: c.vm, Slots: r.budget.Slots / n, ColdSlots: r.budget.ColdSlots / n, Connections: r.budget.Connections / n}
		if i == 0 {
			o.Slots += r.budget.Slots % n
			o.ColdSlots += r.budget.ColdSlots % n
			o.Connections += r.budget.Connections % n
		}
		r.target.Owners[i] = o
	}
}

// Odd constants from the binary digits of the golden ratio and of the square root of 2. Without them, every score of a
// target or VM whose hash is zero would be zero.
const (
	mixTarget = 0x9e3779b97f4a7c15
	mixVM     = 0x6a09e667f3bcc909
)

// score returns the rendezvous score of a target and a VM: the folded 128-bit product of their mixed hashes. A plan needs
// a score for each pair of target and VM; hashing the 16 bytes of both hashes instead took most of the time of building
// a plan.
func score(target, vm uint64) uint64 {
	high, low := bits.Mul64(target^mixTarget, vm^mixVM)
	return high ^ low
}
