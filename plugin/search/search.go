// Package search is the plug-in that provides the scatter-gather searcher.
package search

import (
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/search"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/snapshot"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "search", Options: func() fx.Option { return fx.Provide(newSearcher) }})
}

func newSearcher(s *settings.Settings, source config.Source, sender search.LeafSender, decisions search.Decisions) *search.Searcher {
	return &search.Searcher{
		Config: source, Pinner: snapshot.Oldest{}, Sender: sender, Decisions: decisions,
		Chooser: &replica.Chooser{Zone: ident.Zone(s.Zone), Config: source},
	}
}
