package gate

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// Totals are sums over the gates of a Set.
type Totals struct {
	// Owned, Cold and TakingOver count targets.
	Owned      int
	Cold       int
	TakingOver int
	// Running and Waiting count requests.
	Running int
	Waiting int
}

// Totals returns the sums over the targets that this VM owns.
func (s *Set) Totals() Totals {
	var t Totals
	for _, g := range *s.gates.Load() {
		g.mu.Lock()
		t.Owned++
		t.Running += g.running
		t.Waiting += len(g.queue)
		if g.cold.cold {
			t.Cold++
		}
		if g.owner.stage != owned {
			t.TakingOver++
		}
		g.mu.Unlock()
	}
	return t
}

// RegisterMetrics registers gauges of the totals. They are computed when the metrics are read, so that they cost no
// time while requests run.
func (s *Set) RegisterMetrics(meter metric.Meter) error {
	gauges := []struct {
		name, description string
		value             func(Totals) int
	}{
		{"gate_targets_owned", "targets that this VM owns", func(t Totals) int { return t.Owned }},
		{"gate_targets_cold", "owned targets in cold start", func(t Totals) int { return t.Cold }},
		{"gate_targets_taking_over", "owned targets whose change of owner has not ended", func(t Totals) int { return t.TakingOver }},
		{"gate_requests_running", "leaf requests that hold a slot", func(t Totals) int { return t.Running }},
		{"gate_requests_waiting", "leaf requests that wait for a slot", func(t Totals) int { return t.Waiting }},
	}
	instruments := make([]metric.Observable, len(gauges))
	for i, g := range gauges {
		gauge, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description))
		if err != nil {
			return fmt.Errorf("create gate gauge: %w", err)
		}
		instruments[i] = gauge
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		totals := s.Totals()
		for i, g := range gauges {
			o.ObserveInt64(instruments[i].(metric.Int64Observable), int64(g.value(totals)))
		}
		return nil
	}, instruments...)
	if err != nil {
		return fmt.Errorf("register gate metrics callback: %w", err)
	}
	return nil
}
