// Package configuration is the plug-in that keeps the bundle in force and spreads it: it joins the config store, the
// platform and the peers.
package configuration

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/distribution"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/platformclient"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/settings"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "configuration", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newStore, newPlatform, newDistributor, distribution.NewServer),
			fx.Provide(func(s *config.Store) config.Source { return s }),
			fx.Provide(func(d *distribution.Distributor) membership.ConfigGossip { return d }),
			fx.Provide(fx.Annotate(func(d *distribution.Distributor) lifecycle.ReadyCheck { return d }, fx.ResultTags(lifecycle.ReadinessGroup))),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.Group))),
			fx.Invoke(run, observe),
		)
	}})
}

func newStore(clock clockwork.Clock, s *settings.Settings) *config.Store {
	return config.NewStore(clock, s.Root)
}

func newPlatform(s *settings.Settings) *platformclient.Client {
	return platformclient.New(s.PlatformURL)
}

func newDistributor(clock clockwork.Clock, s *settings.Settings, store *config.Store, viewer membership.Viewer,
	platform *platformclient.Client, client *http.Client, logger *log.Logger) *distribution.Distributor {
	return distribution.New(distribution.Options{Clock: clock, Store: store, Viewer: viewer, Platform: platform,
		Transport: distribution.NewClient(client), PeerGrace: s.PeerGrace, Logger: logger.With("component", "config")})
}

func newHandler(s *distribution.Server) peerapi.Handler {
	path, handler := s.Handler()
	return peerapi.Handler{Path: path, Handler: handler}
}

func run(lc fx.Lifecycle, d *distribution.Distributor) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { d.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}

// observe exposes the counters of the distributor and of the store.
func observe(meter metric.Meter, store *config.Store, d *distribution.Distributor) error {
	stats := d.Stats()
	for _, c := range []struct {
		name string
		load func() uint64
	}{
		{"config_conflicts", store.Conflicts},
		{"config_pushes", stats.PushesSent.Load},
		{"config_push_errors", stats.PushErrors.Load},
		{"config_need_whole", stats.NeedWhole.Load},
		{"config_fetches", stats.FetchesSent.Load},
		{"config_fetch_errors", stats.FetchErrors.Load},
		{"config_whole_bytes", stats.WholeBytes.Load},
		{"config_delta_bytes", stats.DeltaBytes.Load},
		{"config_platform_reads", stats.PlatformReads.Load},
		{"config_platform_errors", stats.PlatformFails.Load},
		{"config_refused", stats.Refused.Load},
	} {
		_, err := meter.Int64ObservableCounter(c.name, metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(c.load()))
			return nil
		}))
		if err != nil {
			return fmt.Errorf("metric %s: %w", c.name, err)
		}
	}
	_, err := meter.Int64ObservableGauge("config_conflict", metric.WithDescription("1 while two contents of the version in force are known"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			if store.Alarm() != nil {
				o.Observe(1)
				return nil
			}
			o.Observe(0)
			return nil
		}))
	if err != nil {
		return fmt.Errorf("metric config_conflict: %w", err)
	}
	return nil
}
