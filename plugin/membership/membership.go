// Package membership is the plug-in that keeps this VM's view of the live VMs: it runs the failure detector, serves
// peers' probes and reads the platform's list.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
	"teaselbank.example/teaselbank/platformclient"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/settings"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "membership", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newTable, newTransport, func(t *wire.Transport) *wire.Traffic { return t.Traffic }),
			fx.Provide(func(t *Table) membership.Viewer { return t }),
			fx.Provide(func(t *Table) membership.FailureReporter { return t }),
			fx.Provide(func(t *Table) lifecycle.Leaver { return t }),
			fx.Provide(fx.Annotate(func(t *Table) lifecycle.ReadyCheck { return t }, fx.ResultTags(lifecycle.ReadinessGroup))),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.Group))),
			fx.Invoke(fx.Annotate(follow, fx.ParamTags("", "", `optional:"true"`, `optional:"true"`)), logChanges, register,
				fx.Annotate(joinConfig, fx.ParamTags("", `optional:"true"`))),
		)
	}})
}

// Table holds the view and tells listeners of changes.
type Table struct {
	*membership.Node
	clock clockwork.Clock
	wake  chan time.Time
}

func newTransport() *wire.Transport { return wire.NewTransport(wire.NewHTTPClient()) }

func newTable(s *settings.Settings, clock clockwork.Clock, transport *wire.Transport) *Table {
	self := membership.Member{ID: ident.VMID(s.VMID), Zone: ident.Zone(s.Zone), Address: s.PeerListen,
		Incarnation: ident.NewIncarnation(clock.Now()), State: membership.Alive}
	t := &Table{clock: clock, wake: make(chan time.Time, 1)}
	t.Node = membership.NewNode(membership.Options{Self: self, Clock: clock, Transport: transport,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Wake: t.wakeUp})
	return t
}

// joinConfig connects the spreading of bundles after both sides are built, because that side needs the view.
func joinConfig(t *Table, config membership.ConfigGossip) {
	if config != nil {
		t.SetConfig(config)
	}
}

func newHandler(t *Table, transport *wire.Transport) peerapi.Handler {
	path, h := wire.NewHandler(t.Node, transport.Traffic)
	return peerapi.Handler{Path: path, Handler: h}
}

// Ready reports whether this process still holds its VM's id; it is a readiness check.
func (t *Table) Ready() bool { return !t.Superseded() }

// wakeUp asks for an earlier tick. A request that already waits is at least as early.
func (t *Table) wakeUp(at time.Time) {
	select {
	case t.wake <- at:
	default:
	}
}

// run ticks the node until the context ends.
func (t *Table) run(ctx context.Context) {
	timer := t.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-t.wake:
			// The change that woke this loop is pushed a moment later, with whatever else changes until then.
			timer.Reset(at.Sub(t.clock.Now()))
			continue
		case <-timer.Chan():
		}
		next := t.Tick()
		timer.Reset(next.Sub(t.clock.Now()))
	}
}

// follow runs the detector. Other VMs are found through the platform's list or through seeds, whichever is provided.
func follow(lc fx.Lifecycle, t *Table, platform *platformclient.Client, seeds Seeds, logger *log.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			loops.Go(func() { t.run(ctx) })
			if platform != nil {
				loops.Go(func() { readList(ctx, t, platform, logger.With("component", "membership")) })
			}
			if seeds != nil {
				loops.Go(func() { joinSeeds(ctx, t, seeds, logger.With("component", "membership")) })
			}
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			loops.Wait()
			return nil
		},
	})
}
