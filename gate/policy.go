package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
)

// Policy derives the Rules of targets from the bundle in force and the membership view. Permit takes no lock.
type Policy struct {
	viewer membership.Viewer
	table  atomic.Pointer[policyTable]
	mu     sync.Mutex
}

type policyTable struct {
	zones   map[ident.Zone]zoneRule
	targets map[ident.TargetID]targetRule
}

type zoneRule struct {
	out bool
	// returned is the time at which the zone was put back in service, or zero if this process has not seen it out of
	// service.
	returned time.Time
	// rampUp is the time in which the usable share of slots grows to 1 after the return.
	rampUp time.Duration
}

type targetRule struct {
	zone    zoneRule
	leaving bool
}

// NewPolicy returns a Policy without targets, which refuses all work until the first Update.
func NewPolicy(viewer membership.Viewer) *Policy {
	p := &Policy{viewer: viewer}
	p.table.Store(&policyTable{})
	return p
}

// Update applies a bundle that came into force at the given time. The time of a zone's return is kept across later
// bundles.
func (p *Policy) Update(b *bundle.Bundle, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.table.Load()
	next := &policyTable{zones: map[ident.Zone]zoneRule{}, targets: map[ident.TargetID]targetRule{}}
	for _, z := range b.Zones {
		before := old.zones[z.ID]
		rule := zoneRule{out: z.State != bundle.ZoneIn, returned: before.returned, rampUp: time.Duration(z.ReturnSeconds) * time.Second}
		if before.out && !rule.out {
			rule.returned = since
		}
		next.zones[z.ID] = rule
	}
	for i := range b.Services {
		for _, t := range b.Services[i].Targets {
			zone, known := next.zones[t.Zone]
			zone.out = zone.out || !known
			next.targets[t.ID] = targetRule{zone: zone, leaving: t.State != bundle.TargetServing}
		}
	}
	p.table.Store(next)
}

// Permit implements Rules.
func (p *Policy) Permit(target ident.TargetID, now time.Time) (float64, outcome.Reason) {
	if p.viewer.View().Stale {
		return 0, outcome.ReasonStaleView
	}
	rule, ok := p.table.Load().targets[target]
	switch {
	case !ok:
		return 0, outcome.ReasonTargetUnknown
	case rule.zone.out:
		return 0, outcome.ReasonZoneOut
	case rule.leaving:
		return 0, outcome.ReasonTargetLeaving
	}
	return rule.zone.share(now), outcome.ReasonNone
}

// share returns the share of slots that may be used, which grows linearly from 0 to 1 over the ramp-up.
func (z zoneRule) share(now time.Time) float64 {
	elapsed := now.Sub(z.returned)
	if z.returned.IsZero() || elapsed >= z.rampUp {
		return 1
	}
	return max(0, elapsed.Seconds()/z.rampUp.Seconds())
}
