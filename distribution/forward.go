package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Bounds of forwarding.
const (
	// fanout is how many peers a VM pushes a bundle to if the zones allow it.
	fanout = 8
	// ownZoneShare is how many of them are in its own zone at least: with 3, a bundle that reaches a zone spreads in
	// it even if two of three pushes are lost.
	ownZoneShare = 3
	// maxFanout bounds the pushes if there are many zones.
	maxFanout = 16
	// maxSpares is how many further peers are tried in place of those that fail.
	maxSpares = 3
	// callTimeout bounds one call to a peer, with room for a whole bundle on a slow link.
	callTimeout = 2 * time.Second
)

// forwardLoop pushes each newly accepted bundle. A newer acceptance ends the round of the one before.
func (d *Distributor) forwardLoop(ctx context.Context) {
	var rounds sync.WaitGroup
	defer rounds.Wait()
	endPrevious := func() {}
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.accepted:
		}
		endPrevious()
		round, end := context.WithCancel(ctx)
		endPrevious = end
		rounds.Go(func() {
			defer end()
			d.forward(round, d.Store.Current())
		})
	}
}

// forward pushes a bundle to the chosen peers at the same time; a peer that cannot be reached is replaced by a spare.
func (d *Distributor) forward(ctx context.Context, force *config.InForce) {
	peers, spares := d.choosePeers(d.Viewer.View())
	var mu sync.Mutex
	nextSpare := func() (membership.Member, bool) {
		mu.Lock()
		defer mu.Unlock()
		if len(spares) == 0 {
			return membership.Member{}, false
		}
		spare := spares[0]
		spares = spares[1:]
		return spare, true
	}
	var pushes sync.WaitGroup
	for _, peer := range peers {
		pushes.Go(func() {
			for ok := true; ok && ctx.Err() == nil; peer, ok = nextSpare() {
				err := d.push(ctx, peer, force)
				if err == nil || ctx.Err() != nil {
					return
				}
				d.stats.PushErrors.Add(1)
				d.Logger.Warn("push_failed", "peer", peer.ID, "version", force.Bundle.Version, "err", err)
			}
		})
	}
	pushes.Wait()
}

// choosePeers returns the peers to push to, own zone first, and spares. The next VM of the zone in the order of ids is
// always among them: the pushes then form a ring that reaches every VM of a zone, whatever the random choices miss.
func (d *Distributor) choosePeers(view *membership.View) (peers, spares []membership.Member) {
	var own, successors []membership.Member
	others := map[ident.Zone][]membership.Member{}
	var zones []ident.Zone
	for _, m := range view.UsableIn("") {
		switch {
		case m.ID == view.Self.ID:
		case m.Zone == view.Self.Zone && m.ID > view.Self.ID && len(successors) == 0:
			successors = append(successors, m)
		case m.Zone == view.Self.Zone:
			own = append(own, m)
		default:
			if others[m.Zone] == nil {
				zones = append(zones, m.Zone)
			}
			others[m.Zone] = append(others[m.Zone], m)
		}
	}
	if len(successors) == 0 && len(own) > 0 {
		// Members are sorted by id, so the first one closes the ring.
		successors, own = own[:1], own[1:]
	}
	d.shuffle(own)
	own = append(successors, own...)
	share := min(len(own), max(ownZoneShare, fanout-len(zones)))
	peers = append(peers, own[:share]...)
	spares = append(spares, own[share:]...)
	var far []membership.Member
	for _, zone := range zones {
		list := others[zone]
		d.shuffle(list)
		far = append(far, list[0])
		spares = append(spares, list[1:]...)
	}
	d.shuffle(far)
	peers = append(peers, far[:min(len(far), maxFanout-share)]...)
	if missing := min(len(spares), max(0, fanout-len(peers))); missing > 0 {
		peers, spares = append(peers, spares[:missing]...), spares[missing:]
	}
	return peers, spares[:min(len(spares), maxSpares)]
}

// push offers the bundle first as a delta against the one before it, which most peers have.
func (d *Distributor) push(ctx context.Context, peer membership.Member, force *config.InForce) error {
	var baseVersion uint64
	var baseDigest []byte
	if force.Previous != nil {
		baseVersion, baseDigest = force.Previous.Bundle.Version, force.Previous.Digest[:]
	}
	resp, err := d.pushOnce(ctx, peer, force, baseVersion, baseDigest)
	if err == nil && resp.GetResult() == resultNeedWhole {
		d.stats.NeedWhole.Add(1)
		baseVersion, baseDigest = resp.GetHaveVersion(), resp.GetHaveDigest()
		resp, err = d.pushOnce(ctx, peer, force, baseVersion, baseDigest)
		if err == nil && resp.GetResult() == resultNeedWhole {
			resp, err = d.pushOnce(ctx, peer, force, 0, nil)
		}
	}
	if err != nil {
		return err
	}
	d.PeerHas(peer, resp.GetHaveVersion(), resp.GetHaveDigest())
	return nil
}

func (d *Distributor) pushOnce(ctx context.Context, peer membership.Member, force *config.InForce, baseVersion uint64, baseDigest []byte) (*peerv1.PushResponse, error) {
	payload, err := d.payloadFor(force, baseVersion, baseDigest)
	if err != nil {
		return nil, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, callTimeout)
	defer cancel()
	d.stats.PushesSent.Add(1)
	d.stats.sent(payload.GetEncoding(), len(payload.GetData()))
	return d.Transport.Push(ctx, peer, &peerv1.PushRequest{Payload: payload, From: string(d.Viewer.View().Self.ID)})
}
