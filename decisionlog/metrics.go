package decisionlog

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// Register exposes the log's counters on the meter.
func (l *Log) Register(meter metric.Meter) error {
	counters := []struct {
		name, description string
		value             func() uint64
	}{
		{"decision_lines_written", "Decision lines that were written.", l.Written},
		{"decision_lines_dropped", "Decision lines that did not fit into the queue.", l.Dropped},
		{"decision_lines_sampled_out", "Decision lines left out above the rate.", l.SampledOut},
	}
	for _, c := range counters {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(c.value()))
			return nil
		}
		if _, err := meter.Int64ObservableCounter(c.name, metric.WithDescription(c.description), metric.WithInt64Callback(observe)); err != nil {
			return fmt.Errorf("counter %s: %w", c.name, err)
		}
	}
	return nil
}
