package topology

import (
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/feed"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/settings"
)

// ContactTracker records when a VM of another zone was last in contact with this VM. It wraps feed.Peers, which gets
// the versions that other VMs send with their probes, and observes the senders.
type ContactTracker struct {
	*feed.Peers
	links         *feedLinks
	zone          ident.Zone
	lastOtherZone atomic.Pointer[time.Time]
}

func newContactTracker(p *feed.Peers, links *feedLinks, s *settings.Settings) *ContactTracker {
	return &ContactTracker{Peers: p, links: links, zone: ident.Zone(s.Zone)}
}

// LastStoreContact returns when the store in which records are published last replied to this VM, or the zero time if
// it never did, and whether this VM reads the changes directly from the store.
func (c *ContactTracker) LastStoreContact() (last time.Time, following bool) {
	return c.links.lastContact(), c.links.shouldFollow()
}

// ObservePeerVersion implements membership.ConfigGossip.
func (c *ContactTracker) ObservePeerVersion(m membership.Member, version uint64, age []byte) {
	if m.Zone != c.zone && m.Zone != "" {
		now := time.Now()
		c.lastOtherZone.Store(&now)
	}
	c.Peers.ObservePeerVersion(m, version, age)
}

// LastOtherZoneContact returns when a VM of another zone was last in contact with this VM, or the zero time if none
// ever was.
func (c *ContactTracker) LastOtherZoneContact() time.Time {
	if t := c.lastOtherZone.Load(); t != nil {
		return *t
	}
	return time.Time{}
}
