// Package callerfront is the plug-in that listens for callers of a site and stops gracefully.
package callerfront

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
	"teaselbank.example/teaselbank/version"
)

// Limits of callers' connections until the operator's are known.
const (
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	// stopMargin is what is left of the time to stop for the end of the process.
	stopMargin = 500 * time.Millisecond
	// lingerShare is the part of the time to stop in which callers' open connections are still served, so that each of
	// them gets an answer that says to use another one.
	lingerShare = 0.6
)

func init() {
	kernel.Register(kernel.Plugin{Name: "callerfront", Options: func() fx.Option { return fx.Invoke(serve) }})
}

// parts are what the plug-in works on.
type parts struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  *site.Settings
	Service   *forward.Service
	Topology  *topology.State
	State     *lifecycle.State
	Leaver    lifecycle.Leaver
	Checks    []lifecycle.ReadyCheck `group:"readiness"`
	Viewer    membership.Viewer
	Logger    *log.Logger
}

func serve(p parts) {
	for _, c := range p.Checks {
		p.State.AddCheck(c)
	}
	f := newFront(p.Service, p.Logger.With("component", "front"))
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.Settings.CallerListen)
			if err != nil {
				return fmt.Errorf("caller listener: %w", err)
			}
			p.Logger.Info("listening", "api", "callers", "address", l.Addr())
			p.Logger.Info("started", "version", version.Version, "incarnation", p.Viewer.View().Self.Incarnation, "stop_bound", p.Settings.StopBound,
				"memory_bytes", p.Settings.MemoryBytes, "seeds", len(p.Settings.Seeds))
			p.Topology.OnChange(func(s *topology.Snapshot) { f.use(limitsOf(s)) })
			go f.accept(l)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			bound := p.Settings.StopBound - stopMargin
			linger := time.Duration(lingerShare * float64(bound))
			p.Logger.Info("stopping", "linger", linger, "bound", bound, "running", p.Service.Running())
			p.State.Stop()
			p.Leaver.Leave(func(int) {})
			wait := time.NewTimer(linger)
			defer wait.Stop()
			select {
			case <-wait.C:
			case <-ctx.Done():
			}
			ctx, cancel := context.WithTimeout(ctx, bound-linger)
			defer cancel()
			err := f.shutdown(ctx)
			p.Logger.Info("stopped", "running", p.Service.Running(), "err", err)
			return err
		},
	})
}
