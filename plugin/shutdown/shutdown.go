// Package shutdown is the plug-in that marks this VM ready once it can serve, and drains it before its listeners are
// closed.
package shutdown

import (
	"context"
	"errors"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/observe"
	"teaselbank.example/teaselbank/settings"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "shutdown", Options: func() fx.Option {
		return fx.Invoke(register, run)
	}})
}

// params are the dependencies of the plug-in.
type params struct {
	fx.In

	Lifecycle fx.Lifecycle
	State     *lifecycle.State
	Store     *config.Store
	Settings  *settings.Settings
	Clock     clockwork.Clock
	Leaver    lifecycle.Leaver
	Logger    *log.Logger
	Checks    []lifecycle.ReadyCheck `group:"readiness"`
}

// run adds the hooks of readiness and drain. This plug-in is the last one to start and therefore the first one to stop,
// so the drain runs while every listener is still open.
func run(p params) {
	for _, c := range p.Checks {
		p.State.AddCheck(c)
	}
	logger := p.Logger.With("component", "lifecycle")
	drain := &lifecycle.Drain{State: p.State, Clock: p.Clock, Leaver: p.Leaver,
		BalancerDelay: p.Settings.BalancerDelay, Timeout: p.Settings.DrainTimeout}
	p.Lifecycle.Append(fx.Hook{
		// All other plug-ins have started by now, so from now on a bundle in force makes the process ready.
		OnStart: func(context.Context) error {
			p.Store.OnChange(func(*config.InForce) { p.State.SetReady(true) })
			return nil
		},
		OnStop: func(ctx context.Context) error {
			logger.Info("drain_started", "balancer_delay", drain.BalancerDelay, "drain_timeout", drain.Timeout)
			err := drain.Run(ctx)
			var cutOff *lifecycle.CutOffError
			if errors.As(err, &cutOff) {
				logger.Error("drain_cut_off", "callers", cutOff.Callers, "peers", cutOff.Peers, "second_signal", cutOff.Forced)
			} else {
				logger.Info("drained", "refused", p.State.Refused())
			}
			return err
		},
	})
}

// register exposes the lifecycle state; docs/operations/metrics.md lists the metrics.
func register(state *lifecycle.State, meter metric.Meter) error {
	gauge := func(name, description string, read func() int64) observe.Instrument {
		return observe.Instrument{Name: "lifecycle_" + name, Description: description, Read: read}
	}
	return observe.Gauges(meter,
		gauge("caller_requests", "callers' requests that run", func() int64 { return int64(state.Accepted(lifecycle.FromCaller)) }),
		gauge("peer_calls", "peers' calls that run", func() int64 { return int64(state.Accepted(lifecycle.FromPeer)) }),
		gauge("refused_draining", "callers' requests refused by the drain", observe.Uint64(state.Refused)),
		gauge("ready", "1 if the balancer should send requests here", observe.Bool(state.Ready)),
		gauge("draining", "1 while a drain refuses new work", observe.Bool(state.Draining)),
	)
}
