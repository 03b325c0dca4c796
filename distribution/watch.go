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
	// watchersPerZone VMs of each zone hold a long poll: one may fail without a delay.
	watchersPerZone = 2
	// watchWait is the time of one long poll.
	watchWait = 30 * time.Second
	// watchPause is the shortest time between two reads. It bounds the reads of a platform that answers at once.
	watchPause = time.Second
	// minBackoff and maxBackoff bound the pause after a failed or useless read. If all 650 VMs read because each
	// sees no other, the platform gets about 650 reads in the first second and 30/s in the long run. The first pause
	// is at least a second, so that the second reads do not fall into the same second as the first.
	minBackoff = 2 * time.Second
	maxBackoff = 30 * time.Second
	// watcherRecheck is how often a VM looks whether it has become a watcher. It sends nothing.
	watcherRecheck = time.Second
	// firstReadSpread is the time over which VMs that are no watchers spread their first read. They read only if they
	// have no bundle, and by then the watchers have usually pushed one.
	firstReadSpread = 10 * time.Second
)

// IsWatcher reports whether the view's own VM holds a long poll on the platform for its zone.
func IsWatcher(view *membership.View) bool {
	ranked := placement.Rank("config-watch/"+string(view.Self.Zone), view.UsableIn(view.Self.Zone))
	for _, m := range ranked[:min(watchersPerZone, len(ranked))] {
		if m.ID == view.Self.ID {
			return true
		}
	}
	return false
}

func (d *Distributor) watchLoop(ctx context.Context) {
	spreadUntil := d.Clock.Now().Add(d.jitter(firstReadSpread))
	backoff := minBackoff
	for ctx.Err() == nil {
		if !IsWatcher(d.Viewer.View()) && (d.Store.Current() != nil || d.Clock.Now().Before(spreadUntil)) {
			d.sleep(ctx, watcherRecheck)
			continue
		}
		pause := watchPause
		if d.readPlatform(ctx) {
			backoff = minBackoff
		} else {
			pause = backoff
			backoff = min(2*backoff, maxBackoff)
		}
		d.sleep(ctx, d.jitter(pause))
	}
}

// readPlatform holds one long poll and reports whether the platform behaved: it sent something new, or waited and
// sent nothing.
func (d *Distributor) readPlatform(ctx context.Context) bool {
	have, _ := d.Version()
	d.stats.PlatformReads.Add(1)
	raw, err := d.Platform.Bundle(ctx, have, watchWait)
	if err != nil {
		d.stats.PlatformFails.Add(1)
		if ctx.Err() == nil {
			d.Logger.Warn("platform_read_failed", "err", err)
		}
		return false
	}
	if raw == nil {
		return true
	}
	offer := d.Store.Offer
	if !d.heard.Load() {
		offer = d.Store.OfferUnconfirmed
	}
	d.intake.Lock()
	defer d.intake.Unlock()
	if d.take(raw, "platform", nil, offer).Verdict != config.Accepted {
		return false
	}
	signal(d.accepted)
	return true
}
