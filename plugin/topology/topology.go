// Package topology is the plug-in that follows what the operator and the targets publish and keeps this VM's topology
// up to date.
package topology

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/feed"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/topology"
)

// Decoder translates a published record; ok is false for one that means nothing to the product.
type Decoder func(r feed.Record, now time.Time) (change topology.Change, ok bool, err error)

func init() {
	kernel.Register(kernel.Plugin{Name: "topology", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(topology.NewState, newMirror, newPeers, newFollower, func() *exchange { return new(exchange) }),
			fx.Provide(newContacts),
			fx.Provide(func(c *Contacts) membership.ConfigGossip { return c }),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.Group))),
			fx.Invoke(run),
		)
	}})
}

func newMirror(state *topology.State, decode Decoder, logger *log.Logger) *feed.Mirror {
	logger = logger.With("component", "topology")
	return feed.NewMirror(func(revision uint64, changed []feed.Record) {
		now := time.Now()
		changes := make([]topology.Change, 0, len(changed))
		for _, r := range changed {
			change, ok, err := decode(r, now)
			if err != nil {
				logger.Warn("record_unreadable", "key", r.Key, "revision", r.Revision, "err", err)
			}
			if ok {
				changes = append(changes, change)
			}
		}
		state.Apply(now, revision, changes)
		logChanges(logger, revision, changes, state.Current())
	})
}

// logChanges writes one line a change, or their number when many come at once.
func logChanges(logger *log.Logger, revision uint64, changes []topology.Change, s *topology.Snapshot) {
	const maxLines = 20
	if len(changes) > maxLines {
		logger.Info("topology", "revision", revision, "changes", len(changes), "targets", s.Count(), "zones_out", len(s.ZonesOut))
	}
	for _, c := range changes {
		switch {
		case c.Table != nil:
			logger.Info("configuration", "revision", revision, "version", c.Table.Version, "routes", c.Table.RouteCount(), "services", len(c.Table.Services))
		case c.Zone != "":
			logger.Info("zone", "revision", revision, "zone_changed", c.Zone, "out", !c.Back)
		case len(changes) > maxLines:
		case c.Target != nil:
			logger.Info("target", "revision", revision, "target", c.Target.ID, "service", c.Target.Service, "address", c.Target.Address,
				"zone_of", c.Target.Zone, "draining", c.Draining, "cold", !c.Target.ColdUntil.IsZero())
		case c.Gone != "":
			logger.Info("target_gone", "revision", revision, "target", c.Gone)
		}
	}
}

func newFollower(source feed.Source, mirror *feed.Mirror, t *exchange, logger *log.Logger) *feed.Follower {
	f := feed.NewFollower(source, mirror, logger.With("component", "feed"), t.watching, t.tell)
	t.follower.Store(f)
	return f
}

// exchange joins the follower and the exchange with peers, each of which needs the other.
type exchange struct {
	roles    feed.Roles
	follower atomic.Pointer[feed.Follower]
	peers    atomic.Pointer[feed.Peers]
	viewer   atomic.Pointer[viewerOf]
}

type viewerOf struct{ membership.Viewer }

func (e *exchange) view() *membership.View {
	if v := e.viewer.Load(); v != nil {
		return v.View()
	}
	return nil
}

func (e *exchange) watching() bool {
	view := e.view()
	return view == nil || e.roles.Watching(view, e.peers.Load().Heard(), time.Now())
}

func (e *exchange) tell(before uint64, b feed.Batch) { e.peers.Load().Tell(before, b) }

func (e *exchange) children() []string {
	if view := e.view(); view != nil {
		return feed.Children(view)
	}
	return nil
}

func (e *exchange) contact() time.Time {
	if f := e.follower.Load(); f != nil {
		return f.LastContact()
	}
	return time.Time{}
}

func newPeers(s *settings.Settings, mirror *feed.Mirror, e *exchange, logger *log.Logger) *feed.Peers {
	p := feed.NewPeers(feed.PeersOptions{Mirror: mirror, HTTP: wire.NewHTTPClient(), Logger: logger.With("component", "feed"),
		Self: s.PeerListen, Children: e.children, Contact: e.contact})
	e.peers.Store(p)
	return p
}

func newHandler(p *feed.Peers) peerapi.Handler {
	path, h := peerv1connect.NewFeedServiceHandler(feed.Server{Peers: p})
	return peerapi.Handler{Path: path, Handler: h}
}

// expireInterval is how often targets whose grace has ended are removed.
const expireInterval = 100 * time.Millisecond

func run(lc fx.Lifecycle, e *exchange, follower *feed.Follower, peers *feed.Peers, state *topology.State, viewer membership.Viewer) {
	e.viewer.Store(&viewerOf{viewer})
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			loops.Go(func() { follower.Run(ctx) })
			loops.Go(func() { peers.Start(ctx, func() string { return anyPeer(viewer.View()) }) })
			loops.Go(func() { expire(ctx, state) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			loops.Wait()
			return nil
		},
	})
}

func anyPeer(view *membership.View) string {
	others := view.UsableIn("")
	for _, i := range rand.Perm(len(others)) {
		if others[i].ID != view.Self.ID {
			return others[i].Address
		}
	}
	return ""
}

func expire(ctx context.Context, state *topology.State) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			state.Expire(now)
		case <-ctx.Done():
			return
		}
	}
}
