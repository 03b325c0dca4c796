package forwarding

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/observe"
)

// latencyBounds are the upper bounds of the buckets of the request latency histogram, in milliseconds.
var latencyBounds = []float64{5, 10, 20, 30, 50, 75, 100, 150, 200, 300, 500, 800, 1200, 2000, 5000}

// instruments records the metrics of finished requests.
type instruments struct {
	latency metric.Float64Histogram
	extras  metric.Int64Counter
	missing metric.Int64Counter
	limits  metric.Int64Counter
	// departures counts the targets that said that they are leaving.
	departures metric.Int64Counter
	// rests counts the times for which targets wanted no requests.
	rests metric.Int64Counter
}

func newInstruments(meter metric.Meter) (*instruments, error) {
	latency, errLatency := meter.Float64Histogram("request_latency_milliseconds", metric.WithDescription("time of a request in this VM, by route and status"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	extras, errExtras := meter.Int64Counter("request_extra_sends", metric.WithDescription("sends beyond the first of each request and shard, by route"))
	missing, errMissing := meter.Int64Counter("request_missing_shards", metric.WithDescription("shards that answers of status 200 left out, by route"))
	limits, errLimits := meter.Int64Counter("target_limit_changes", metric.WithDescription("times that a target stated another limit than before, or none"))
	departures, errDepartures := meter.Int64Counter("target_departures", metric.WithDescription("targets that said in a reply that they are leaving"))
	rests, errRests := meter.Int64Counter("target_rests", metric.WithDescription("times for which a target wanted no requests from this VM"))
	return &instruments{latency, extras, missing, limits, departures, rests}, errors.Join(errLatency, errExtras, errMissing, errLimits, errDepartures, errRests)
}

func (i *instruments) observe(sum *forward.Summary) {
	ctx := context.Background()
	route := metric.WithAttributes(attribute.String("route", sum.Route))
	i.latency.Record(ctx, float64(sum.Took.Microseconds())/1000, metric.WithAttributes(attribute.String("route", sum.Route), attribute.Int("status", sum.Status)))
	if sum.ExtraSends > 0 {
		i.extras.Add(ctx, int64(sum.ExtraSends), route)
	}
	if missing := sum.Shards - sum.Covered; sum.Status == 200 && missing > 0 && sum.Shards > 1 {
		i.missing.Add(ctx, int64(missing), route)
	}
}

func registerConnections(service *forward.Service, meter metric.Meter) error {
	counters := []observe.Instrument{{Name: "target_connections_opened", Description: "connections opened to targets",
		Read: observe.Uint64(service.Connections.Opened)},
		{Name: "sends_withheld_by_limit", Description: "times that a target was passed over because its limit or its rest allows this VM no more requests",
			Read: observe.Uint64(service.Withheld)}}
	for _, reason := range leafconn.CloseReasons() {
		counters = append(counters, observe.Instrument{Name: "target_connections_closed_" + reason.String(), Description: "connections to targets that ended: " + reason.String(),
			Read: observe.Uint64(func() uint64 { return service.Connections.Closed(reason) })})
	}
	return errors.Join(observe.Counters(meter, counters...), observe.Gauges(meter, observe.Instrument{Name: "requests_running",
		Description: "callers' requests that run", Read: service.Running}))
}
