// Package shutdown is the plug-in that makes this VM ready once it can serve, and drains it before the listeners
// close.
package shutdown

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/settings"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "shutdown", Options: func() fx.Option { return fx.Invoke(run) }})
}

// run registers last and is therefore stopped first, while every listener is still open.
func run(lc fx.Lifecycle, state *lifecycle.State, store *config.Store, s *settings.Settings, logger *log.Logger) {
	store.OnChange(func(*config.InForce) { state.SetReady(true) })
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		state.NotReady()
		logger.Info("stopping", "balancer_delay", s.BalancerDelay, "drain_timeout", s.DrainTimeout)
		select {
		case <-time.After(s.BalancerDelay):
		case <-ctx.Done():
		}
		ctx, cancel := context.WithTimeout(ctx, s.DrainTimeout)
		defer cancel()
		left := state.Drain(ctx)
		logger.Info("drained", "requests_cut_off", left)
		return nil
	}})
}
