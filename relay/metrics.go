package relay

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"teaselbank.example/teaselbank/outcome"
)

// counters count the router's decisions. The attribute sets are made once, because they cost more than the count.
type counters struct {
	sends      metric.Int64Counter
	failures   metric.Int64Counter
	recomputes metric.Int64Counter

	directSet  metric.MeasurementOption
	relayedSet metric.MeasurementOption
}

func newCounters(meter metric.Meter) (*counters, error) {
	c := &counters{
		directSet:  metric.WithAttributeSet(attribute.NewSet(attribute.String("path", "direct"))),
		relayedSet: metric.WithAttributeSet(attribute.NewSet(attribute.String("path", "relayed"))),
	}
	var err error
	if c.sends, err = meter.Int64Counter("relay_leaf_sends", metric.WithDescription("leaf requests sent to owners, by path")); err != nil {
		return nil, fmt.Errorf("relay counters: %w", err)
	}
	if c.failures, err = meter.Int64Counter("relay_leaf_failures", metric.WithDescription("leaf requests without an answer, by status and reason")); err != nil {
		return nil, fmt.Errorf("relay counters: %w", err)
	}
	if c.recomputes, err = meter.Int64Counter("relay_owner_recomputes", metric.WithDescription("second sends after an owner said not_owner")); err != nil {
		return nil, fmt.Errorf("relay counters: %w", err)
	}
	return c, nil
}

func (c *counters) direct(ctx context.Context) { c.sends.Add(ctx, 1, c.directSet) }

func (c *counters) relayed(ctx context.Context) { c.sends.Add(ctx, 1, c.relayedSet) }

func (c *counters) recompute(ctx context.Context) { c.recomputes.Add(ctx, 1) }

func (c *counters) result(ctx context.Context, res outcome.LeafResult) {
	if res.Status != outcome.LeafOK {
		c.failures.Add(ctx, 1, metric.WithAttributes(
			attribute.String("status", res.Status.String()), attribute.String("reason", string(res.Reason))))
	}
}

func (c *counters) refuse(ctx context.Context, res outcome.LeafResult) outcome.LeafResult {
	c.result(ctx, res)
	return res
}
