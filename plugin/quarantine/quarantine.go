// Package quarantine is the plug-in that guards targets against requests that crash them.
package quarantine

import (
	"errors"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/observe"
	"teaselbank.example/teaselbank/quarantine"
	"teaselbank.example/teaselbank/relay"
	"teaselbank.example/teaselbank/search"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "quarantine", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newGuard),
			fx.Provide(func(g *quarantine.Guard) search.Guard { return g }),
			fx.Invoke(func(lc fx.Lifecycle, server *relay.Server, g *quarantine.Guard) {
				server.Canaries = g
				lc.Append(fx.Hook{OnStop: g.Close})
			}),
			fx.Invoke(register),
		)
	}})
}

func newGuard(clock clockwork.Clock, viewer membership.Viewer, sender search.LeafSender, peers *relay.Peers) *quarantine.Guard {
	return quarantine.New(clock, viewer, sender, peers)
}

func register(g *quarantine.Guard, meter metric.Meter) error {
	return errors.Join(
		observe.Counters(meter,
			observe.Instrument{Name: "quarantine_canaries", Description: "canaries begun as a home", Read: func() int64 {
				begun, _ := g.Canaries()
				return begun
			}},
			observe.Instrument{Name: "quarantine_hedged_canaries", Description: "canaries sent to a second replica because the first was slow",
				Read: func() int64 {
					_, hedged := g.Canaries()
					return hedged
				}},
		),
		observe.Gauges(meter, observe.Instrument{Name: "quarantine_suspects", Description: "fingerprints that are quarantined or without a verdict",
			Read: func() int64 { return int64(g.Suspects()) }}),
	)
}
