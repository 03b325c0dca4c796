// Package placement assigns owners to targets by rendezvous hashing. The assignment is a pure function of the
// membership view and the bundle, so VMs with the same view and bundle agree on it without exchanging messages.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Owner is a VM and its share of a target's slots and connections.
type Owner struct {
	VM          ident.VMID
	Slots       int
	ColdSlots   int
	Connections int
}

// Target is a target with its owners.
type Target struct {
	bundle.Target
	Service ident.ServiceID
	// Owners are in the order of their rank, highest first.
	Owners []Owner
}

// Plan is an immutable assignment of owners to targets.
type Plan struct {
	// ConfigVersion and Generation are the versions of the bundle and of the view that the plan was made from.
	ConfigVersion uint64
	Generation    uint64
	targets       map[ident.TargetID]*Target
	view          *membership.View
	bundle        *bundle.Bundle
}

// Target returns the target with the ID. The second result is false if the bundle has no target with that ID.
func (p *Plan) Target(id ident.TargetID) (*Target, bool) {
	t, ok := p.targets[id]
	return t, ok
}

// Targets calls f for every target, in no particular order.
func (p *Plan) Targets(f func(*Target)) {
	for _, t := range p.targets {
		f(t)
	}
}

// View returns the membership view that the plan was made from.
func (p *Plan) View() *membership.View { return p.view }

// Without returns the plan for the same bundle and view without the given VM. The owners in that plan are those from
// which the VM takes over targets when it joins.
func (p *Plan) Without(vm ident.VMID) *Plan {
	view := *p.view
	view.Members = slices.DeleteFunc(slices.Clone(p.view.Members), func(m membership.Member) bool { return m.ID == vm })
	return NewPlan(&view, p.bundle)
}

// OwnedBy returns the VM's share of the target. The second result is false if the VM does not own the target.
func (t *Target) OwnedBy(vm ident.VMID) (Owner, bool) {
	for _, o := range t.Owners {
		if o.VM == vm {
			return o, true
		}
	}
	return Owner{}, false
}

// NewPlan assigns owners to every target of the bundle. Targets have no owners if the view has no usable VM.
func NewPlan(view *membership.View, b *bundle.Bundle) *Plan {
	count := 0
	for i := range b.Services {
		count += len(b.Services[i].Targets)
	}
	p := &Plan{ConfigVersion: b.Version, Generation: view.Generation, view: view, bundle: b,
		targets: make(map[ident.TargetID]*Target, count)}
	assign(view, p.requests(b, count))
	return p
}

// requests adds the count targets of the bundle to the plan and returns them with their budgets.
func (p *Plan) requests(b *bundle.Bundle, count int) []ownerRequest {
	list, targets := make([]ownerRequest, 0, count), make([]Target, 0, count)
	for i := range b.Services {
		s := &b.Services[i]
		for _, t := range s.Targets {
			targets = append(targets, Target{Target: t, Service: s.ID})
			target := &targets[len(targets)-1]
			p.targets[t.ID] = target
			list = append(list, ownerRequest{target: target, hash: xxhash.Sum64String(string(t.ID)),
				budget: Owner{Slots: s.Slots, ColdSlots: s.ColdSlots, Connections: s.Connections}})
		}
	}
	return list
}

// Rank returns the members in the order of their rendezvous hashes for the key, highest first.
func Rank(key string, members []membership.Member) []membership.Member {
	type scored struct {
		member membership.Member
		score  uint64
	}
	list := make([]scored, len(members))
	for i, m := range members {
		list[i] = scored{m, xxhash.Sum64String(key + "\x00" + string(m.ID))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	out := make([]membership.Member, len(list))
	for i, s := range list {
		out[i] = s.member
	}
	return out
}
