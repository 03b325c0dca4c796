package opsapi

import (
	"slices"
	"strings"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
	"teaselbank.example/teaselbank/statusapi"
)

// Status is the JSON response to GET /v1/status. Its types are defined in statusapi, which the command-line tool also
// uses.
type Status = statusapi.Status

// ConfigStatus describes the bundle in force.
type ConfigStatus = statusapi.ConfigStatus

// PeerStatus is one VM of the view.
type PeerStatus = statusapi.PeerStatus

// Explanation says why a target or zone gets no new work.
type Explanation = statusapi.Explanation

// Cause is one reason why no new work is sent.
type Cause = statusapi.Cause

func peerStatus(m membership.Member) PeerStatus {
	return PeerStatus{VM: string(m.ID), Zone: string(m.Zone), Address: m.Address, State: string(m.State),
		Incarnation: m.Incarnation.Token, Started: m.Incarnation.Started, Sequence: m.Sequence, Since: m.Since,
		Indirect: m.Indirect, Usable: m.Usable()}
}

// TargetStatus is one target of the plan.
type TargetStatus = statusapi.TargetStatus

func conflictStatus(alarm *config.Alarm) *statusapi.ConflictStatus {
	if alarm == nil {
		return nil
	}
	c := &statusapi.ConflictStatus{Version: alarm.Version, InForce: alarm.InForce.String(), Signers: alarm.Signers,
		Since: alarm.Since, Count: alarm.Count}
	for _, digest := range alarm.Offered {
		c.Offered = append(c.Offered, digest.String())
	}
	return c
}

func targetStatus(t *placement.Target) TargetStatus {
	s := TargetStatus{Target: string(t.ID), Service: string(t.Service), Zone: string(t.Zone), State: string(t.State)}
	for _, o := range t.Owners {
		s.Owners = append(s.Owners, string(o.VM))
	}
	return s
}

// SortTargets orders targets by ID.
func SortTargets(list []TargetStatus) {
	slices.SortFunc(list, func(a, b TargetStatus) int { return strings.Compare(a.Target, b.Target) })
}
