// Package configuration is the plug-in that maintains the bundle in force and distributes it: it connects the config
// store with the platform and with the peers.
package configuration

import (
	"context"
	"errors"
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
	"teaselbank.example/teaselbank/observe"
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
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.HandlerGroup))),
			fx.Invoke(run, register),
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
	var wg sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			wg.Go(func() { d.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			wg.Wait()
			return nil
		},
	})
}

// register exposes the counters of the distributor and of the store.
func register(meter metric.Meter, store *config.Store, d *distribution.Distributor) error {
	stats := d.Stats()
	counter := func(name, description string, read func() uint64) observe.Instrument {
		return observe.Instrument{Name: name, Description: description, Read: observe.Uint64(read)}
	}
	return errors.Join(
		observe.Counters(meter,
			counter("config_conflicts", "offers of the version in force with another content", store.Conflicts),
			counter("config_pushes", "bundles pushed to peers", stats.PushesSent.Load),
			counter("config_push_errors", "pushes without a reply", stats.PushErrors.Load),
			counter("config_need_whole", "deltas whose base the receiver did not have", stats.NeedWhole.Load),
			counter("config_fetches", "bundles asked of peers", stats.FetchesSent.Load),
			counter("config_fetch_errors", "fetches without a usable reply", stats.FetchErrors.Load),
			counter("config_whole_bytes", "bytes of bundles sent whole", stats.WholeBytes.Load),
			counter("config_delta_bytes", "bytes of bundles sent as deltas", stats.DeltaBytes.Load),
			counter("config_platform_reads", "reads of the platform", stats.PlatformReads.Load),
			counter("config_platform_errors", "failed reads of the platform", stats.PlatformErrors.Load),
			counter("config_refused", "offered bundles that did not verify", stats.Refused.Load),
		),
		observe.Gauges(meter, observe.Instrument{Name: "config_conflict", Description: "1 while two contents of the version in force are known",
			Read: observe.Bool(func() bool { return store.Alarm() != nil })}),
	)
}
