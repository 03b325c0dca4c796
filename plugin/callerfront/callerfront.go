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
	// closeTime is what is left to the requests that still run once connections without a request are closed.
	closeTime = 700 * time.Millisecond
	// stopPoll is how often a stop looks whether it is done.
	stopPoll = 20 * time.Millisecond
	// lingerShare is the part of the time to stop in which callers' open connections are still served, so that each of
	// them gets an answer that says to use another one. The rest is for the requests taken until then: the longest
	// ones take several seconds.
	lingerShare = 0.4
)

// stop turns callers away in three steps: new connections still come until the balancer has noticed; then requests on
// kept connections are refused, which closes them, because a connection that is closed while it is idle may just carry a
// request; at the end what is left is closed.
func stop(ctx context.Context, p parts, f *front) error {
	end := time.Now().Add(p.Settings.StopBound - stopMargin)
	p.Logger.Info("stopping", "linger", linger(p.Settings.StopBound), "bound", p.Settings.StopBound, "running", p.Service.Running(), "connections", f.open.Load())
	p.State.Stop()
	p.Leaver.Leave(func(int) {})
	wait(ctx, time.Now().Add(linger(p.Settings.StopBound)), func() bool { return false })
	p.State.Refuse()
	f.closeListener()
	wait(ctx, end.Add(-closeTime), func() bool { return f.open.Load() == 0 })
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := f.shutdown(ctx)
	p.Logger.Info("stopped", "running", p.Service.Running(), "refused", p.Service.Refused(), "err", err)
	return err
}

// wait returns at a time, or when the condition holds or the context ends.
func wait(ctx context.Context, until time.Time, done func() bool) {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for time.Now().Before(until) && !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// linger returns how long a stopping VM takes requests, out of the time until it is killed.
func linger(stopBound time.Duration) time.Duration {
	return time.Duration(lingerShare * float64(stopBound))
}

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
		OnStop: func(ctx context.Context) error { return stop(ctx, p, f) },
	})
}
