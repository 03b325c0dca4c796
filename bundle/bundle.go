// Package bundle defines configuration bundles: the signed, versioned and reviewed documents by which operators
// configure zones, services, targets and limits of the whole fleet. Every VM verifies the signatures itself.
package bundle

import (
	"teaselbank.example/teaselbank/ident"
)

// MaxBytes is the largest accepted size of a signed bundle, in bytes. The platform stores values of up to 1 MB.
const MaxBytes = 1 << 20

// ZoneState determines whether an availability zone receives new work.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// TargetState determines whether a target receives new work.
type TargetState string

// States of a target.
const (
	TargetServing TargetState = "serving"
	TargetLeaving TargetState = "leaving"
)

// Bundle is the configuration that operators sign.
type Bundle struct {
	// Version orders bundles. A running VM never goes back to a lower version.
	Version  uint64 `json:"version"`
	Name     string `json:"name"`
	Author   string `json:"author"`
	Reviewer string `json:"reviewer"`
	// Reason explains why the configuration is changed.
	Reason   string    `json:"reason"`
	Zones    []Zone    `json:"zones"`
	Services []Service `json:"services"`
	Policy   Policy    `json:"policy"`
	// Rotations holds the keyring rotations, in ascending order of epoch.
	Rotations []Rotation `json:"rotations"`
}

// Zone is one availability zone.
type Zone struct {
	ID    ident.Zone `json:"id"`
	State ZoneState  `json:"state"`
	// ReturnSeconds is the time over which work gradually returns to the zone after its state changes from out to in.
	ReturnSeconds int `json:"return_seconds"`
}

// Service is one sharded index with the targets that serve it.
type Service struct {
	ID ident.ServiceID `json:"id"`
	// Slots is the number of requests that each target of the service can run concurrently.
	Slots int `json:"slots"`
	// ColdSlots is the number of concurrent requests that a target can run while it is in cold start.
	ColdSlots int `json:"cold_slots"`
	// Connections is the number of connections that each target accepts.
	Connections int `json:"connections"`
	// ConnectMillis is the expected time to open a connection to a target, in milliseconds.
	ConnectMillis int      `json:"connect_millis"`
	Targets       []Target `json:"targets"`
	// Snapshots are ordered from oldest to newest.
	Snapshots []Snapshot `json:"snapshots"`
}

// Target is one remote process that serves shards of a service.
type Target struct {
	ID   ident.TargetID `json:"id"`
	Zone ident.Zone     `json:"zone"`
	// Address is an IP address and port.
	Address string      `json:"address"`
	State   TargetState `json:"state"`
}

// Snapshot is one version of a service's index, partitioned into shards.
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
	// RequiredSigners is the number of distinct signers that a bundle needs. The threshold of the keyring applies as
	// well, so a lower number has no effect.
	RequiredSigners int `json:"required_signers"`
	// ExtraLoadPercent bounds extra sends (hedges and retries), as a percentage of first sends.
	ExtraLoadPercent int `json:"extra_load_percent"`
	// MaxDeadlineMillis is the longest deadline that a caller may request, in milliseconds.
	MaxDeadlineMillis int `json:"max_deadline_millis"`
	// DefaultDeadlineMillis is the deadline of requests that specify none, in milliseconds.
	DefaultDeadlineMillis int `json:"default_deadline_millis"`
}

// ServiceByID returns the service, or nil if the bundle has none with this ID.
func (b *Bundle) ServiceByID(id ident.ServiceID) *Service {
	for i := range b.Services {
		if b.Services[i].ID == id {
			return &b.Services[i]
		}
	}
	return nil
}

// ZoneByID returns the zone, or nil if the bundle has none with this ID.
func (b *Bundle) ZoneByID(id ident.Zone) *Zone {
	for i := range b.Zones {
		if b.Zones[i].ID == id {
			return &b.Zones[i]
		}
	}
	return nil
}

// TargetByID returns the target, or nil if the service has none with this ID.
func (s *Service) TargetByID(id ident.TargetID) *Target {
	for i := range s.Targets {
		if s.Targets[i].ID == id {
			return &s.Targets[i]
		}
	}
	return nil
}
