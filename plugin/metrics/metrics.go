// Package metrics is the plug-in that provides OpenTelemetry instruments and exposes them in the Prometheus format.
package metrics

import (
	"context"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/kernel"
)

const meterName = "teaselbank"

func init() {
	kernel.Register(kernel.Plugin{Name: "metrics", Options: func() fx.Option {
		return fx.Provide(newRegistry, newMeter)
	}})
}

func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func newMeter(lc fx.Lifecycle, registry *prometheus.Registry) (metric.Meter, error) {
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("create Prometheus exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error { return provider.Shutdown(ctx) }})
	return provider.Meter(meterName), nil
}
