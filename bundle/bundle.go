// Package bundle defines the signed, versioned configuration that operators roll out. A bundle is a named and
// reviewed statement of how searches are served; every receiver verifies it for itself.
package bundle

import (
	"teaselbank.example/teaselbank/ident"
)

// MaxBytes is the largest signed bundle that is accepted, in bytes: the platform holds values up to 1 MB.
const MaxBytes = 1 << 20

// ZoneState says whether operators let an availability zone receive new work.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// TargetState says whether a target may receive new work.
type TargetState string

// States of a target.
const (
	TargetServing TargetState = "serving"
	TargetLeaving TargetState = "leaving"
)

// Bundle is the content that operators sign.
type Bundle struct {
	// Version orders bundles; a receiver never goes back to a lower one.
	Version  uint64 `json:"version"`
	Name     string `json:"name"`
	Author   string `json:"author"`
	Reviewer string `json:"reviewer"`
	// Reason says why the change is made.
	Reason    string          `json:"reason"`
	Zones     []Zone          `json:"zones"`
	Services  []Service       `json:"services"`
	Policy    Policy          `json:"policy"`
	Rotations []KeyringChange `json:"rotations"`
}

// Zone is one availability zone.
type Zone struct {
	ID    ident.Zone `json:"id"`
	State ZoneState  `json:"state"`
	// ReturnSeconds is the time over which work returns to the zone after it is put back in.
	ReturnSeconds int `json:"return_seconds"`
}

// Service is one sharded index with the targets that serve it.
type Service struct {
	ID ident.ServiceID `json:"id"`
	// Slots is how many requests a target of the service runs at once.
	Slots int `json:"slots"`
	// ColdSlots is how many it bears in cold start.
	ColdSlots int `json:"cold_slots"`
	// Connections is how many connections a target accepts.
	Connections int `json:"connections"`
	// ConnectMillis is the expected time to open a connection, in milliseconds.
	ConnectMillis int        `json:"connect_millis"`
	Targets       []Target   `json:"targets"`
	Snapshots     []Snapshot `json:"snapshots"`
}

// Target is one back end.
type Target struct {
	ID      ident.TargetID `json:"id"`
	Zone    ident.Zone     `json:"zone"`
	Address string         `json:"address"`
	State   TargetState    `json:"state"`
}

// Snapshot is one version of the index and its partition into shards. Snapshots stand from oldest to newest.
type Snapshot struct {
	ID     ident.SnapshotID `json:"id"`
	Shards []Shard          `json:"shards"`
}

// Shard is one part of a snapshot and the targets that hold it.
type Shard struct {
	ID       ident.ShardID    `json:"id"`
	Replicas []ident.TargetID `json:"replicas"`
}

// Policy holds the limits that apply to every service.
type Policy struct {
	// RequiredSigners is how many distinct named signers a bundle of this fleet needs; it may not be lower than
	// the threshold of the keyring.
	RequiredSigners int `json:"required_signers"`
	// ExtraLoadPercent bounds hedges and retries over first sends.
	ExtraLoadPercent int `json:"extra_load_percent"`
	// MaxDeadlineMillis bounds the deadline a caller may ask for.
	MaxDeadlineMillis int `json:"max_deadline_millis"`
	// DefaultDeadlineMillis applies when a caller states none.
	DefaultDeadlineMillis int `json:"default_deadline_millis"`
}

// ServiceByID returns the service, or nil if the bundle has none of that name.
func (b *Bundle) ServiceByID(id ident.ServiceID) *Service {
	for i := range b.Services {
		if b.Services[i].ID == id {
			return &b.Services[i]
		}
	}
	return nil
}

// ZoneByID returns the zone, or nil if the bundle does not name it.
func (b *Bundle) ZoneByID(id ident.Zone) *Zone {
	for i := range b.Zones {
		if b.Zones[i].ID == id {
			return &b.Zones[i]
		}
	}
	return nil
}

// TargetByID returns the target, or nil if the service has none of that name.
func (s *Service) TargetByID(id ident.TargetID) *Target {
	for i := range s.Targets {
		if s.Targets[i].ID == id {
			return &s.Targets[i]
		}
	}
	return nil
}
