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
	// fanout is the number of peers to which a VM pushes a bundle. A VM pushes to fewer peers if the fleet is smaller,
	// and to more if it has many zones.
	fanout = 8
	// minOwnZonePeers is how many of the peers to push to are at least in the VM's own zone, if the zone has as many.
	// With 3, a bundle that reaches a zone spreads within it even if two of three pushes are lost.
	minOwnZonePeers = 3
	// maxFanout is the largest number of peers to push to if there are many zones.
	maxFanout = 16
	// maxSpares is the number of further peers that may replace peers to which a push failed.
	maxSpares = 3
	// callTimeout bounds one call to a peer. It allows for the transfer of a whole bundle over a slow link.
	callTimeout = 2 * time.Second
)

// forwardLoop pushes each newly accepted bundle to peers. Accepting a newer bundle cancels pushes of the previous one.
func (d *Distributor) forwardLoop(ctx context.Context) {
	var rounds sync.WaitGroup
	defer rounds.Wait()
	endPrevious := func() {}
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.forwardSignal:
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

// forward pushes a bundle to the chosen peers concurrently. If a push fails, the next spare replaces that peer.
func (d *Distributor) forward(ctx context.Context, inForce *config.InForce) {
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
				err := d.push(ctx, peer, inForce)
				if err == nil || ctx.Err() != nil {
					return
				}
				d.stats.PushErrors.Add(1)
				d.Logger.Warn("push_failed", "peer", peer.ID, "version", inForce.Bundle.Version, "err", err)
			}
		})
	}
	pushes.Wait()
}

// choosePeers returns the peers to push to, those of this VM's own zone first, and up to maxSpares spares. The peers
// are random VMs of the own zone and one random VM of each other zone, up to maxFanout in all. If they are fewer than
// fanout, further VMs are added while there are any. The first peer is always the next VM of the own zone in the order
// of IDs: these pushes form a ring that reaches every VM of the zone, including those that the random choices miss.
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
		// This VM has the highest ID of its zone. Members are sorted by ID, so the first one closes the ring.
		successors, own = own[:1], own[1:]
	}
	d.shuffle(own)
	own = append(successors, own...)
	share := min(len(own), max(minOwnZonePeers, fanout-len(zones)))
	peers = append(peers, own[:share]...)
	spares = append(spares, own[share:]...)
	var otherZonePeers []membership.Member
	for _, zone := range zones {
		list := others[zone]
		d.shuffle(list)
		otherZonePeers = append(otherZonePeers, list[0])
		spares = append(spares, list[1:]...)
	}
	d.shuffle(otherZonePeers)
	peers = append(peers, otherZonePeers[:min(len(otherZonePeers), maxFanout-share)]...)
	if missing := min(len(spares), max(0, fanout-len(peers))); missing > 0 {
		peers, spares = append(peers, spares[:missing]...), spares[missing:]
	}
	return peers, spares[:min(len(spares), maxSpares)]
}

// push sends the bundle to a peer, first as a delta against the previous bundle, which most peers have. If the peer
// does not have that base, push sends a delta against the version that the peer has, and then the whole bundle.
func (d *Distributor) push(ctx context.Context, peer membership.Member, inForce *config.InForce) error {
	var baseVersion uint64
	var baseDigest []byte
	if inForce.Previous != nil {
		baseVersion, baseDigest = inForce.Previous.Bundle.Version, inForce.Previous.Digest[:]
	}
	resp, err := d.pushOnce(ctx, peer, inForce, baseVersion, baseDigest)
	if err == nil && resp.GetResult() == resultNeedWhole {
		d.stats.NeedWhole.Add(1)
		baseVersion, baseDigest = resp.GetHaveVersion(), resp.GetHaveDigest()
		resp, err = d.pushOnce(ctx, peer, inForce, baseVersion, baseDigest)
		if err == nil && resp.GetResult() == resultNeedWhole {
			resp, err = d.pushOnce(ctx, peer, inForce, 0, nil)
		}
	}
	if err != nil {
		return err
	}
	d.ObservePeerVersion(peer, resp.GetHaveVersion(), resp.GetHaveDigest())
	return nil
}

func (d *Distributor) pushOnce(ctx context.Context, peer membership.Member, inForce *config.InForce, baseVersion uint64, baseDigest []byte) (*peerv1.PushResponse, error) {
	payload, err := d.payloadFor(inForce, baseVersion, baseDigest)
	if err != nil {
		return nil, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, callTimeout)
	defer cancel()
	d.stats.PushesSent.Add(1)
	d.stats.sent(payload.GetEncoding(), len(payload.GetData()))
	return d.Transport.Push(ctx, peer, &peerv1.PushRequest{Payload: payload, From: string(d.Viewer.View().Self.ID)})
}
