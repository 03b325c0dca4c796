package distribution

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Bounds of fetching.
const (
	// maxWants bounds the peers that wait to be fetched from; all of them have what is missing, so few suffice.
	maxWants = 8
	// fruitlessDelay is how long a peer is not asked again after a fetch that brought nothing. It bounds what a peer
	// that names versions it does not have can cause.
	fruitlessDelay = 5 * time.Second
	// maxFruitless bounds the record of such peers.
	maxFruitless = 64
	// compareInterval is how often one random peer is asked for a newer version. It repairs what pushes lost also
	// where no gossip arrives, and costs a few bytes a second.
	compareInterval = 20 * time.Second
)

// want is a peer that names a bundle which this VM does not have.
type want struct {
	member  membership.Member
	version uint64
	digest  []byte
}

type wants struct {
	mu        sync.Mutex
	list      []want
	fruitless map[ident.VMID]time.Time
}

// add reports whether the want was recorded.
func (w *wants) add(n want, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if until, ok := w.fruitless[n.member.ID]; ok && now.Before(until) {
		return false
	}
	for i := range w.list {
		if w.list[i].member.ID == n.member.ID {
			w.list[i] = n
			return true
		}
	}
	if len(w.list) >= maxWants {
		return false
	}
	w.list = append(w.list, n)
	return true
}

// next removes and returns the want with the highest version.
func (w *wants) next() (want, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.list) == 0 {
		return want{}, false
	}
	best := 0
	for i := range w.list {
		if w.list[i].version > w.list[best].version {
			best = i
		}
	}
	n := w.list[best]
	w.list = append(w.list[:best], w.list[best+1:]...)
	return n, true
}

func (w *wants) failed(id ident.VMID, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fruitless == nil || len(w.fruitless) >= maxFruitless {
		w.fruitless = map[ident.VMID]time.Time{}
	}
	w.fruitless[id] = now.Add(fruitlessDelay)
}

// PeerHas tells the distributor which bundle a peer's gossip names. It does not block. A bundle that is newer than the
// one in force, or that has its version and another content, is fetched from the peer.
func (d *Distributor) PeerHas(member membership.Member, version uint64, digest []byte) {
	if version == 0 || member.ID == d.Viewer.View().Self.ID {
		return
	}
	switch known(d.Store.Current(), version, digest) {
	case lower, same:
		d.heardOf(version)
		return
	case conflicting:
		if d.conflictKnown(digest) {
			return
		}
	case higher:
	}
	if d.wants.add(want{member, version, digest}, d.Clock.Now()) {
		signal(d.wanted)
	}
}

// fetchLoop fetches from one peer at a time, so that several peers with one version cause one transfer.
func (d *Distributor) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wanted:
		}
		for n, ok := d.wants.next(); ok && ctx.Err() == nil; n, ok = d.wants.next() {
			if o := known(d.Store.Current(), n.version, n.digest); o == lower || o == same {
				continue
			}
			if err := d.fetch(ctx, n.member); err != nil && ctx.Err() == nil {
				d.Logger.Warn("fetch_failed", "peer", n.member.ID, "version", n.version, "err", err)
			}
			if o := known(d.Store.Current(), n.version, n.digest); o == higher || (o == conflicting && !d.conflictKnown(n.digest)) {
				d.wants.failed(n.member.ID, d.Clock.Now())
			}
		}
	}
}

// fetch asks a peer for its bundle and offers what it sends. It returns nil if the peer answered, whatever it has.
func (d *Distributor) fetch(ctx context.Context, peer membership.Member) error {
	have, digest := d.Version()
	p, err := d.fetchOnce(ctx, peer, have, digest)
	if err != nil || p.GetVersion() == 0 {
		return err
	}
	if len(p.GetData()) == 0 {
		if o := known(d.Store.Current(), p.GetVersion(), p.GetDigest()); o == lower || o == same {
			d.heardOf(p.GetVersion())
		}
		return nil
	}
	// What a starting VM fetches is what its peers already have, so it is not pushed back to them.
	forward := d.started.Load()
	result, reason := d.receive(p, string(peer.ID), forward)
	if result == resultNeedWhole || (result == string(config.Refused) && p.GetEncoding() == EncodingDelta) {
		d.stats.NeedWhole.Add(1)
		if p, err = d.fetchOnce(ctx, peer, 0, nil); err != nil {
			return err
		}
		result, reason = d.receive(p, string(peer.ID), forward)
	}
	if result == string(config.Refused) || result == resultNeedWhole {
		return fmt.Errorf("bundle of peer %s: %s: %s", peer.ID, result, reason)
	}
	return nil
}

func (d *Distributor) fetchOnce(ctx context.Context, peer membership.Member, have uint64, digest []byte) (*peerv1.BundlePayload, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, callTimeout)
	defer cancel()
	d.stats.FetchesSent.Add(1)
	resp, err := d.Transport.Fetch(ctx, peer, &peerv1.FetchRequest{HaveVersion: have, HaveDigest: digest})
	if err != nil {
		d.stats.FetchErrors.Add(1)
		return nil, err
	}
	return resp.GetPayload(), nil
}

// compareLoop asks a random peer from time to time.
func (d *Distributor) compareLoop(ctx context.Context) {
	for ctx.Err() == nil {
		d.sleep(ctx, d.jitter(compareInterval))
		peers := d.randomPeers(1)
		if len(peers) == 0 || ctx.Err() != nil {
			continue
		}
		if err := d.fetch(ctx, peers[0]); err != nil && ctx.Err() == nil {
			d.Logger.Warn("fetch_failed", "peer", peers[0].ID, "err", err)
		}
	}
}

func (d *Distributor) randomPeers(n int) []membership.Member {
	view := d.Viewer.View()
	var peers []membership.Member
	for _, m := range view.UsableIn("") {
		if m.ID != view.Self.ID {
			peers = append(peers, m)
		}
	}
	d.shuffle(peers)
	return peers[:min(n, len(peers))]
}
