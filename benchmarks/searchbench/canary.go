package searchbench

import (
	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/quarantine"
)

func init() { bench.Register("search_unknown", searchUnknown) }

// soleVM is the membership view of a VM without peers, which is therefore the home of every fingerprint. A fingerprint
// identifies a query, and its home is the VM that runs the canaries of that query.
type soleVM struct{ view *membership.View }

// View implements membership.Viewer.
func (a soleVM) View() *membership.View { return a.view }

// searchUnknown repeats the measurement of searchTail with queries that are all different, so that each one waits for
// its canary. The VM that receives the queries is itself the home of their fingerprints, so the figures do not include
// the call to another VM of the zone.
func searchUnknown() ([]bench.Result, error) {
	f := newFleet(fleetShards, extraPercent, 0.01)
	clock := clockwork.NewRealClock()
	self := membership.Member{ID: "vm-1", Zone: fleetZones[0], State: membership.Alive}
	view := soleVM{membership.NewView(self, nil, 1, clock.Now())}
	f.uniqueQueries, f.searcher.Guard = true, quarantine.New(clock, view, f, nil)
	f.run(warmSearches, searchRate)
	got := f.run(tailSearches, searchRate)
	// The searcher's statistics do not include hedged canaries, which the guard sends, so all sends are counted here.
	needed := float64(fleetShards * (warmSearches + tailSearches))
	extra := (float64(f.sends.Load()) - needed) / needed
	return []bench.Result{
		{Name: "search_unknown_p99", Value: got.quantile(0.99).Seconds() * 1000, Unit: "ms", Bound: maxSearchP99Millis, LowerIsBetter: true},
		{Name: "search_unknown_p50", Value: got.quantile(0.5).Seconds() * 1000, Unit: "ms", Informative: true},
		{Name: "search_unknown_extra_load", Value: extra, Unit: "ratio", Bound: maxExtraShare, LowerIsBetter: true},
		{Name: "search_unknown_coverage", Value: got.coverage(), Unit: "ratio", Informative: true},
	}, nil
}
