package distribution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the startup phase.
const (
	// startConcurrency is the number of peers asked concurrently.
	startConcurrency = 4
	// startInterval is the pause, before jitter, between two rounds. In each round some random peers are asked for a
	// bundle.
	startInterval = 500 * time.Millisecond
	// startMaxPeers is the largest number of peers asked in a round. If all peers of a round answer that they have no
	// bundle, the fleet is taken to be starting for the first time.
	startMaxPeers = 16
)

// start runs the startup phase: it asks peers for a bundle until this VM has one, until every peer asked in a round
// answered that it has none, or until PeerGrace has passed. The platform is read only afterwards, because it may be
// stale or rolled back, and a VM that has just started has no bundle to compare with.
func (d *Distributor) start(ctx context.Context) {
	defer d.started.Store(true)
	grace := d.Clock.After(d.PeerGrace)
	for ctx.Err() == nil && d.Store.Current() == nil {
		if d.askPeers(ctx) {
			return
		}
		pause := d.Clock.NewTimer(d.jitter(startInterval))
		select {
		case <-ctx.Done():
		case <-pause.Chan():
			continue
		case <-grace:
			d.Logger.Warn("no_peer_asked", "grace", d.PeerGrace, "peers_listed", len(d.randomPeers(startConcurrency)))
		}
		pause.Stop()
		return
	}
}

// askPeers runs one round of the startup phase and reports whether the startup phase is over. In a round, up to
// startMaxPeers random peers are asked for a bundle, in groups of startConcurrency. After each group, the round ends
// early if none of the peers asked so far has answered, or if this VM has a bundle.
func (d *Distributor) askPeers(ctx context.Context) bool {
	peers := d.randomPeers(startMaxPeers)
	var answered atomic.Int64
	for first := 0; first < len(peers) && d.Store.Current() == nil; first += startConcurrency {
		var calls sync.WaitGroup
		for _, peer := range peers[first:min(first+startConcurrency, len(peers))] {
			calls.Go(func() {
				if err := d.fetch(ctx, peer); err == nil {
					answered.Add(1)
				}
			})
		}
		calls.Wait()
		if answered.Load() == 0 {
			return false
		}
	}
	return d.Store.Current() != nil || (len(peers) > 0 && int(answered.Load()) == len(peers))
}
