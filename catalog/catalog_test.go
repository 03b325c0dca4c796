package catalog_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

type source struct {
	current atomic.Pointer[config.InForce]
}

func (s *source) Current() *config.InForce { return s.current.Load() }

func inForce(version uint64, zone bundle.ZoneState, target bundle.TargetState) *config.InForce {
	return &config.InForce{Verified: &bundle.Verified{Bundle: &bundle.Bundle{
		Version: version, Zones: []bundle.Zone{{ID: "lupeni", State: zone}},
		Services: []bundle.Service{{ID: "subventii", Targets: []bundle.Target{{ID: "t1", Zone: "lupeni", State: target}, {ID: "t2", Zone: "elsewhere", State: target}},
			Snapshots: []bundle.Snapshot{{ID: "s1", Shards: []bundle.Shard{{ID: "a", Replicas: []ident.TargetID{"t1", "t2"}}}}}}},
	}}}
}

// Guards against a target that is offered for work although the bundle excludes it or its zone.
func TestExclusionReason(t *testing.T) {
	for _, c := range []struct {
		zone   bundle.ZoneState
		target bundle.TargetState
		want   outcome.Reason
	}{
		{bundle.ZoneIn, bundle.TargetServing, outcome.ReasonNone},
		{bundle.ZoneIn, bundle.TargetLeaving, outcome.ReasonTargetLeaving},
		{bundle.ZoneOut, bundle.TargetServing, outcome.ReasonZoneOut},
		{bundle.ZoneOut, bundle.TargetLeaving, outcome.ReasonZoneOut},
	} {
		built := catalog.Build(inForce(1, c.zone, c.target), nil)
		require.Equal(t, c.want, built.ExclusionReason("subventii", "t1"), "exclusion reason with the zone %s and the target %s", c.zone, c.target)
		require.Equal(t, outcome.ReasonZoneOut, built.ExclusionReason("subventii", "t2"), "a zone that is not in the bundle must count as out")
		require.Equal(t, outcome.ReasonTargetUnknown, built.ExclusionReason("subventii", "t9"))
		require.Equal(t, outcome.ReasonUnknownService, built.ExclusionReason("other", "t1"))
	}
}

// Guards against a send that is checked against an earlier bundle than the one in force, because the cache still
// returns the earlier bundle's catalog.
func TestCacheFollowsTheBundleInForce(t *testing.T) {
	s := &source{}
	cache := catalog.NewCache(s)
	require.Nil(t, cache.Current())
	s.current.Store(inForce(1, bundle.ZoneIn, bundle.TargetServing))
	first := cache.Current()
	require.Same(t, first, cache.Current(), "the catalog of a bundle must be built only once")
	s.current.Store(inForce(2, bundle.ZoneOut, bundle.TargetServing))
	require.Equal(t, outcome.ReasonZoneOut, cache.Current().ExclusionReason("subventii", "t1"))
	require.Equal(t, outcome.ReasonNone, first.ExclusionReason("subventii", "t1"), "the catalog of the earlier bundle must not change")
}

// Guards against a zone that gets all of its work back at once when it is put back, also when another bundle arrives
// while it is returning to service.
func TestReturnOfAZoneIsCarriedOver(t *testing.T) {
	start := time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	next := func(previous *catalog.Catalog, state bundle.ZoneState, seconds int) *catalog.Catalog {
		active := inForce(1, state, bundle.TargetServing)
		active.Bundle.Zones[0].ReturnSeconds, active.Since = 100, start.Add(time.Duration(seconds)*time.Second)
		return catalog.Build(active, previous)
	}
	share := func(c *catalog.Catalog, seconds int) float64 {
		return c.ReturnProgress("lupeni", start.Add(time.Duration(seconds)*time.Second))
	}
	first := next(nil, bundle.ZoneIn, 0)
	require.Equal(t, 1.0, share(first, 1), "a zone that was never out must not count as returning")
	back := next(next(first, bundle.ZoneOut, 10), bundle.ZoneIn, 20)
	require.Equal(t, 0.0, share(back, 20))
	require.Equal(t, 0.5, share(back, 70))
	later := next(back, bundle.ZoneIn, 60)
	require.Equal(t, 0.5, share(later, 70), "another bundle must not end the return")
	require.Equal(t, 1.0, share(later, 120))
	active := inForce(2, bundle.ZoneIn, bundle.TargetServing)
	active.Bundle.Zones[0].ReturnSeconds, active.Since, active.Previous = 100, start, inForce(1, bundle.ZoneOut, bundle.TargetServing).Verified
	require.Equal(t, 0.25, share(catalog.Build(active, nil), 25), "without a previous catalog, a zone that is out in the previous bundle must count as returning: after 25 of 100 s, a quarter is done")
}
