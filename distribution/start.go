package distribution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the start-up phase.
const (
	// startPeers is how many peers are asked at a time.
	startPeers = 4
	// startInterval is the pause between two rounds.
	startInterval = 500 * time.Millisecond
	// startEnough is how many peers without a bundle are taken as proof that the fleet starts for the first time.
	startEnough = 16
)

// start asks peers for a bundle. It ends when there is one, when every peer that can be asked has none, or when
// PeerGrace has passed. Only then is the platform read: it may be stale or rolled back, and a VM that has just
// started has nothing to compare its bundle with.
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
			d.Logger.Warn("no_peer_asked", "grace", d.PeerGrace, "peers_listed", len(d.randomPeers(startPeers)))
		}
		pause.Stop()
		return
	}
}

// askPeers runs one round and reports whether the phase is over.
func (d *Distributor) askPeers(ctx context.Context) bool {
	listed := d.randomPeers(startEnough)
	var answered atomic.Int64
	for first := 0; first < len(listed) && d.Store.Current() == nil; first += startPeers {
		var calls sync.WaitGroup
		for _, peer := range listed[first:min(first+startPeers, len(listed))] {
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
	return d.Store.Current() != nil || (len(listed) > 0 && int(answered.Load()) == len(listed))
}
