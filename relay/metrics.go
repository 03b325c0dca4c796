package relay

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"teaselbank.example/teaselbank/outcome"
)

// counters count the router's sends and their results. The attribute sets are created once because creating them costs
// more than incrementing a counter.
type counters struct {
	sends      metric.Int64Counter
	failures   metric.Int64Counter
	recomputes metric.Int64Counter

	directAttrs  metric.MeasurementOption
	relayedAttrs metric.MeasurementOption
}

func newCounters(meter metric.Meter) (*counters, error) {
	c := &counters{
		directAttrs:  metric.WithAttributeSet(attribute.NewSet(attribute.String("path", "direct"))),
		relayedAttrs: metric.WithAttributeSet(attribute.NewSet(attribute.String("path", "relayed"))),
	}
	var err error
	if c.sends, err = meter.Int64Counter("relay_leaf_sends", metric.WithDescription("leaf requests sent to owners, by path")); err != nil {
		return nil, fmt.Errorf("create relay counters: %w", err)
	}
	if c.failures, err = meter.Int64Counter("relay_leaf_failures", metric.WithDescription("leaf requests without an answer, by status and reason")); err != nil {
		return nil, fmt.Errorf("create relay counters: %w", err)
	}
	if c.recomputes, err = meter.Int64Counter("relay_owner_recomputes", metric.WithDescription("second sends after an owner said not_owner")); err != nil {
		return nil, fmt.Errorf("create relay counters: %w", err)
	}
	return c, nil
}

func (c *counters) countDirect(ctx context.Context) { c.sends.Add(ctx, 1, c.directAttrs) }

func (c *counters) countRelayed(ctx context.Context) { c.sends.Add(ctx, 1, c.relayedAttrs) }

func (c *counters) countRecompute(ctx context.Context) { c.recomputes.Add(ctx, 1) }

// countResult counts a result that is not LeafOK as a failure.
func (c *counters) countResult(ctx context.Context, res outcome.LeafResult) {
	if res.Status != outcome.LeafOK {
		c.failures.Add(ctx, 1, metric.WithAttributes(
			attribute.String("status", res.Status.String()), attribute.String("reason", string(res.Reason))))
	}
}

// countRefusal counts and returns the result of a request that was refused before it was sent.
func (c *counters) countRefusal(ctx context.Context, res outcome.LeafResult) outcome.LeafResult {
	c.countResult(ctx, res)
	return res
}
