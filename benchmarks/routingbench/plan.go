package routingbench

import (
	"fmt"
	"math"
	"time"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
)

// The design size.
const (
	designVMs     = 650
	designTargets = 3000
	designZones   = 6
)

// Bounds of the plan. A rebuild takes at most half of the 11 ms/s of CPU time that control traffic may use on a VM.
// When a VM leaves, at most three times the average number of targets per VM change owner. loadFactor is placement's
// limit on the number of targets of one owner, as a multiple of the average.
const (
	maxRebuildMillis = 5.5
	maxMovedFactor   = 3.0
	loadFactor       = 1.25
)

// planRounds is the number of rebuilds timed at each size. The shortest time is reported, because other load on the
// machine only adds time.
const planRounds = 15

func init() { bench.Register("routing_plan", planCost) }

// routingFleet returns a view and a bundle with VMs and targets spread evenly over designZones zones.
func routingFleet(vms, targets int, service bundle.Service) (*membership.View, *bundle.Bundle) {
	members := make([]membership.Member, vms)
	for i := range members {
		members[i] = membership.Member{ID: ident.VMID(fmt.Sprintf("vm-%03d", i)), Zone: routingZone(i), State: membership.Alive}
	}
	for i := range targets {
		service.Targets = append(service.Targets, bundle.Target{
			ID: ident.TargetID(fmt.Sprintf("target-%04d", i)), Zone: routingZone(i), Address: "127.0.0.1:1", State: bundle.TargetServing})
	}
	b := &bundle.Bundle{Version: 1, Services: []bundle.Service{service}}
	for i := range designZones {
		b.Zones = append(b.Zones, bundle.Zone{ID: routingZone(i), State: bundle.ZoneIn})
	}
	return &membership.View{Members: members}, b
}

func routingZone(i int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", i%designZones)) }

// planCost times plan rebuilds at several fleet sizes, and measures balance and moved targets at the design size.
func planCost() ([]bench.Result, error) {
	service := bundle.Service{ID: "s", Slots: 6, ColdSlots: 1, Connections: 50}
	var results []bench.Result
	for _, vms := range []int{82, 164, 328, designVMs} {
		view, b := routingFleet(vms, designTargets, service)
		least := time.Duration(math.MaxInt64)
		for range planRounds {
			start := time.Now()
			placement.NewPlan(view, b)
			least = min(least, time.Since(start))
		}
		results = append(results, bench.Result{Name: fmt.Sprintf("routing_plan_rebuild_%d_vms", vms),
			Value: float64(least.Microseconds()) / 1000, Unit: "ms", Bound: maxRebuildMillis, LowerIsBetter: true})
	}
	view, b := routingFleet(designVMs, designTargets, service)
	return append(results, planBalance(view, b)...), nil
}

// planBalance measures the number of targets of each owner and, for each VM, how many targets change owner when that VM
// leaves.
func planBalance(view *membership.View, b *bundle.Bundle) []bench.Result {
	plan := placement.NewPlan(view, b)
	loads, zoneVMs, zoneTargets := map[ident.VMID]int{}, map[ident.Zone]int{}, map[ident.Zone]int{}
	for _, m := range view.Members {
		zoneVMs[m.Zone]++
	}
	plan.Targets(func(t *placement.Target) {
		loads[t.Owners[0].VM]++
		zoneTargets[t.Zone]++
	})
	// Placement rounds its limit up to a whole number of targets in each zone; the figure is the load over that limit.
	worst := 0.0
	for _, m := range view.Members {
		average := float64(zoneTargets[m.Zone]) / float64(zoneVMs[m.Zone])
		worst = max(worst, float64(loads[m.ID])/math.Ceil(loadFactor*average))
	}
	most, sum := 0, 0
	for _, m := range view.Members {
		moved := movedTargets(plan, plan.Without(m.ID))
		most, sum = max(most, moved), sum+moved
	}
	share := float64(designTargets) / float64(len(view.Members)) / designTargets
	return []bench.Result{
		{Name: "routing_owner_load_over_bound", Value: worst, Unit: "ratio", Bound: 1, LowerIsBetter: true},
		{Name: "routing_moved_share_one_vm_leaves", Value: float64(sum) / float64(len(view.Members)) / designTargets,
			Unit: "share", Bound: maxMovedFactor * share, LowerIsBetter: true},
		{Name: "routing_moved_targets_worst_vm", Value: float64(most), Unit: "targets", Informative: true},
	}
}

// movedTargets counts the targets whose first owner differs between the plans.
func movedTargets(before, after *placement.Plan) int {
	moved := 0
	before.Targets(func(t *placement.Target) {
		if now, ok := after.Target(t.ID); !ok || now.Owners[0] != t.Owners[0] {
			moved++
		}
	})
	return moved
}
