// Package configuration is the plug-in that keeps the bundle in force: it watches the platform and offers what it
// reads to the store.
package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/platformclient"
	"teaselbank.example/teaselbank/settings"
)

// Timing of the platform watch.
const (
	watchWait  = 30 * time.Second
	retryDelay = time.Second
)

func init() {
	kernel.Register(kernel.Plugin{Name: "configuration", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newStore, newPlatform),
			fx.Provide(func(s *config.Store) config.Source { return s }),
			fx.Invoke(watch),
		)
	}})
}

func newStore(clock clockwork.Clock, s *settings.Settings) *config.Store {
	return config.NewStore(clock, s.Root)
}

func newPlatform(s *settings.Settings) *platformclient.Client {
	return platformclient.New(s.PlatformURL)
}

func watch(lc fx.Lifecycle, store *config.Store, platform *platformclient.Client, logger *log.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	var watcher sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			watcher.Go(func() { watchPlatform(ctx, store, platform, logger.With("component", "config")) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			watcher.Wait()
			return nil
		},
	})
}

func watchPlatform(ctx context.Context, store *config.Store, platform *platformclient.Client, logger *log.Logger) {
	for ctx.Err() == nil {
		var have uint64
		if cur := store.Current(); cur != nil {
			have = cur.Bundle.Version
		}
		raw, err := platform.Bundle(ctx, have, watchWait)
		if err != nil && ctx.Err() == nil {
			logger.Warn("platform_read_failed", "err", err)
		}
		if raw != nil {
			logDecision(logger, store.Offer(raw))
			continue
		}
		if err != nil {
			sleep(ctx, retryDelay)
		}
	}
}

func logDecision(logger *log.Logger, d config.Decision) {
	fields := []any{"verdict", d.Verdict, "reason", d.Reason}
	if d.InForce != nil {
		fields = append(fields, "version", d.InForce.Bundle.Version, "digest", d.InForce.Digest.Short(),
			"author", d.InForce.Bundle.Author, "signers", d.InForce.Signers)
	}
	if d.Verdict == config.Accepted {
		logger.Info("bundle_offered", fields...)
		return
	}
	logger.Error("bundle_offered", fields...)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
