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
	// maxQueuedPeers bounds the number of queued peers. Each of them advertises the missing bundle, so a few suffice.
	maxQueuedPeers = 8
	// refetchDelay is how long a peer is not queued again after a fetch that did not bring the advertised bundle. It
	// bounds the load that a peer can cause by advertising versions it does not have.
	refetchDelay = 5 * time.Second
	// maxSkippedPeers bounds the number of peers that are recorded as not to be queued during refetchDelay. When it is
	// reached, all these records are cleared.
	maxSkippedPeers = 64
	// antiEntropyInterval is the time, before jitter, between requests to a random peer for a newer version. These
	// requests make up for lost pushes even where no gossip arrives, and cost a few bytes per second.
	antiEntropyInterval = 20 * time.Second
)

// queuedPeer is a peer that advertises a bundle which this VM does not have.
type queuedPeer struct {
	member  membership.Member
	version uint64
	digest  []byte
}

// peerQueue is the queue of peers to fetch from, with at most one entry per peer.
type peerQueue struct {
	mu   sync.Mutex
	list []queuedPeer
	// skipUntil holds, for each peer whose fetch did not bring the advertised bundle, the time until which it is not
	// queued.
	skipUntil map[ident.VMID]time.Time
}

// add queues a peer, replacing its earlier entry, and reports whether it was queued.
func (q *peerQueue) add(n queuedPeer, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if until, ok := q.skipUntil[n.member.ID]; ok && now.Before(until) {
		return false
	}
	for i := range q.list {
		if q.list[i].member.ID == n.member.ID {
			q.list[i] = n
			return true
		}
	}
	if len(q.list) >= maxQueuedPeers {
		return false
	}
	q.list = append(q.list, n)
	return true
}

// next removes and returns the entry with the highest version; it returns false if the queue is empty.
func (q *peerQueue) next() (queuedPeer, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == 0 {
		return queuedPeer{}, false
	}
	best := 0
	for i := range q.list {
		if q.list[i].version > q.list[best].version {
			best = i
		}
	}
	n := q.list[best]
	q.list = append(q.list[:best], q.list[best+1:]...)
	return n, true
}

// skip keeps a peer from being queued for refetchDelay.
func (q *peerQueue) skip(id ident.VMID, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.skipUntil == nil || len(q.skipUntil) >= maxSkippedPeers {
		q.skipUntil = map[ident.VMID]time.Time{}
	}
	q.skipUntil[id] = now.Add(refetchDelay)
}

// ObservePeerVersion reports the version and digest of a bundle that a peer advertises, by gossip or in a response to a
// push. It does not block. If the bundle is newer than the one in force, or has the same version but different content
// whose digest the store's conflict alarm does not yet record, the bundle is fetched from that peer in the background.
func (d *Distributor) ObservePeerVersion(member membership.Member, version uint64, digest []byte) {
	if version == 0 || member.ID == d.Viewer.View().Self.ID {
		return
	}
	switch compareVersion(d.Store.Current(), version, digest) {
	case lower, same:
		d.notePeerVersion(version)
		return
	case conflicting:
		if d.conflictRecorded(digest) {
			return
		}
	case higher:
	}
	if d.fetchQueue.add(queuedPeer{member, version, digest}, d.Clock.Now()) {
		signal(d.fetchSignal)
	}
}

// fetchLoop fetches from one queued peer at a time, so that a version advertised by several peers is transferred once.
func (d *Distributor) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.fetchSignal:
		}
		for n, ok := d.fetchQueue.next(); ok && ctx.Err() == nil; n, ok = d.fetchQueue.next() {
			if o := compareVersion(d.Store.Current(), n.version, n.digest); o == lower || o == same {
				continue
			}
			if err := d.fetch(ctx, n.member); err != nil && ctx.Err() == nil {
				d.Logger.Warn("fetch_failed", "peer", n.member.ID, "version", n.version, "err", err)
			}
			if o := compareVersion(d.Store.Current(), n.version, n.digest); o == higher || (o == conflicting && !d.conflictRecorded(n.digest)) {
				d.fetchQueue.skip(n.member.ID, d.Clock.Now())
			}
		}
	}
}

// fetch gets a peer's bundle, unless this VM has it or a newer one, and offers it to the store. If this VM cannot
// decode a delta, or the store refuses the bundle decoded from it, the bundle is fetched again whole. The error is nil
// if the peer answered and its bundle was not refused, even if the peer has no bundle or only an older one.
func (d *Distributor) fetch(ctx context.Context, peer membership.Member) error {
	have, digest := d.Version()
	p, err := d.fetchOnce(ctx, peer, have, digest)
	if err != nil || p.GetVersion() == 0 {
		return err
	}
	if len(p.GetData()) == 0 {
		if o := compareVersion(d.Store.Current(), p.GetVersion(), p.GetDigest()); o == lower || o == same {
			d.notePeerVersion(p.GetVersion())
		}
		return nil
	}
	// The peers already have the bundle that a starting VM fetches, so this VM does not push it back to them.
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
		return fmt.Errorf("bundle fetched from peer %s not accepted: %s: %s", peer.ID, result, reason)
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

// antiEntropyLoop fetches from a random peer every antiEntropyInterval, with jitter.
func (d *Distributor) antiEntropyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		d.sleep(ctx, d.jitter(antiEntropyInterval))
		peers := d.randomPeers(1)
		if len(peers) == 0 || ctx.Err() != nil {
			continue
		}
		if err := d.fetch(ctx, peers[0]); err != nil && ctx.Err() == nil {
			d.Logger.Warn("fetch_failed", "peer", peers[0].ID, "err", err)
		}
	}
}

// randomPeers returns up to n usable members other than this VM, in random order.
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
