package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"teaselbank.example/teaselbank/ident"
)

// Explanation summarizes a bundle for operators.
type Explanation struct {
	Version  uint64           `json:"version"`
	Digest   string           `json:"digest"`
	Name     string           `json:"name"`
	Author   string           `json:"author"`
	Reviewer string           `json:"reviewer"`
	Reason   string           `json:"reason"`
	Zones    []ZoneSummary    `json:"zones"`
	Services []ServiceSummary `json:"services"`
	Policy   Policy           `json:"policy"`
	Keyrings []KeyringSummary `json:"keyrings"`
	Signers  []string         `json:"signers"`
}

// ZoneSummary summarizes one availability zone.
type ZoneSummary struct {
	ID            ident.Zone `json:"id"`
	State         ZoneState  `json:"state"`
	ReturnSeconds int        `json:"return_seconds"`
	// Targets is the number of targets in the zone, over all services.
	Targets int `json:"targets"`
	// Leaving is the number of those targets in state TargetLeaving.
	Leaving int `json:"leaving"`
}

// ServiceSummary summarizes one service.
type ServiceSummary struct {
	ID             ident.ServiceID    `json:"id"`
	Slots          int                `json:"slots"`
	ColdSlots      int                `json:"cold_slots"`
	Connections    int                `json:"connections"`
	TargetsByZone  map[ident.Zone]int `json:"targets_by_zone"`
	Snapshots      int                `json:"snapshots"`
	NewestSnapshot ident.SnapshotID   `json:"newest_snapshot"`
	// Shards is the number of shards of the newest snapshot.
	Shards int `json:"shards"`
	// FewestReplicas is the number of usable replicas of the shard of the newest snapshot that has the fewest. A
	// replica is usable if its target is serving and the target's zone is in.
	FewestReplicas int `json:"fewest_replicas"`
}

// KeyringSummary summarizes the keyring of one rotation.
type KeyringSummary struct {
	Epoch   uint64 `json:"epoch"`
	Summary string `json:"meaning"`
}

// Explain summarizes a bundle. The signers are those of its signatures.
func Explain(b *Bundle, digest Digest, signers []string) Explanation {
	e := Explanation{Version: b.Version, Digest: digest.String(), Name: b.Name, Author: b.Author, Reviewer: b.Reviewer,
		Reason: b.Reason, Policy: b.Policy, Signers: signers}
	for _, z := range b.Zones {
		e.Zones = append(e.Zones, summarizeZone(b, z))
	}
	for i := range b.Services {
		e.Services = append(e.Services, summarizeService(b, &b.Services[i]))
	}
	for _, r := range b.Rotations {
		e.Keyrings = append(e.Keyrings, KeyringSummary{Epoch: r.Keyring.Epoch, Summary: describeKeyring(r.Keyring)})
	}
	return e
}

func summarizeZone(b *Bundle, z Zone) ZoneSummary {
	summary := ZoneSummary{ID: z.ID, State: z.State, ReturnSeconds: z.ReturnSeconds}
	for _, s := range b.Services {
		for _, t := range s.Targets {
			if t.Zone != z.ID {
				continue
			}
			summary.Targets++
			if t.State == TargetLeaving {
				summary.Leaving++
			}
		}
	}
	return summary
}

func summarizeService(b *Bundle, s *Service) ServiceSummary {
	summary := ServiceSummary{ID: s.ID, Slots: s.Slots, ColdSlots: s.ColdSlots, Connections: s.Connections,
		TargetsByZone: map[ident.Zone]int{}, Snapshots: len(s.Snapshots)}
	usable := map[ident.TargetID]bool{}
	for _, t := range s.Targets {
		summary.TargetsByZone[t.Zone]++
		z := b.ZoneByID(t.Zone)
		usable[t.ID] = t.State == TargetServing && z != nil && z.State == ZoneIn
	}
	if len(s.Snapshots) == 0 {
		return summary
	}
	newest := s.Snapshots[len(s.Snapshots)-1]
	summary.NewestSnapshot, summary.Shards = newest.ID, len(newest.Shards)
	for i, shard := range newest.Shards {
		n := 0
		for _, r := range shard.Replicas {
			if usable[r] {
				n++
			}
		}
		if i == 0 || n < summary.FewestReplicas {
			summary.FewestReplicas = n
		}
	}
	return summary
}

// Lines returns the explanation as lines of text.
func (e Explanation) Lines() []string {
	signers := "nobody"
	if len(e.Signers) > 0 {
		signers = strings.Join(e.Signers, ", ")
	}
	lines := []string{
		fmt.Sprintf("bundle %d %q, digest %s", e.Version, e.Name, e.Digest),
		fmt.Sprintf("author %s, reviewer %s, signed by %s", e.Author, e.Reviewer, signers),
		fmt.Sprintf("reason: %s", e.Reason),
	}
	for _, z := range e.Zones {
		lines = append(lines, fmt.Sprintf("zone %s is %s: %d targets, %d of them leaving; work returns over %d s", z.ID, z.State,
			z.Targets, z.Leaving, z.ReturnSeconds))
	}
	for _, s := range e.Services {
		lines = append(lines, s.line())
	}
	p := e.Policy
	lines = append(lines, fmt.Sprintf("policy: %d signers, %d%% extra load, deadline %d ms unless stated, at most %d ms",
		p.RequiredSigners, p.ExtraLoadPercent, p.DefaultDeadlineMillis, p.MaxDeadlineMillis))
	for _, k := range e.Keyrings {
		lines = append(lines, fmt.Sprintf("keyring epoch %d: %s", k.Epoch, k.Summary))
	}
	return lines
}

func (s ServiceSummary) line() string {
	var zones []string
	for _, z := range slices.Sorted(maps.Keys(s.TargetsByZone)) {
		zones = append(zones, fmt.Sprintf("%s %d", z, s.TargetsByZone[z]))
	}
	line := fmt.Sprintf("service %s: targets %s; %d slots, %d cold, %d connections each; snapshot %s of %d with %d shards", s.ID,
		strings.Join(zones, ", "), s.Slots, s.ColdSlots, s.Connections, s.NewestSnapshot, s.Snapshots, s.Shards)
	if s.FewestReplicas == 0 {
		return line + "; WARNING: a shard has no usable replica"
	}
	return line + fmt.Sprintf(", at least %d usable replicas each", s.FewestReplicas)
}
