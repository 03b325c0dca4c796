package decisionbench

import (
	"time"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/decisionlog"
)

// decisionRecords is the number of records handled by each side of the comparison.
const decisionRecords = 200_000

// maxDecisionRatio is the maximum cost of queueing a record, relative to formatting its line on the request path.
const maxDecisionRatio = 0.25

func init() { bench.Register("decision_log", decisionLogCost) }

// decisionLogCost compares the time to queue a record with the time to format its line immediately.
func decisionLogCost() ([]bench.Result, error) {
	logger := log.NewWithOptions(discardWriter{}, log.Options{Formatter: log.LogfmtFormatter})
	queue := decisionlog.New(logger, decisionRecords)
	queued := perRecord(func(i int) { queue.Add("search", "request", i, "service", "dispecerat", "answered", 52) })
	inline := perRecord(func(i int) { logger.Info("search", "request", i, "service", "dispecerat", "answered", 52) })
	return []bench.Result{
		{Name: "decision_record_cost", Value: float64(queued.Nanoseconds()), Unit: "ns", Informative: true},
		{Name: "decision_record_over_inline_line", Value: float64(queued) / float64(inline), Unit: "ratio", Bound: maxDecisionRatio, LowerIsBetter: true},
	}, nil
}

// discardWriter discards lines. With io.Discard the logger would skip the formatting that is measured.
type discardWriter struct{}

// Write implements io.Writer.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// perRecord calls f for each record and returns the mean duration of a call.
func perRecord(f func(int)) time.Duration {
	start := time.Now()
	for i := range decisionRecords {
		f(i)
	}
	return time.Since(start) / decisionRecords
}
