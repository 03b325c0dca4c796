package main

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/decisionlog"
)

// costShards are the fan-outs whose cost is measured; 52 is that of the design size.
var costShards = []int{13, 26, 52, 104}

// maxCostGrowth bounds the cost of a leaf at 104 leaves over that at 13: a search must not grow faster than its
// fan-out by more than scheduling noise.
const maxCostGrowth = 1.5

func init() {
	register("search_cost", searchCost)
	register("search_decision_line", searchDecisionLine)
}

// searchCost measures the processor time and the allocations of a search whose leaves answer at once. Searches run
// one at a time on one processor, so elapsed time is processor time as long as the machine is not overloaded.
func searchCost() ([]Result, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var results []Result
	perLeaf := map[int]float64{}
	for _, shards := range costShards {
		f := newFleet(shards, extraPercent, 0)
		f.instant = true
		for range warmSearches {
			f.search()
		}
		r := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.search()
			}
		})
		perLeaf[shards] = float64(r.NsPerOp()) / float64(shards)
		results = append(results,
			Result{Name: fmt.Sprintf("search_cost_%d_leaves", shards), Value: float64(r.NsPerOp()) / 1000, Unit: "us", Informative: true},
			Result{Name: fmt.Sprintf("search_allocs_%d_leaves", shards), Value: float64(r.AllocsPerOp()), Unit: "allocs", Informative: true},
			Result{Name: fmt.Sprintf("search_bytes_%d_leaves", shards), Value: float64(r.AllocedBytesPerOp()), Unit: "B", Informative: true})
	}
	growth := perLeaf[costShards[len(costShards)-1]] / perLeaf[costShards[0]]
	return append(results, Result{Name: "search_cost_per_leaf_104_over_13", Value: growth, Unit: "ratio", Bound: maxCostGrowth, Less: true}), nil
}

// countedLines counts lines and their bytes.
type countedLines struct{ lines, bytes int }

// Write counts one line.
func (c *countedLines) Write(p []byte) (int, error) {
	c.lines++
	c.bytes += len(p)
	return len(p), nil
}

// lineSearches is how many searches the length of a decision line is taken from; no line of them is sampled out.
const lineSearches = 200

// searchDecisionLine measures the length of the one decision line of a 52-leaf search.
func searchDecisionLine() ([]Result, error) {
	f := newFleet(fleetShards, extraPercent, 0)
	f.instant = true
	var out countedLines
	queue := decisionlog.New(log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter}), lineSearches, decisionlog.WithRate(lineSearches))
	f.searcher.Decisions = queue
	for range lineSearches {
		f.search()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	queue.Run(ctx)
	if out.lines != lineSearches {
		return nil, fmt.Errorf("%d lines written, want %d", out.lines, lineSearches)
	}
	return []Result{{Name: "search_decision_line", Value: float64(out.bytes) / float64(out.lines), Unit: "B", Informative: true}}, nil
}
