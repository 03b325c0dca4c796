// Package snapshot chooses the snapshot that a query is pinned to.
package snapshot

import (
	"teaselbank.example/teaselbank/bundle"
)

// Pinner chooses the snapshot of a query before its fan-out.
type Pinner interface {
	Pin(s *bundle.Service) *bundle.Snapshot
}

// Oldest pins the first snapshot listed. It serves until beliefs about held snapshots exist.
type Oldest struct{}

// Pin returns the first snapshot of the service; a valid bundle lists at least one.
func (Oldest) Pin(s *bundle.Service) *bundle.Snapshot { return &s.Snapshots[0] }
