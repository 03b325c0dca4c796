// Package relay is the plug-in that routes leaf requests to the owners of their targets and serves the relay calls of
// other VMs.
package relay

import (
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/relay"
	"teaselbank.example/teaselbank/search"
	"teaselbank.example/teaselbank/settings"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "relay", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(relay.NewPeerHTTPClient, relay.NewPeers, newRouter, relay.NewServer),
			fx.Provide(func(r *relay.Router) search.LeafSender { return r }),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.HandlerGroup))),
		)
	}})
}

func newRouter(s *settings.Settings, p relay.Planner, v membership.Viewer, l relay.LocalRunner,
	peers *relay.Peers, meter metric.Meter, failures membership.FailureReporter) (*relay.Router, error) {
	return relay.NewRouter(relay.Options{Self: ident.VMID(s.VMID), Planner: p, Viewer: v, Local: l, Peers: peers, Meter: meter,
		Failures: failures})
}

func newHandler(s *relay.Server) peerapi.Handler {
	path, h := peerv1connect.NewRelayServiceHandler(s)
	return peerapi.Handler{Path: path, Handler: h}
}
