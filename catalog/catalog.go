// Package catalog is an immutable index of the bundle in force. The bundle holds lists, as operators write them; the
// request path looks services, targets and replicas up by id.
package catalog

import (
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// Catalog indexes one bundle. It is immutable.
type Catalog struct {
	// InForce is the bundle that was indexed.
	InForce  *config.InForce
	services map[ident.ServiceID]*Service
	zoneOut  map[ident.Zone]bool
	returns  map[ident.Zone]zoneReturn
}

// Service is one service of the bundle.
type Service struct {
	ID ident.ServiceID
	// Snapshots stand from oldest to newest.
	Snapshots []*Snapshot
	targets   map[ident.TargetID]*Target
}

// Snapshot is one version of a service's index with its shards in the order of the bundle.
type Snapshot struct {
	ID     ident.SnapshotID
	Shards []Shard
}

// Shard is one part of a snapshot.
type Shard struct {
	ID       ident.ShardID
	Replicas []*Target
}

// Target is one back end.
type Target struct {
	ID   ident.TargetID
	Zone ident.Zone
	// Barred says why operators let the target receive no new work; ReasonNone if they do.
	Barred outcome.Reason
}

// Build indexes a valid bundle. Previous is the catalog that was in force before, or nil.
func Build(force *config.InForce, previous *Catalog) *Catalog {
	b := force.Bundle
	c := &Catalog{InForce: force, services: make(map[ident.ServiceID]*Service, len(b.Services)), zoneOut: zonesOut(b)}
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
		service.targets[t.ID] = &Target{ID: t.ID, Zone: t.Zone, Barred: barred(t, zoneOut)}
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

func barred(t *bundle.Target, zoneOut map[ident.Zone]bool) outcome.Reason {
	// A zone that the bundle does not name counts as out: nothing says that it may receive work.
	if out, named := zoneOut[t.Zone]; out || !named {
		return outcome.ReasonZoneOut
	}
	if t.State != bundle.TargetServing {
		return outcome.ReasonTargetLeaving
	}
	return outcome.ReasonNone
}

// Service returns the service of that id.
func (c *Catalog) Service(id ident.ServiceID) (*Service, bool) {
	s, ok := c.services[id]
	return s, ok
}

// Target returns the target of that id.
func (s *Service) Target(id ident.TargetID) (*Target, bool) {
	t, ok := s.targets[id]
	return t, ok
}

// Barred says why the target may receive no new work under this catalog, or ReasonNone if it may.
func (c *Catalog) Barred(service ident.ServiceID, target ident.TargetID) outcome.Reason {
	s, ok := c.services[service]
	if !ok {
		return outcome.ReasonUnknownService
	}
	t, ok := s.targets[target]
	if !ok {
		return outcome.ReasonTargetUnknown
	}
	return t.Barred
}

// HasTarget reports whether any service of the catalog names the target.
func (c *Catalog) HasTarget(id ident.TargetID) bool {
	for _, s := range c.services {
		if _, ok := s.targets[id]; ok {
			return true
		}
	}
	return false
}
