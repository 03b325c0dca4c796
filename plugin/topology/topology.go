// Package topology is the plug-in that follows the records published by the operator and the targets, and keeps this
// VM's topology up to date.
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
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
)

// Decoder converts a published record to a change of the topology. ok is false if the record implies no change. A
// change can come with an error: a target whose entry is invalid is removed.
type Decoder func(r feed.Record, now time.Time) (change topology.Change, ok bool, err error)

func init() {
	kernel.Register(kernel.Plugin{Name: "topology", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(topology.NewState, newMirror, newPeers, newFollower, newLinks),
			fx.Provide(newContactTracker),
			fx.Provide(func(c *ContactTracker) membership.ConfigGossip { return c }),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.HandlerGroup))),
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

// logChanges logs each change. If there are more than maxLines changes, it logs their number instead of the changes of
// targets.
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
			logger.Info("zone", "revision", revision, "zone_changed", c.Zone, "out", !c.ZoneRestored)
		case len(changes) > maxLines:
		case c.Target != nil:
			logger.Info("target", "revision", revision, "target", c.Target.ID, "service", c.Target.Service, "address", c.Target.Address,
				"zone_of", c.Target.Zone, "draining", c.Draining, "cold", !c.Target.ColdUntil.IsZero())
		case c.Unregistered != "":
			logger.Info("target_gone", "revision", revision, "target", c.Unregistered)
		}
	}
}

func newFollower(source feed.Source, mirror *feed.Mirror, links *feedLinks, logger *log.Logger) *feed.Follower {
	f := feed.NewFollower(source, mirror, logger.With("component", "feed"), links.shouldFollow, links.pushToChildren)
	links.follower.Store(f)
	return f
}

// feedLinks connects the follower, which reads published records from their source, and the peers, which exchange these
// records between VMs. The follower and the peers depend on each other: both are constructed with methods of feedLinks,
// and its fields are set as soon as the parts exist.
type feedLinks struct {
	role     feed.FollowerRole
	follower atomic.Pointer[feed.Follower]
	peers    atomic.Pointer[feed.Peers]
	viewer   atomic.Pointer[viewerBox]
}

func newLinks(s *site.Settings) *feedLinks {
	return &feedLinks{role: feed.FollowerRole{ChangeBound: s.ChangeBound}}
}

type viewerBox struct{ membership.Viewer }

func (l *feedLinks) view() *membership.View {
	if v := l.viewer.Load(); v != nil {
		return v.View()
	}
	return nil
}

func (l *feedLinks) shouldFollow() bool {
	view := l.view()
	return view == nil || l.role.ShouldFollow(view, l.peers.Load().LastSourceContact(), time.Now())
}

func (l *feedLinks) pushToChildren(before uint64, b feed.Batch) { l.peers.Load().Push(before, b) }

func (l *feedLinks) children() []string {
	if view := l.view(); view != nil {
		return feed.Children(view)
	}
	return nil
}

func (l *feedLinks) lastContact() time.Time {
	if f := l.follower.Load(); f != nil {
		return f.LastContact()
	}
	return time.Time{}
}

func newPeers(s *settings.Settings, mirror *feed.Mirror, links *feedLinks, logger *log.Logger) *feed.Peers {
	p := feed.NewPeers(feed.PeersOptions{Mirror: mirror, HTTP: wire.NewHTTPClient(), Logger: logger.With("component", "feed"),
		Self: s.PeerListen, Children: links.children, LastContact: links.lastContact})
	links.peers.Store(p)
	return p
}

func newHandler(p *feed.Peers) peerapi.Handler {
	path, h := peerv1connect.NewFeedServiceHandler(feed.Server{Peers: p})
	return peerapi.Handler{Path: path, Handler: h}
}

// expireInterval is how often targets whose grace period after leaving has ended are removed.
const expireInterval = 100 * time.Millisecond

func run(lc fx.Lifecycle, links *feedLinks, follower *feed.Follower, peers *feed.Peers, state *topology.State, viewer membership.Viewer) {
	links.viewer.Store(&viewerBox{viewer})
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			loops.Go(func() { follower.Run(ctx) })
			loops.Go(func() { peers.Bootstrap(ctx, func() string { return randomPeer(viewer.View()) }) })
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

func randomPeer(view *membership.View) string {
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
