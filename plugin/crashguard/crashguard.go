// Package crashguard is the plug-in that keeps requests which crash targets from reaching many of them.
package crashguard

import (
	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/crashguard"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
	"teaselbank.example/teaselbank/plugin/peerapi"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "crashguard", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(crashguard.NewTable, newExchange),
			fx.Provide(func(e *crashguard.Coordinator) forward.CrashGuard { return e }),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.Group))),
		)
	}})
}

func newExchange(table *crashguard.Table, viewer membership.Viewer, logger *log.Logger) *crashguard.Coordinator {
	return crashguard.New(table, viewer, wire.NewHTTPClient(), logger.With("component", "crashguard"))
}

func newHandler(e *crashguard.Coordinator) peerapi.Handler {
	path, h := peerv1connect.NewCrashServiceHandler(crashguard.Server{Coordinator: e})
	return peerapi.Handler{Path: path, Handler: h}
}
