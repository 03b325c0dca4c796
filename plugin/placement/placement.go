// Package placement is the plug-in that keeps the placement plan and this VM's gates in step with the bundle in
// force and the view.
package placement

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/gate"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
	viewplugin "teaselbank.example/teaselbank/plugin/membership"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/relay"
	"teaselbank.example/teaselbank/settings"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "placement", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newPolicy, newTargets, newGates, newKeeper, gate.NewServer),
			fx.Provide(func(c *http.Client) gate.HandoverClient { return gate.NewClient(c) }),
			fx.Provide(func(k *Keeper) relay.Planner { return k }),
			fx.Provide(func(g *gate.Set) relay.LocalRunner { return g }),
			fx.Provide(fx.Annotate(newStartup, fx.ResultTags(lifecycle.ReadinessGroup))),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.Group))),
			fx.Invoke(func(k *Keeper, store *config.Store, table *viewplugin.Table) {
				store.OnChange(k.follow)
				table.OnChange(func(*membership.View) { k.rebuild() })
				table.OnPause(k.woke)
			}),
		)
	}})
}

func newPolicy(viewer membership.Viewer) *gate.Policy { return gate.NewPolicy(viewer) }

func newGates(lc fx.Lifecycle, s *settings.Settings, clock clockwork.Clock, policy *gate.Policy, targets *targets, previous gate.HandoverClient, meter metric.Meter) (*gate.Set, error) {
	set := gate.NewSet(gate.Options{Self: ident.VMID(s.VMID), Clock: clock, Rules: policy, Runners: targets, HandoverClient: previous})
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		set.Close()
		return nil
	}})
	return set, set.RegisterMetrics(meter)
}

func newHandler(s *gate.Server) peerapi.Handler {
	path, h := peerv1connect.NewGateServiceHandler(s)
	return peerapi.Handler{Path: path, Handler: h}
}

// Keeper rebuilds the plan when the bundle or the view changes and publishes it atomically.
type Keeper struct {
	source config.Source
	viewer membership.Viewer
	gates  *gate.Set
	policy *gate.Policy
	logger *log.Logger
	plan   atomic.Pointer[placement.Plan]
	mu     sync.Mutex
}

func newKeeper(source config.Source, viewer membership.Viewer, gates *gate.Set, policy *gate.Policy, logger *log.Logger) *Keeper {
	return &Keeper{source: source, viewer: viewer, gates: gates, policy: policy, logger: logger.With("component", "placement")}
}

// Plan returns the current plan without taking a lock, or nil.
func (k *Keeper) Plan() *placement.Plan { return k.plan.Load() }

// follow puts the rules of a new bundle in force before the plan is rebuilt, which takes longer.
func (k *Keeper) follow(force *config.InForce) {
	k.policy.Update(force.Bundle, force.Since)
	k.rebuild()
}

// woke takes this VM's targets over again after a pause in which other VMs may have become their owners.
func (k *Keeper) woke(paused time.Duration) {
	if paused < membership.ReplacedAfter {
		return
	}
	k.logger.Warn("reacquire", "paused", paused)
	k.gates.Reacquire()
}

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
