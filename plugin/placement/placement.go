// Package placement is the plug-in that keeps the placement plan and this VM's gates in step with the bundle in
// force and the view.
package placement

import (
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/gate"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
	viewplugin "teaselbank.example/teaselbank/plugin/membership"
	"teaselbank.example/teaselbank/relay"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/targetclient"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "placement", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newTargetClient, newGates, newKeeper),
			fx.Provide(func(k *Keeper) relay.Planner { return k }),
			fx.Provide(func(g *gate.Set) relay.Local { return g }),
			fx.Invoke(func(k *Keeper, store *config.Store, table *viewplugin.Table) {
				store.OnChange(func(*config.InForce) { k.rebuild() })
				table.OnChange(func(*membership.View) { k.rebuild() })
			}),
		)
	}})
}

func newTargetClient() *targetclient.Client { return targetclient.New(targetclient.Options{}) }

func newGates(s *settings.Settings, c *targetclient.Client) *gate.Set {
	return gate.NewSet(ident.VMID(s.VMID), c)
}

// Keeper rebuilds the plan when the bundle or the view changes and publishes it atomically.
type Keeper struct {
	source config.Source
	viewer membership.Viewer
	gates  *gate.Set
	logger *log.Logger
	plan   atomic.Pointer[placement.Plan]
	mu     sync.Mutex
}

func newKeeper(source config.Source, viewer membership.Viewer, gates *gate.Set, logger *log.Logger) *Keeper {
	return &Keeper{source: source, viewer: viewer, gates: gates, logger: logger.With("component", "placement")}
}

// Plan returns the current plan without taking a lock, or nil.
func (k *Keeper) Plan() *placement.Plan { return k.plan.Load() }

func (k *Keeper) rebuild() {
	k.mu.Lock()
	defer k.mu.Unlock()
	force := k.source.Current()
	if force == nil {
		return
	}
	view := k.viewer.View()
	plan := placement.NewPlan(view, force.Bundle)
	k.plan.Store(plan)
	k.gates.Apply(plan)
	k.logger.Info("plan", "config_version", plan.ConfigVersion, "generation", plan.Generation,
		"members", len(view.Members), "owned_targets", k.gates.Owned())
}
