package search

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"teaselbank.example/teaselbank/search"
)

// register exposes the counters of searches on the meter.
func register(s *search.Searcher, meter metric.Meter) error {
	stats := &s.Stats
	return errors.Join(
		counter(meter, "search_outcomes", "Searches by outcome.", "outcome", search.Outcomes, stats.Searches),
		counter(meter, "search_sends", "Leaf requests by kind of send.", "kind", search.SendKinds, stats.Sends),
		counter(meter, "search_results", "Results of leaf requests by how they counted.", "class", search.ResultClasses, stats.Results),
		counter(meter, "search_unsent", "Leaf requests that were not sent, or sent elsewhere, by cause.", "cause", causes, func(c cause) uint64 {
			switch c {
			case causeRerouted:
				return stats.Rerouted.Load()
			case causeExpired:
				return stats.Expired.Load()
			case causeNoToken:
				return stats.DeniedNoToken.Load()
			default:
				return stats.DeniedAllSlow.Load()
			}
		}),
	)
}

// cause is the reason why a leaf request was not sent, or was sent to another target.
type cause string

const (
	causeRerouted cause = "rerouted"
	causeExpired  cause = "expired"
	causeNoToken  cause = "no_token"
	causeAllSlow  cause = "all_slow"
)

var causes = []cause{causeRerouted, causeExpired, causeNoToken, causeAllSlow}

func counter[T ~string](meter metric.Meter, name, description, key string, values []T, read func(T) uint64) error {
	observe := func(_ context.Context, o metric.Int64Observer) error {
		for _, v := range values {
			o.Observe(int64(read(v)), metric.WithAttributes(attribute.String(key, string(v))))
		}
		return nil
	}
	if _, err := meter.Int64ObservableCounter(name, metric.WithDescription(description), metric.WithInt64Callback(observe)); err != nil {
		return fmt.Errorf("register counter %s: %w", name, err)
	}
	return nil
}
