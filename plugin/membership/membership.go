// Package membership is the plug-in that maintains this VM's view of the live VMs. It runs the failure detector, serves
// the probes of peers, and finds other VMs through the platform's list or through seeds.
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
			fx.Provide(fx.Annotate(newDetector, fx.ParamTags("", "", "", `optional:"true"`)), newTransport, func(t *wire.Transport) *wire.Traffic { return t.Traffic }),
			fx.Provide(func(d *Detector) membership.Viewer { return d }),
			fx.Provide(func(d *Detector) membership.FailureReporter { return d }),
			fx.Provide(func(d *Detector) lifecycle.Leaver { return d }),
			fx.Provide(fx.Annotate(func(d *Detector) lifecycle.ReadyCheck { return d }, fx.ResultTags(lifecycle.ReadinessGroup))),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.HandlerGroup))),
			fx.Invoke(fx.Annotate(startLoops, fx.ParamTags("", "", `optional:"true"`, `optional:"true"`)), logChanges, register,
				fx.Annotate(attachConfig, fx.ParamTags("", `optional:"true"`))),
		)
	}})
}

// Detector runs this VM's failure detector. The embedded node holds the membership view and notifies listeners of its
// changes.
type Detector struct {
	*membership.Node
	clock clockwork.Clock
	wake  chan time.Time
}

func newTransport() *wire.Transport { return wire.NewTransport(wire.NewHTTPClient()) }

// Capacity is this VM's share of a processor in thousandths of a core, which peers learn with its membership; 0 if
// unknown.
type Capacity int

func newDetector(s *settings.Settings, clock clockwork.Clock, transport *wire.Transport, capacity Capacity) *Detector {
	self := membership.Member{ID: ident.VMID(s.VMID), Zone: ident.Zone(s.Zone), Address: s.PeerListen, Capacity: int(capacity),
		Incarnation: ident.NewIncarnation(clock.Now()), State: membership.Alive}
	d := &Detector{clock: clock, wake: make(chan time.Time, 1)}
	d.Node = membership.NewNode(membership.Options{Self: self, Clock: clock, Transport: transport,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Wake: d.wakeUp})
	return d
}

// attachConfig adds the gossip of configuration versions to the probes, if a plug-in provides it. The gossip is added
// after the detector and that plug-in are constructed, because the plug-in depends on the view.
func attachConfig(d *Detector, config membership.ConfigGossip) {
	if config != nil {
		d.SetConfigGossip(config)
	}
}

func newHandler(d *Detector, transport *wire.Transport) peerapi.Handler {
	path, h := wire.NewHandler(d.Node, transport.Traffic)
	return peerapi.Handler{Path: path, Handler: h}
}

// Ready implements lifecycle.ReadyCheck. Ready returns false once a newer process has taken this VM's ID.
func (d *Detector) Ready() bool { return !d.Superseded() }

// wakeUp requests a tick at the given time. It does not block: a request is dropped while run has not yet read the
// previous request. The previous request is at most pushDelay of package membership later than the dropped one, and a
// tick does all work that is due.
func (d *Detector) wakeUp(at time.Time) {
	select {
	case d.wake <- at:
	default:
	}
}

// run ticks the node until the context ends.
func (d *Detector) run(ctx context.Context) {
	timer := d.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-d.wake:
			// Wait until the requested time: further changes until then are pushed together with the change that
			// requested the tick.
			timer.Reset(at.Sub(d.clock.Now()))
			continue
		case <-timer.Chan():
		}
		next := d.Tick()
		timer.Reset(next.Sub(d.clock.Now()))
	}
}

// startLoops adds hooks that run the detector. Other VMs are found through the platform's list or through seeds,
// whichever is provided.
func startLoops(lc fx.Lifecycle, d *Detector, platform *platformclient.Client, seeds Seeds, logger *log.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			loops.Go(func() { d.run(ctx) })
			if platform != nil {
				loops.Go(func() { pollVMList(ctx, d, platform, logger.With("component", "membership")) })
			}
			if seeds != nil {
				loops.Go(func() { joinSeeds(ctx, d, seeds, logger.With("component", "membership")) })
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
