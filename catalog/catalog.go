// Package catalog provides an immutable index of the configuration bundle in force. A bundle holds lists, as operators
// write them, whereas the request path looks up services, targets and replicas by ID.
package catalog

import (
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// Catalog is the index of one bundle. It is immutable.
type Catalog struct {
	// InForce is the bundle that was indexed.
	InForce  *config.InForce
	services map[ident.ServiceID]*Service
	// zoneOut has an entry for each zone of the bundle, true if the zone is taken out of service.
	zoneOut map[ident.Zone]bool
	// returns holds the zones that are gradually returning to service.
	returns map[ident.Zone]zoneReturn
}

// Service is one service of the bundle.
type Service struct {
	ID ident.ServiceID
	// Snapshots are ordered from oldest to newest.
	Snapshots []*Snapshot
	targets   map[ident.TargetID]*Target
}

// Snapshot is one version of a service's index. Shards are in the order of the bundle.
type Snapshot struct {
	ID     ident.SnapshotID
	Shards []Shard
}

// Shard is one part of a snapshot, with the targets that hold a replica of it.
type Shard struct {
	ID       ident.ShardID
	Replicas []*Target
}

// Target is one target of a service.
type Target struct {
	ID   ident.TargetID
	Zone ident.Zone
	// ExclusionReason is the reason why the bundle excludes the target from new work. ReasonNone means that the target is
	// not excluded.
	ExclusionReason outcome.Reason
}

// Build returns the index of a valid bundle. previous is the catalog of the bundle that was in force before; nil means
// that there is none.
func Build(inForce *config.InForce, previous *Catalog) *Catalog {
	b := inForce.Bundle
	c := &Catalog{InForce: inForce, services: make(map[ident.ServiceID]*Service, len(b.Services)), zoneOut: zonesOut(b)}
	c.returns = returns(c, previous)
	for i := range b.Services {
		c.services[b.Services[i].ID] = buildService(&b.Services[i], c.zoneOut)
	}
	return c
}

func zonesOut(b *bundle.Bundle) map[ident.Zone]bool {
	out := make(map[ident.Zone]bool, len(b.Zones))
	for _, z := range b.Zones {
		out[z.ID] = z.State != bundle.ZoneIn
	}
	return out
}

func buildService(s *bundle.Service, zoneOut map[ident.Zone]bool) *Service {
	service := &Service{ID: s.ID, targets: make(map[ident.TargetID]*Target, len(s.Targets))}
	for i := range s.Targets {
		t := &s.Targets[i]
		service.targets[t.ID] = &Target{ID: t.ID, Zone: t.Zone, ExclusionReason: exclusionReason(t, zoneOut)}
	}
	for _, snap := range s.Snapshots {
		indexed := &Snapshot{ID: snap.ID, Shards: make([]Shard, len(snap.Shards))}
		for i, shard := range snap.Shards {
			indexed.Shards[i] = Shard{ID: shard.ID}
			for _, id := range shard.Replicas {
				if t := service.targets[id]; t != nil {
					indexed.Shards[i].Replicas = append(indexed.Shards[i].Replicas, t)
				}
			}
		}
		service.Snapshots = append(service.Snapshots, indexed)
	}
	return service
}

// exclusionReason returns the reason why the bundle excludes the target from new work. ReasonNone means that the target
// is not excluded.
func exclusionReason(t *bundle.Target, zoneOut map[ident.Zone]bool) outcome.Reason {
	// A zone that the bundle does not list counts as out of service, because nothing says that it may receive work.
	if out, named := zoneOut[t.Zone]; out || !named {
		return outcome.ReasonZoneOut
	}
	if t.State != bundle.TargetServing {
		return outcome.ReasonTargetLeaving
	}
	return outcome.ReasonNone
}

// Service returns the service with the given ID.
func (c *Catalog) Service(id ident.ServiceID) (*Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// Target returns the target with the given ID.
func (s *Service) Target(id ident.TargetID) (*Target, bool) {
	t, ok := s.targets[id]
	return t, ok
}

// ExclusionReason returns the reason why the target may receive no new work. ReasonNone means that it may. A target
// that is unknown, or whose service is unknown, may receive none.
func (c *Catalog) ExclusionReason(service ident.ServiceID, target ident.TargetID) outcome.Reason {
	s, ok := c.services[service]
	if !ok {
		return outcome.ReasonUnknownService
	}
	t, ok := s.targets[target]
	if !ok {
		return outcome.ReasonTargetUnknown
	}
	return t.ExclusionReason
}

// HasTarget reports whether any service of the catalog has the target.
func (c *Catalog) HasTarget(id ident.TargetID) bool {
	for _, s := range c.services {
		if _, ok := s.targets[id]; ok {
			return true
		}
	}
	return false
}
