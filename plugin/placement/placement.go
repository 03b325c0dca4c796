// Package placement is the plug-in that keeps the placement plan, which assigns targets to VMs as their owners, up to
// date with the bundle in force and the membership view. It also keeps this VM's gates up to date, which schedule the
// slots of the targets that this VM owns.
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
	pluginmembership "teaselbank.example/teaselbank/plugin/membership"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/relay"
	"teaselbank.example/teaselbank/settings"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "placement", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newPolicy, newRunnerFactory, newGates, newPlanner, gate.NewServer),
			fx.Provide(func(c *http.Client) gate.HandoverClient { return gate.NewClient(c) }),
			fx.Provide(func(p *Planner) relay.Planner { return p }),
			fx.Provide(func(g *gate.Set) relay.LocalRunner { return g }),
			fx.Provide(fx.Annotate(newStartupCheck, fx.ResultTags(lifecycle.ReadinessGroup))),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.HandlerGroup))),
			fx.Invoke(func(p *Planner, store *config.Store, detector *pluginmembership.Detector) {
				store.OnChange(p.onBundle)
				detector.OnChange(func(*membership.View) { p.rebuild() })
				detector.OnPause(p.onPause)
			}),
		)
	}})
}

func newPolicy(viewer membership.Viewer) *gate.Policy { return gate.NewPolicy(viewer) }

func newGates(lc fx.Lifecycle, s *settings.Settings, clock clockwork.Clock, policy *gate.Policy, runners *runnerFactory, handovers gate.HandoverClient, meter metric.Meter) (*gate.Set, error) {
	set := gate.NewSet(gate.Options{Self: ident.VMID(s.VMID), Clock: clock, Rules: policy, Runners: runners, HandoverClient: handovers})
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

// Planner rebuilds the plan when the bundle or the view changes and publishes it atomically.
type Planner struct {
	source config.Source
	viewer membership.Viewer
	gates  *gate.Set
	policy *gate.Policy
	logger *log.Logger
	plan   atomic.Pointer[placement.Plan]
	mu     sync.Mutex
}

func newPlanner(source config.Source, viewer membership.Viewer, gates *gate.Set, policy *gate.Policy, logger *log.Logger) *Planner {
	return &Planner{source: source, viewer: viewer, gates: gates, policy: policy, logger: logger.With("component", "placement")}
}

// Plan returns the current plan, or nil before there is one. It takes no lock.
func (p *Planner) Plan() *placement.Plan { return p.plan.Load() }

// onBundle applies the policy of a new bundle before it rebuilds the plan, which takes longer.
func (p *Planner) onBundle(current *config.InForce) {
	p.policy.Update(current.Bundle, current.Since)
	p.rebuild()
}

// onPause takes this VM's targets over again after a pause of this process that was long enough for other VMs to have
// become their owners.
func (p *Planner) onPause(paused time.Duration) {
	if paused < membership.DeadAfterPause {
		return
	}
	p.logger.Warn("reacquire", "paused", paused)
	p.gates.Reacquire()
}

func (p *Planner) rebuild() {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.source.Current()
	if current == nil {
		return
	}
	view := p.viewer.View()
	plan := placement.NewPlan(view, current.Bundle)
	p.plan.Store(plan)
	p.gates.Apply(plan)
	p.logger.Info("plan", "config_version", plan.ConfigVersion, "generation", plan.Generation,
		"members", len(view.Members), "owned_targets", p.gates.Owned())
}
