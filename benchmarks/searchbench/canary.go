package searchbench

import (
	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/quarantine"
)

func init() { bench.Register("search_unknown", searchUnknown) }

// alone is the view of a VM that is the home of every fingerprint.
type alone struct{ view *membership.View }

// View returns the view.
func (a alone) View() *membership.View { return a.view }

// searchUnknown repeats the measurement of the tail with queries of which none was seen before, so that each waits for
// its canary. The home is the entry VM itself: the hop to a home inside the zone is left out.
func searchUnknown() ([]bench.Result, error) {
	f := newFleet(fleetShards, extraPercent, 0.01)
	clock := clockwork.NewRealClock()
	self := membership.Member{ID: "vm-1", Zone: fleetZones[0], State: membership.Alive}
	view := alone{membership.NewView(self, nil, 1, clock.Now())}
	f.unknown, f.searcher.Guard = true, quarantine.New(clock, view, f, nil)
	f.run(warmSearches, searchRate)
	got := f.run(tailSearches, searchRate)
	// Hedged canaries are sends of the guard, so all sends are counted rather than those of the searcher.
	needed := float64(fleetShards * (warmSearches + tailSearches))
	extra := (float64(f.sends.Load()) - needed) / needed
	return []bench.Result{
		{Name: "search_unknown_p99", Value: got.quantile(0.99).Seconds() * 1000, Unit: "ms", Bound: maxSearchP99Millis, Less: true},
		{Name: "search_unknown_p50", Value: got.quantile(0.5).Seconds() * 1000, Unit: "ms", Informative: true},
		{Name: "search_unknown_extra_load", Value: extra, Unit: "ratio", Bound: maxExtraShare, Less: true},
		{Name: "search_unknown_coverage", Value: got.coverage(), Unit: "ratio", Informative: true},
	}, nil
}
