package searchbench

import (
	"fmt"

	"teaselbank.example/teaselbank/benchmarks/bench"
)

// Bounds of searches, as stated in the design document.
const (
	maxSearchP99Millis = 76
	maxTailRatio       = 0.75
	maxExtraShare      = 0.05
	minLostCoverage    = 1.0
)

// Load of the measurements: 150 searches/s is the share of one VM at the design size.
const (
	searchRate   = 150
	warmSearches = 150
	tailSearches = 1500
	caseSearches = 450
	fleetShards  = 52
	extraPercent = 5
)

func init() {
	bench.Register("search_tail", searchTail)
	bench.Register("search_slow", searchSlow)
	bench.Register("search_replicas_lost", searchReplicasLost)
}

// searchTail measures 52-leaf searches at 150 searches/s. The median service time is 3 ms, and 1% of the requests are
// stragglers that take 20 times as long. Each shard has two replicas, in two of the three zones, and each target has
// two slots. The one-way delay is 4 ms between zones and 3 ms to the caller. The baseline is the same run with an extra
// load of 0%, which means without hedges.
func searchTail() ([]bench.Result, error) {
	plain := newFleet(fleetShards, 0, 0.01)
	plain.run(warmSearches, searchRate)
	base := plain.run(tailSearches, searchRate)
	hedged := newFleet(fleetShards, extraPercent, 0.01)
	hedged.run(warmSearches, searchRate)
	got := hedged.run(tailSearches, searchRate)
	p99, basep99 := got.quantile(0.99), base.quantile(0.99)
	return []bench.Result{
		{Name: "search_p99", Value: p99.Seconds() * 1000, Unit: "ms", Bound: maxSearchP99Millis, LowerIsBetter: true},
		{Name: "search_p50", Value: got.quantile(0.5).Seconds() * 1000, Unit: "ms", Informative: true},
		{Name: "search_p99_without_hedges", Value: basep99.Seconds() * 1000, Unit: "ms", Informative: true},
		{Name: "search_p50_without_hedges", Value: base.quantile(0.5).Seconds() * 1000, Unit: "ms", Informative: true},
		{Name: "search_p99_over_without_hedges", Value: float64(p99) / float64(basep99), Unit: "ratio", Bound: maxTailRatio, LowerIsBetter: true},
		{Name: "search_extra_load_calm", Value: hedged.extraShare(), Unit: "ratio", Bound: maxExtraShare, LowerIsBetter: true},
		{Name: "search_coverage_calm", Value: got.coverage(), Unit: "ratio", Informative: true},
	}, nil
}

// searchSlow makes every leaf target ten times as slow after one normal second. It then searches at a third of the
// rate, which the slots can still serve.
func searchSlow() ([]bench.Result, error) {
	f := newFleet(fleetShards, extraPercent, 0.01)
	f.run(warmSearches, searchRate)
	f.slowdown.Store(10)
	slow := f.run(caseSearches/3, searchRate/3)
	return []bench.Result{
		{Name: "search_extra_load_slow", Value: f.extraShare(), Unit: "ratio", Bound: maxExtraShare, LowerIsBetter: true},
		{Name: "search_coverage_slow", Value: slow.coverage(), Unit: "ratio", Informative: true},
	}, nil
}

// searchReplicasLost loses one replica of every shard at the same time, once for each kind of loss, after three normal
// seconds in which the budget for extra sends fills. All searches after the loss count, including the first ones.
func searchReplicasLost() ([]bench.Result, error) {
	var results []bench.Result
	for _, how := range []loss{lossRefused, lossReset, lossBlackHole} {
		f := newFleet(fleetShards, extraPercent, 0.01)
		f.run(caseSearches, searchRate)
		for i, shard := range f.searcher.Catalog.Current().InForce.Bundle.Services[0].Snapshots[0].Shards {
			f.lostTargets.Store(shard.Replicas[i%len(shard.Replicas)], how)
		}
		got := f.run(caseSearches, searchRate)
		name := "search_%s_replicas_" + string(how)
		results = append(results,
			bench.Result{Name: fmt.Sprintf(name, "coverage"), Value: got.coverage(), Unit: "ratio", Bound: minLostCoverage},
			bench.Result{Name: fmt.Sprintf(name, "p99"), Value: got.quantile(0.99).Seconds() * 1000, Unit: "ms", Informative: true},
			bench.Result{Name: fmt.Sprintf(name, "extra_load"), Value: f.extraShare(), Unit: "ratio", Bound: maxExtraShare, LowerIsBetter: true})
	}
	return results, nil
}
