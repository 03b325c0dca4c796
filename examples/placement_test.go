package examples_test

import (
	"fmt"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
)

// VMs with the same members in their views compute the same owner of each target without exchanging messages.
func Example_placement() {
	vm := func(id ident.VMID) membership.Member {
		return membership.Member{ID: id, Zone: "munster-a", Address: "127.0.0.1:1", State: membership.Alive}
	}
	members := []membership.Member{vm("vm-1"), vm("vm-2"), vm("vm-3")}
	first := placement.NewPlan(membership.NewView(members[0], members, 1, time.Time{}), twoShards())
	second := placement.NewPlan(membership.NewView(members[1], members, 7, time.Time{}), twoShards())
	agree := true
	first.Targets(func(t *placement.Target) {
		other, ok := second.Target(t.ID)
		agree = agree && ok && len(t.Owners) == 1 && t.Owners[0] == other.Owners[0]
	})
	fmt.Println("same owners:", agree)
	// Output:
	// same owners: true
}
