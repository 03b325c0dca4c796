package bundle

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"teaselbank.example/teaselbank/ident"
)

// Upper bounds of bundle fields.
const (
	maxSlots            = 1024
	maxConnections      = 100_000
	maxReturnSeconds    = 3600
	maxExtraLoadPercent = 50
	maxDeadlineMillis   = 60_000
	maxConnectMillis    = 10_000
)

// InvalidError lists all faults in a bundle's content.
type InvalidError struct{ Faults []string }

// Error returns all faults in one line.
func (e *InvalidError) Error() string { return "bundle is not valid: " + strings.Join(e.Faults, "; ") }

// Validate returns a description of every fault in the bundle's content, each beginning with the path of the field. It
// returns nil if there is no fault.
func (b *Bundle) Validate() []string {
	v := &validation{serviceOf: map[ident.TargetID]ident.ServiceID{}, targetAt: map[string]ident.TargetID{}}
	v.checkHeader(b)
	v.checkZones(b)
	v.checkPolicy(&b.Policy)
	seen := map[ident.ServiceID]bool{}
	for i := range b.Services {
		s := &b.Services[i]
		v.check(s.ID != "" && !seen[s.ID], "services[%d].id: %q is empty or named twice", i, s.ID)
		seen[s.ID] = true
		v.checkService(b, s)
	}
	return v.faults
}

type validation struct {
	faults []string
	// serviceOf and targetAt hold the target IDs and addresses of the whole bundle. A target listed twice would get two
	// gates, which together would send it requests for twice its slots.
	serviceOf map[ident.TargetID]ident.ServiceID
	targetAt  map[string]ident.TargetID
}

// check adds a fault unless ok is true.
func (v *validation) check(ok bool, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, fmt.Sprintf(format, args...))
	}
}

func (v *validation) inRange(field string, value, low, high int) {
	v.check(value >= low && value <= high, "%s: %d is not in %d..%d", field, value, low, high)
}

func (v *validation) checkHeader(b *Bundle) {
	v.check(b.Version > 0, "version: must be at least 1")
	v.check(b.Name != "", "name: must not be empty")
	v.check(b.Author != "", "author: must not be empty")
	v.check(b.Reviewer != "", "reviewer: must not be empty")
	v.check(b.Author != b.Reviewer || b.Author == "", "reviewer: must not be the author %q", b.Author)
}

func (v *validation) checkZones(b *Bundle) {
	v.check(len(b.Zones) > 0, "zones: must name at least one availability zone")
	seen := map[ident.Zone]bool{}
	for i, z := range b.Zones {
		v.check(z.ID != "" && !seen[z.ID], "zones[%d].id: %q is empty or named twice", i, z.ID)
		seen[z.ID] = true
		v.check(z.State == ZoneIn || z.State == ZoneOut, "zones[%d].state: %q is neither \"in\" nor \"out\"", i, z.State)
		v.inRange(fmt.Sprintf("zones[%d].return_seconds", i), z.ReturnSeconds, 0, maxReturnSeconds)
	}
}

func (v *validation) checkPolicy(p *Policy) {
	v.inRange("policy.required_signers", p.RequiredSigners, 1, 16)
	v.inRange("policy.extra_load_percent", p.ExtraLoadPercent, 0, maxExtraLoadPercent)
	v.inRange("policy.max_deadline_millis", p.MaxDeadlineMillis, 1, maxDeadlineMillis)
	v.inRange("policy.default_deadline_millis", p.DefaultDeadlineMillis, 1, maxDeadlineMillis)
	v.check(p.DefaultDeadlineMillis <= p.MaxDeadlineMillis,
		"policy.default_deadline_millis: %d exceeds max_deadline_millis %d", p.DefaultDeadlineMillis, p.MaxDeadlineMillis)
}

func (v *validation) checkService(b *Bundle, s *Service) {
	at := "services." + string(s.ID)
	v.inRange(at+".slots", s.Slots, 1, maxSlots)
	v.inRange(at+".cold_slots", s.ColdSlots, 1, max(1, s.Slots))
	v.inRange(at+".connections", s.Connections, 1, maxConnections)
	v.inRange(at+".connect_millis", s.ConnectMillis, 0, maxConnectMillis)
	targets := v.checkTargets(b, s, at)
	v.check(len(s.Snapshots) > 0, "%s.snapshots: must name at least one snapshot", at)
	seen := map[ident.SnapshotID]bool{}
	for _, snap := range s.Snapshots {
		v.check(snap.ID != "" && !seen[snap.ID], "%s.snapshots: id %q is empty or named twice", at, snap.ID)
		seen[snap.ID] = true
		v.checkShards(at+".snapshots."+string(snap.ID), snap.Shards, targets)
	}
}

func (v *validation) checkTargets(b *Bundle, s *Service, at string) map[ident.TargetID]bool {
	targets := map[ident.TargetID]bool{}
	for i, t := range s.Targets {
		field := fmt.Sprintf("%s.targets[%d]", at, i)
		v.check(t.ID != "" && !targets[t.ID], "%s.id: %q is empty or named twice", field, t.ID)
		targets[t.ID] = true
		v.checkUnique(field, s.ID, t)
		v.check(b.ZoneByID(t.Zone) != nil, "%s.zone: %q is not a zone of the bundle", field, t.Zone)
		_, err := netip.ParseAddrPort(t.Address)
		v.check(err == nil, "%s.address: %q is not an IP address and port", field, t.Address)
		v.check(t.State == TargetServing || t.State == TargetLeaving, "%s.state: %q is neither \"serving\" nor \"leaving\"", field, t.State)
	}
	return targets
}

// checkUnique checks that no other target of the bundle has the ID or address of t. Duplicate IDs within one service
// are left to checkTargets.
func (v *validation) checkUnique(field string, service ident.ServiceID, t Target) {
	if other, taken := v.serviceOf[t.ID]; taken && other != service {
		v.check(false, "%s.id: %q is also a target of service %s", field, t.ID, other)
	}
	v.serviceOf[t.ID] = service
	if other, taken := v.targetAt[t.Address]; taken {
		v.check(false, "%s.address: %q is also the address of target %s", field, t.Address, other)
	}
	v.targetAt[t.Address] = t.ID
}

func (v *validation) checkShards(at string, shards []Shard, targets map[ident.TargetID]bool) {
	v.check(len(shards) > 0, "%s.shards: must name at least one shard", at)
	seen := map[ident.ShardID]bool{}
	for i := range shards {
		shard := &shards[i]
		if shard.ID == "" || seen[shard.ID] {
			v.check(false, "%s.shards: id %q is empty or named twice", at, shard.ID)
		}
		seen[shard.ID] = true
		if len(shard.Replicas) == 0 {
			v.check(false, "%s.shards.%s.replicas: must name at least one target", at, shard.ID)
		}
		for j, r := range shard.Replicas {
			if !targets[r] || slices.Contains(shard.Replicas[:j], r) {
				v.check(false, "%s.shards.%s.replicas: %q is not a target of the service or is named twice", at, shard.ID, r)
			}
		}
	}
}
