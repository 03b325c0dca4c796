// Package ticket is the plug-in that issues tickets and runs non-idempotent requests at most once.
package ticket

import (
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/observe"
	"teaselbank.example/teaselbank/relay"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/search"
	"teaselbank.example/teaselbank/ticket"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "ticket", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newIssuer, newRouter),
			fx.Invoke(func(lc fx.Lifecycle, server *relay.Server, issuer *ticket.Issuer) {
				server.Tickets = issuer
				lc.Append(fx.Hook{OnStop: issuer.Close})
			}),
			fx.Invoke(register),
		)
	}})
}

func newIssuer(clock clockwork.Clock, viewer membership.Viewer, source config.Source, sender search.LeafSender,
	current catalog.Source, replicas *replica.Tracker) *ticket.Issuer {
	return ticket.NewIssuer(ticket.Options{Clock: clock, Viewer: viewer, Source: source, Sender: sender,
		Chooser: &chooser{current, replicas}})
}

func newRouter(issuer *ticket.Issuer, viewer membership.Viewer, peers *relay.Peers) *ticket.Router {
	return &ticket.Router{Issuer: issuer, Viewer: viewer, Peer: peers}
}

func register(issuer *ticket.Issuer, meter metric.Meter) error {
	return observe.Gauges(meter,
		observe.Instrument{Name: "ticket_records", Description: "records in the table of outcomes", Read: func() int64 {
			count, _ := issuer.Records()
			return int64(count)
		}},
		observe.Instrument{Name: "ticket_record_bytes", Description: "bytes of the table of outcomes", Read: func() int64 {
			_, bytes := issuer.Records()
			return int64(bytes)
		}},
	)
}
