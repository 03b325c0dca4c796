// Package quarantine is the plug-in that guards targets against requests that crash them.
package quarantine

import (
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/quarantine"
	"teaselbank.example/teaselbank/relay"
	"teaselbank.example/teaselbank/search"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "quarantine", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newKeeper),
			fx.Provide(func(k *quarantine.Keeper) search.Guard { return k }),
			fx.Invoke(func(lc fx.Lifecycle, server *relay.Server, k *quarantine.Keeper) {
				server.Canaries = k
				lc.Append(fx.Hook{OnStop: k.Close})
			}),
		)
	}})
}

func newKeeper(clock clockwork.Clock, viewer membership.Viewer, sender search.LeafSender, peers *relay.Peers) *quarantine.Keeper {
	return quarantine.New(clock, viewer, sender, peers)
}
