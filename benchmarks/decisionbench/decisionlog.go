package decisionbench

import (
	"time"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/decisionlog"
)

// decisionRecords is how many records each side of the comparison handles.
const decisionRecords = 200_000

// maxDecisionRatio bounds the cost of a queued record over a line formatted on the request path.
const maxDecisionRatio = 0.25

func init() { bench.Register("decision_log", decisionLogCost) }

// decisionLogCost compares queueing a record with formatting its line on the spot.
func decisionLogCost() ([]bench.Result, error) {
	logger := log.NewWithOptions(countingWriter{}, log.Options{Formatter: log.LogfmtFormatter})
	queue := decisionlog.New(logger, decisionRecords)
	queued := perRecord(func(i int) { queue.Add("search", "request", i, "service", "dispecerat", "answered", 52) })
	inline := perRecord(func(i int) { logger.Info("search", "request", i, "service", "dispecerat", "answered", 52) })
	return []bench.Result{
		{Name: "decision_record_cost", Value: float64(queued.Nanoseconds()), Unit: "ns", Informative: true},
		{Name: "decision_record_over_inline_line", Value: float64(queued) / float64(inline), Unit: "ratio", Bound: maxDecisionRatio, Less: true},
	}, nil
}

// countingWriter accepts lines; io.Discard would make the logger skip the formatting that is measured.
type countingWriter struct{}

// Write accepts a line.
func (countingWriter) Write(p []byte) (int, error) { return len(p), nil }

func perRecord(f func(int)) time.Duration {
	start := time.Now()
	for i := range decisionRecords {
		f(i)
	}
	return time.Since(start) / decisionRecords
}
