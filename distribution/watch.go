package distribution

import (
	"context"
	"time"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
)

// Bounds of the platform watch.
const (
	// watchersPerZone is the number of VMs in each zone that long-poll the platform. With 2, one of them can fail
	// without delaying new bundles.
	watchersPerZone = 2
	// longPollTimeout is the maximum duration of one long poll.
	longPollTimeout = 30 * time.Second
	// readInterval is the pause between two reads, before jitter. It bounds the read rate if the platform answers
	// immediately.
	readInterval = time.Second
	// minBackoff and maxBackoff bound the pause, before jitter, after a read that failed or brought no acceptable
	// bundle. If all 650 VMs read because none of them sees any other, the platform gets about 650 reads in the first
	// second and about 30/s in the long run. With jitter the first pause is at least 1 s, so that no VM reads twice
	// in the first second.
	minBackoff = 2 * time.Second
	maxBackoff = 30 * time.Second
	// watcherCheckInterval is the interval at which a VM checks whether it has become a watcher. The check is local and
	// sends nothing.
	watcherCheckInterval = time.Second
	// firstReadSpread is the longest delay of the first read of a VM that is not a watcher; with jitter, these reads
	// are spread over the second half of it. Such a VM reads only if it still has no bundle, and by then the watchers
	// have usually pushed one.
	firstReadSpread = 10 * time.Second
)

// IsWatcher reports whether the view's own VM is one of the VMs of its zone that long-poll the platform. They are
// chosen by rendezvous hashing over the usable members of the zone.
func IsWatcher(view *membership.View) bool {
	ranked := placement.Rank("config-watch/"+string(view.Self.Zone), view.UsableIn(view.Self.Zone))
	for _, m := range ranked[:min(watchersPerZone, len(ranked))] {
		if m.ID == view.Self.ID {
			return true
		}
	}
	return false
}

// watchLoop reads bundles from the platform while this VM is a watcher. A VM that is not a watcher reads only after its
// first-read delay, and only while it has no bundle.
func (d *Distributor) watchLoop(ctx context.Context) {
	spreadUntil := d.Clock.Now().Add(d.jitter(firstReadSpread))
	backoff := minBackoff
	for ctx.Err() == nil {
		if !IsWatcher(d.Viewer.View()) && (d.Store.Current() != nil || d.Clock.Now().Before(spreadUntil)) {
			d.sleep(ctx, watcherCheckInterval)
			continue
		}
		pause := readInterval
		if d.readPlatform(ctx) {
			backoff = minBackoff
		} else {
			pause = backoff
			backoff = min(2*backoff, maxBackoff)
		}
		d.sleep(ctx, d.jitter(pause))
	}
}

// readPlatform does one long poll. It returns false if the read failed or the store did not accept the bundle, and true
// if the bundle was accepted or the platform had no newer one.
func (d *Distributor) readPlatform(ctx context.Context) bool {
	have, _ := d.Version()
	d.stats.PlatformReads.Add(1)
	raw, err := d.Platform.Bundle(ctx, have, longPollTimeout)
	if err != nil {
		d.stats.PlatformErrors.Add(1)
		if ctx.Err() == nil {
			d.Logger.Warn("platform_read_failed", "err", err)
		}
		return false
	}
	if raw == nil {
		return true
	}
	offer := d.Store.Offer
	if !d.peerHasBundle.Load() {
		offer = d.Store.OfferUnconfirmed
	}
	d.intakeMu.Lock()
	defer d.intakeMu.Unlock()
	if d.offerLocked(raw, "platform", nil, offer).Verdict != config.Accepted {
		return false
	}
	signal(d.forwardSignal)
	return true
}
