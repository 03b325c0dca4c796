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

// Thresholds of the owner count. A share below them loses the pooling of slots, because each share queues for itself.
const (
	MinSlotsPerOwner       = 8
	MinConnectionsPerOwner = 8
)

// loadFactor bounds the targets of one owner over the average.
const loadFactor = 1.25

// OwnerCount returns how many owners a target with this budget has among the given number of live VMs.
func OwnerCount(slots, connections, coldSlots, vms int) int {
	n := min(slots/MinSlotsPerOwner, connections/MinConnectionsPerOwner, coldSlots)
	return max(1, min(n, max(1, vms)))
}

// request is a target that needs owners.
type request struct {
	target *Target
	hash   uint64
	budget Owner
}

// candidate is a VM that may own targets.
type candidate struct {
	vm   ident.VMID
	hash uint64
	load int
}

// assign gives each target its owners: the VMs of its zone that rank highest and have room. Targets stand in the order
// of their hashes, so that adding or removing one leaves the order of the others, and most owners, as they are.
func assign(view *membership.View, list []request) {
	slices.SortFunc(list, func(a, b request) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.target.ID, b.target.ID))
	})
	byZone := map[ident.Zone][]request{}
	for _, r := range list {
		byZone[r.target.Zone] = append(byZone[r.target.Zone], r)
	}
	all, zones := candidates(view)
	var homeless []request
	for zone, requests := range byZone {
		if len(zones[zone]) == 0 {
			homeless = append(homeless, requests...)
			continue
		}
		place(requests, zones[zone], 0)
	}
	if len(homeless) == 0 || len(all) == 0 {
		return
	}
	slices.SortFunc(homeless, func(a, b request) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.target.ID, b.target.ID))
	})
	placed := 0
	for _, c := range all {
		placed += c.load
	}
	place(homeless, all, placed)
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

// place assigns owners among the candidates, which hold placed targets already.
func place(list []request, among []*candidate, placed int) {
	chosen := make([]*candidate, 0, len(among))
	total := placed
	for _, r := range list {
		total += r.owners(len(among))
	}
	bound := int(math.Ceil(loadFactor * float64(total) / float64(len(among))))
	for _, r := range list {
		chosen = chosen[:0]
		for range r.owners(len(among)) {
			best := r.best(among, chosen, bound)
			if best == nil {
				// The bound leaves room for every first owner; a further one that finds none is left out, and the
				// others share its part.
				break
			}
			best.load++
			chosen = append(chosen, best)
		}
		r.share(chosen)
	}
}

func (r *request) owners(vms int) int {
	return OwnerCount(r.budget.Slots, r.budget.Connections, r.budget.ColdSlots, vms)
}

// best returns the highest-ranked candidate that has room and is not chosen yet, or nil.
func (r *request) best(among, chosen []*candidate, bound int) *candidate {
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

// share divides the budget evenly; the first-ranked owner takes the remainders, so that the sums are the budget.
func (r *request) share(chosen []*candidate) {
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

// Odd constants of the 64-bit golden ratio and the square root of 2; they keep a zero hash from making every score zero.
const (
	mixTarget = 0x9e3779b97f4a7c15
	mixVM     = 0x6a09e667f3bcc909
)

// score mixes the hashes of a target and a VM by a folded 128-bit product. A plan takes one score for each pair, and
// hashing 16 bytes instead took most of the time of a rebuild.
func score(target, vm uint64) uint64 {
	high, low := bits.Mul64(target^mixTarget, vm^mixVM)
	return high ^ low
}
