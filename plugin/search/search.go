// Package search is the plug-in that provides the scatter-gather searcher.
package search

import (
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/hedge"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/search"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/snapshot"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "search", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(catalog.NewCache, snapshot.NewHoldings, hedge.NewServices, newTracker, newSearcher),
			fx.Provide(func(c *catalog.Cache) catalog.Source { return c }),
			fx.Invoke(pruneOnChange, register),
		)
	}})
}

func newTracker(s *settings.Settings, clock clockwork.Clock, source catalog.Source, holdings *snapshot.Holdings) *replica.Tracker {
	return replica.New(ident.Zone(s.Zone), clock, source, holdings)
}

type params struct {
	fx.In
	Clock     clockwork.Clock
	Catalog   catalog.Source
	Holdings  *snapshot.Holdings
	Replicas  *replica.Tracker
	Hedge     *hedge.Services
	Sender    search.LeafSender
	Decisions search.DecisionLog
	// Guard is nil if the build does not include the quarantine plug-in.
	Guard search.Guard `optional:"true"`
}

func newSearcher(p params) *search.Searcher {
	return &search.Searcher{Clock: p.Clock, Catalog: p.Catalog, Holdings: p.Holdings, Replicas: p.Replicas, Hedge: p.Hedge,
		Sender: p.Sender, Decisions: p.Decisions, Guard: p.Guard}
}

// pruneOnChange drops the state of targets and services that a new bundle no longer has. Getting the current catalog
// also indexes the bundle, ahead of the first search.
func pruneOnChange(store *config.Store, source catalog.Source, holdings *snapshot.Holdings, replicas *replica.Tracker, hedges *hedge.Services) {
	store.OnChange(func(*config.InForce) {
		current := source.Current()
		holdings.Prune(current.HasTarget)
		replicas.Prune(current.HasTarget)
		hedges.Prune(func(id ident.ServiceID) bool {
			_, ok := current.Service(id)
			return ok
		})
	})
}
