package decisionlog

import (
	"go.opentelemetry.io/otel/metric"

	"teaselbank.example/teaselbank/observe"
)

// Register registers the log's counters with the meter.
func (l *Log) Register(meter metric.Meter) error {
	return observe.Counters(meter,
		observe.Instrument{Name: "decision_lines_written", Description: "decision lines that were written", Read: observe.Uint64(l.Written)},
		observe.Instrument{Name: "decision_lines_dropped", Description: "decision lines that did not fit into the queue", Read: observe.Uint64(l.Dropped)},
		observe.Instrument{Name: "decision_lines_sampled_out", Description: "decision lines left out above the rate", Read: observe.Uint64(l.SampledOut)},
	)
}
