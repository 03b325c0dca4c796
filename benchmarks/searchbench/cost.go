package searchbench

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/decisionlog"
)

// costShards are the measured fan-outs in leaves per search; 52 is the fan-out at the design size.
var costShards = []int{13, 26, 52, 104}

// maxCostGrowth bounds the cost per leaf of a search over 104 leaves, relative to one over 13: except for scheduling
// noise, the cost of a search must not grow faster than its fan-out.
const maxCostGrowth = 1.5

func init() {
	bench.Register("search_cost", searchCost)
	bench.Register("search_decision_line", searchDecisionLine)
}

// Numbers of measurement rounds, and of searches for each fan-out size in a round. The fan-out sizes are measured
// alternately, so that other load on the machine affects them equally. The lowest cost of each size is reported, which
// limits the effect of that load.
const (
	costRounds   = 7
	costSearches = 300
)

// cost is the mean cost of one search: CPU time, allocations and allocated bytes.
type cost struct {
	cpu    time.Duration
	allocs float64
	bytes  float64
}

// searchCost measures the CPU time and the allocations of a search whose leaf targets reply immediately, with
// GOMAXPROCS set to 1. The CPU time is that of the process, so it includes garbage collection but not waiting.
func searchCost() ([]bench.Result, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	fleets, costs := make([]*fleet, len(costShards)), make([]cost, len(costShards))
	for i, shards := range costShards {
		fleets[i] = newFleet(shards, extraPercent, 0)
		fleets[i].instant = true
	}
	for range costRounds {
		for i, f := range fleets {
			c, err := f.cost()
			if err != nil {
				return nil, err
			}
			if costs[i].cpu == 0 || c.cpu < costs[i].cpu {
				costs[i] = c
			}
		}
	}
	var results []bench.Result
	perLeaf := make([]float64, len(costShards))
	for i, shards := range costShards {
		c := costs[i]
		perLeaf[i] = float64(c.cpu) / float64(shards)
		results = append(results,
			bench.Result{Name: fmt.Sprintf("search_cost_%d_leaves", shards), Value: float64(c.cpu.Nanoseconds()) / 1000, Unit: "us", Informative: true},
			bench.Result{Name: fmt.Sprintf("search_allocs_%d_leaves", shards), Value: c.allocs, Unit: "allocs", Informative: true},
			bench.Result{Name: fmt.Sprintf("search_bytes_%d_leaves", shards), Value: c.bytes, Unit: "B", Informative: true})
	}
	growth := perLeaf[len(perLeaf)-1] / perLeaf[0]
	return append(results, bench.Result{Name: "search_cost_per_leaf_104_over_13", Value: growth, Unit: "ratio", Bound: maxCostGrowth, LowerIsBetter: true}), nil
}

// cost runs costSearches searches and returns their mean cost.
func (f *fleet) cost() (cost, error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, err := cpuTime()
	if err != nil {
		return cost{}, err
	}
	for range costSearches {
		f.search()
	}
	end, err := cpuTime()
	runtime.ReadMemStats(&after)
	return cost{
		cpu:    (end - start) / costSearches,
		allocs: float64(after.Mallocs-before.Mallocs) / costSearches,
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / costSearches,
	}, err
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// countedLines counts the lines written to it, and their bytes.
type countedLines struct{ lines, bytes int }

// Write implements io.Writer; each call is one line.
func (c *countedLines) Write(p []byte) (int, error) {
	c.lines++
	c.bytes += len(p)
	return len(p), nil
}

// lineSearches is the number of searches over which the length of a decision line is averaged. The rate limit of the
// decision log is set so that all lines are written.
const lineSearches = 200

// searchDecisionLine measures the mean length of the decision line that a 52-leaf search writes.
func searchDecisionLine() ([]bench.Result, error) {
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
		return nil, fmt.Errorf("%d decision lines written, want %d", out.lines, lineSearches)
	}
	return []bench.Result{{Name: "search_decision_line", Value: float64(out.bytes) / float64(out.lines), Unit: "B", Informative: true}}, nil
}
