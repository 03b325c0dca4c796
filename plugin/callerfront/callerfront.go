// Package callerfront is the plug-in that accepts the connections of callers of a site and stops gracefully.
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

// Limits of callers' connections until the limits that the operator configured are known, and times of a graceful stop.
const (
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	// stopMargin is the part of the stop bound that is reserved for the exit of the process.
	stopMargin = 500 * time.Millisecond
	// shutdownTime is the time reserved for requests that are still running once idle connections are closed.
	shutdownTime = 700 * time.Millisecond
	// responseTime is the time reserved for responses to requests that are still running at the end.
	responseTime = 250 * time.Millisecond
	// stopPoll is how often a stop checks whether all connections are closed.
	stopPoll = 20 * time.Millisecond
	// lingerShare is the part of the stop bound in which requests are still served, so that each open connection gets a
	// response that asks its caller to use another connection. The remaining part of the stop bound is for finishing
	// the requests accepted in that part, the longest of which take several seconds.
	lingerShare = 0.4
)

// stop ends the service for callers in three steps. First, new connections and requests are still accepted, so that the
// balancer has time to notice that this VM is not ready. Then the listener is closed and requests on kept connections
// are refused, which closes these connections; idle connections are not closed yet, because a request may already be on
// its way on them. Finally the remaining connections are closed.
func stop(ctx context.Context, p params, f *front) error {
	end := time.Now().Add(p.Settings.StopBound - stopMargin)
	p.Logger.Info("stopping", "linger", linger(p.Settings.StopBound), "bound", p.Settings.StopBound, "running", p.Service.Running(), "connections", f.open.Load())
	p.State.Stop()
	p.Leaver.Leave(func(int) {})
	wait(ctx, time.Now().Add(linger(p.Settings.StopBound)), func() bool { return false })
	p.State.Refuse()
	f.closeListener()
	wait(ctx, end.Add(-shutdownTime), func() bool { return f.open.Load() == 0 })
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	running := p.Service.Running()
	ending := time.AfterFunc(time.Until(end.Add(-responseTime)), p.Service.EndRequests)
	defer ending.Stop()
	err := f.shutdown(ctx)
	if f.open.Load() == 0 {
		// Shutdown checks for the end of connections only now and then.
		err = nil
	}
	p.Logger.Info("stopped", "running_late", running, "running", p.Service.Running(), "refused", p.Service.Refused(), "err", err)
	return err
}

// wait returns at the given time, or earlier if done reports true or the context ends.
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

// linger returns how long a stopping VM still accepts requests. stopBound is the time from the stop signal until the
// process is killed.
func linger(stopBound time.Duration) time.Duration {
	return time.Duration(lingerShare * float64(stopBound))
}

func init() {
	kernel.Register(kernel.Plugin{Name: "callerfront", Options: func() fx.Option { return fx.Invoke(serve) }})
}

// params are the dependencies of the plug-in.
type params struct {
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

func serve(p params) {
	for _, c := range p.Checks {
		p.State.AddCheck(c)
	}
	f := newFront(p.Service, p.Logger.With("component", "front"))
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.Settings.CallerListen)
			if err != nil {
				return fmt.Errorf("open caller listener: %w", err)
			}
			p.Logger.Info("listening", "api", "callers", "address", l.Addr())
			p.Logger.Info("started", "version", version.Version, "incarnation", p.Viewer.View().Self.Incarnation, "stop_bound", p.Settings.StopBound,
				"memory_bytes", p.Settings.MemoryBytes, "seeds", len(p.Settings.Seeds))
			p.Topology.OnChange(func(s *topology.Snapshot) { f.setLimits(limitsOf(s)) })
			go f.accept(l)
			return nil
		},
		OnStop: func(ctx context.Context) error { return stop(ctx, p, f) },
	})
}
