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

// Policy derives the rules of targets from the bundle in force and the view. Permit takes no lock.
type Policy struct {
	viewer membership.Viewer
	now    atomic.Pointer[policyTable]
	mu     sync.Mutex
}

type policyTable struct {
	zones   map[ident.Zone]zoneRule
	targets map[ident.TargetID]targetRule
}

type zoneRule struct {
	out bool
	// returned is when the zone was put back in service; zero if this process never saw it out.
	returned time.Time
	pace     time.Duration
}

type targetRule struct {
	zone    zoneRule
	leaving bool
}

// NewPolicy returns a policy that knows no targets.
func NewPolicy(viewer membership.Viewer) *Policy {
	p := &Policy{viewer: viewer}
	p.now.Store(&policyTable{})
	return p
}

// Update follows a bundle that came into force at the given time. A zone's return is remembered over later bundles.
func (p *Policy) Update(b *bundle.Bundle, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.now.Load()
	next := &policyTable{zones: map[ident.Zone]zoneRule{}, targets: map[ident.TargetID]targetRule{}}
	for _, z := range b.Zones {
		before := old.zones[z.ID]
		rule := zoneRule{out: z.State != bundle.ZoneIn, returned: before.returned, pace: time.Duration(z.ReturnSeconds) * time.Second}
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
	p.now.Store(next)
}

// Permit implements Rules.
func (p *Policy) Permit(target ident.TargetID, now time.Time) (float64, outcome.Reason) {
	if p.viewer.View().Stale {
		return 0, outcome.ReasonStaleView
	}
	rule, ok := p.now.Load().targets[target]
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

// share grows linearly from 0 to 1 over the time in which work returns to the zone.
func (z zoneRule) share(now time.Time) float64 {
	elapsed := now.Sub(z.returned)
	if z.returned.IsZero() || elapsed >= z.pace {
		return 1
	}
	return max(0, elapsed.Seconds()/z.pace.Seconds())
}
