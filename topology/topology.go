// Package topology holds this VM's view of the deployment: the routes in force, the targets of each service and the
// availability zones that are taken out of service. A snapshot is immutable and read without a lock.
package topology

import (
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/routing"
)

// Target is one registered target.
type Target struct {
	ID      ident.TargetID
	Service ident.ServiceID
	// Address is the IP address and port of the target.
	Address string
	Zone    ident.Zone
	// Slots is how many requests the target runs at the same time.
	Slots int
	// Started distinguishes successive processes of a target under the same ID.
	Started int64
	// ColdUntil is when the target will have warmed up, on this VM's clock.
	ColdUntil time.Time
	// LeavingSince is when this VM learned that the target is draining or no longer registered. It is zero for a target
	// that is neither.
	LeavingSince time.Time
}

// SameProcess reports whether t and o describe the same process of the same target.
func (t *Target) SameProcess(o *Target) bool {
	return t.ID == o.ID && t.Address == o.Address && t.Started == o.Started
}

// Snapshot is an immutable state of the deployment.
type Snapshot struct {
	// Revision is the revision of the published changes up to which the snapshot is current. It is comparable between
	// VMs.
	Revision uint64
	// Table is nil until a configuration is known.
	Table *routing.Table
	// Targets holds the targets of each service, sorted by ID.
	Targets map[ident.ServiceID][]*Target
	// ZonesOut holds the zones that are taken out of service.
	ZonesOut map[ident.Zone]bool
	// Built is when the snapshot was published.
	Built time.Time
}

// Count returns the number of targets of all services.
func (s *Snapshot) Count() int {
	n := 0
	for _, targets := range s.Targets {
		n += len(targets)
	}
	return n
}
