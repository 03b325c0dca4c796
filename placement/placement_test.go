package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// fleet returns a view of VMs and a bundle of targets, both spread evenly over zones.
func fleet(vms, targets, zones int, service bundle.Service) (*membership.View, *bundle.Bundle) {
	members := make([]membership.Member, vms)
	for i := range members {
		members[i] = membership.Member{ID: ident.VMID(fmt.Sprintf("vm-%03d", i)), Zone: zone(i % zones), State: membership.Alive}
	}
	for i := range targets {
		service.Targets = append(service.Targets, bundle.Target{ID: ident.TargetID(fmt.Sprintf("t-%04d", i)), Zone: zone(i % zones)})
	}
	return &membership.View{Members: members}, &bundle.Bundle{Version: 1, Services: []bundle.Service{service}}
}

func zone(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", i)) }

func targetsByVM(p *Plan) map[ident.VMID]int {
	byVM := map[ident.VMID]int{}
	p.Targets(func(t *Target) {
		for _, o := range t.Owners {
			byVM[o.VM]++
		}
	})
	return byVM
}

// Guards against an owner count that divides the slots of small targets, or that exceeds the number of usable VMs.
func TestOwnerCount(t *testing.T) {
	for want, in := range map[int][4]int{
		1: {6, 50, 2, 8}, 2: {16, 50, 4, 8}, 3: {64, 25, 9, 8}, 4: {64, 110, 4, 8}, 5: {64, 110, 9, 5},
	} {
		require.Equal(t, want, OwnerCount(in[0], in[1], in[2], in[3]))
	}
	require.Equal(t, 1, OwnerCount(64, 110, 9, 0))
}

// Guards against shares that do not add up to the budget, a target without an owner, an owner above the load bound, and
// a plan that depends on the order of its inputs.
func TestPlanKeepsBudgetsAndLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := bundle.Service{ID: "s", Slots: rapid.IntRange(1, 80).Draw(t, "slots"), Connections: rapid.IntRange(1, 120).Draw(t, "connections")}
		budget.ColdSlots = rapid.IntRange(1, budget.Slots).Draw(t, "cold")
		vms, targets := rapid.IntRange(1, 40).Draw(t, "vms"), rapid.IntRange(1, 120).Draw(t, "targets")
		view, b := fleet(vms, targets, 1, budget)
		plan := NewPlan(view, b)
		plan.Targets(func(target *Target) {
			var sum Owner
			for _, o := range target.Owners {
				require.Positive(t, o.Slots)
				require.Positive(t, o.ColdSlots)
				sum.Slots, sum.ColdSlots, sum.Connections = sum.Slots+o.Slots, sum.ColdSlots+o.ColdSlots, sum.Connections+o.Connections
			}
			require.Equal(t, Owner{Slots: budget.Slots, ColdSlots: budget.ColdSlots, Connections: budget.Connections}, sum)
		})
		byVM := targetsByVM(plan)
		wanted := targets * OwnerCount(budget.Slots, budget.Connections, budget.ColdSlots, vms)
		for vm, n := range byVM {
			require.LessOrEqual(t, n, int(math.Ceil(loadFactor*float64(wanted)/float64(vms))), vm)
		}
		slices.Reverse(b.Services[0].Targets)
		again := NewPlan(view, b)
		plan.Targets(func(target *Target) { require.Equal(t, target.Owners, again.targets[target.ID].Owners) })
	})
}

// Guards against targets without an owner if their zone has no usable VM, and against owners of other zones if the zone
// of the target has a usable VM.
func TestZoneWithoutVMsFallsBack(t *testing.T) {
	view, b := fleet(6, 60, 3, bundle.Service{ID: "s", Slots: 2, ColdSlots: 1, Connections: 25})
	for i := range view.Members {
		if view.Members[i].Zone == zone(0) {
			view.Members[i].State = membership.Leaving
		}
	}
	plan := NewPlan(view, b)
	plan.Targets(func(target *Target) {
		require.Len(t, target.Owners, 1)
		owner, _ := view.Lookup(target.Owners[0].VM)
		require.NotEqual(t, zone(0), owner.Zone)
		if target.Zone != zone(0) {
			require.Equal(t, target.Zone, owner.Zone)
		}
	})
	byVM := targetsByVM(plan)
	for vm, n := range byVM {
		require.LessOrEqual(t, n, 19, vm) // ceil(1.25 x 60/4)
	}
}

// Guards against a plan in which the loss of one VM moves many targets between the remaining VMs.
func TestOneLeavingVMMovesFewTargets(t *testing.T) {
	view, b := fleet(108, 500, 1, bundle.Service{ID: "s", Slots: 6, ColdSlots: 1, Connections: 50})
	plan := NewPlan(view, b)
	moved := 0
	without := plan.Without("vm-050")
	plan.Targets(func(target *Target) {
		if target.Owners[0] != without.targets[target.ID].Owners[0] {
			moved++
		}
	})
	require.LessOrEqual(t, moved, 25) // 5 times the average of 4.6 targets of one VM
	require.Positive(t, moved)
}
