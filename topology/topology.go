// Package topology holds what this VM believes of the deployment: the routes in force, the targets of each service and
// the availability zones that are taken out. A snapshot is immutable; readers take it without a lock.
package topology

import (
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/routing"
)

// Target is one registered back end.
type Target struct {
	ID      ident.TargetID
	Service ident.ServiceID
	// Address is the IP address and port.
	Address string
	Zone    ident.Zone
	// Slots is how many requests the target runs at a time.
	Slots int
	// Started tells two runs of a target under one id apart.
	Started int64
	// ColdUntil is when the target has warmed up, on this process's clock.
	ColdUntil time.Time
	// Leaving is when this VM learned that the target drains or is no longer registered; it is zero otherwise.
	Leaving time.Time
}

// SameProcess reports whether both describe one run of one target.
func (t *Target) SameProcess(o *Target) bool {
	return t.ID == o.ID && t.Address == o.Address && t.Started == o.Started
}

// Snapshot is an immutable state of the deployment.
type Snapshot struct {
	// Revision orders the snapshots of all VMs.
	Revision uint64
	// Table is nil until a configuration is known.
	Table    *routing.Table
	Targets  map[ident.ServiceID][]*Target
	ZonesOut map[ident.Zone]bool
	// Built is when the snapshot was published.
	Built time.Time
}

// Count returns the number of targets.
func (s *Snapshot) Count() int {
	n := 0
	for _, targets := range s.Targets {
		n += len(targets)
	}
	return n
}
