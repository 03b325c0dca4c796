// Package crashguard is the plug-in that stops requests that crash targets from reaching many of them.
package crashguard

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/crashguard"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
	"teaselbank.example/teaselbank/plugin/peerapi"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "crashguard", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(crashguard.NewTable, newCoordinator),
			fx.Provide(func(c *crashguard.Coordinator) forward.CrashGuard { return c }),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.HandlerGroup))),
			fx.Provide(fx.Annotate(func(c *crashguard.Coordinator) lifecycle.ReadyCheck { return c }, fx.ResultTags(lifecycle.ReadinessGroup))),
			fx.Invoke(learn),
		)
	}})
}

func newCoordinator(table *crashguard.Table, viewer membership.Viewer, logger *log.Logger) *crashguard.Coordinator {
	return crashguard.New(table, viewer, wire.NewHTTPClient(), logger.With("component", "crashguard"))
}

// learn takes over the refusals of peers as soon as this VM has started.
func learn(lc fx.Lifecycle, c *crashguard.Coordinator) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			running.Go(func() { c.Learn(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return nil
		},
	})
}

func newHandler(c *crashguard.Coordinator) peerapi.Handler {
	path, h := peerv1connect.NewCrashServiceHandler(crashguard.Server{Coordinator: c})
	return peerapi.Handler{Path: path, Handler: h}
}
