// Package forward serves callers' requests by sending each to one target of a service or, for a scatter route, to one
// target of each shard.
package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/topology"
)

// Endpoint is a target together with this VM's connections to it and its record of the target's load.
type Endpoint struct {
	Target  *topology.Target
	Pool    *leafconn.Pool
	Tracker *dispatch.Tracker
	// limit is the limit that the target states with its replies.
	limit *targetLimit
	// notice is what the target has said about new requests.
	notice *notice
	// limitSenders returns which VMs share that limit.
	limitSenders func() dispatch.LimitSenders
	// coldLimiter counts this VM's requests to the target while it is cold.
	coldLimiter *dispatch.ColdLimiter
	// coldShare is how many requests a second this VM may send while the target is cold; negative means no limit.
	coldShare int
	// local reports that the target is in this VM's zone.
	local bool
	// owned reports that this VM is the preferred sender in the target's zone. If the service has more targets than the
	// zone has VMs, the preferred sender is the VM that ranks first for the target. Otherwise there is one only if a VM is
	// alone in the zone.
	owned bool
	// warm reports that connections to the target are opened ahead of requests.
	warm bool
	// sharers is the number of VMs taken to run in the target's zone, at least 1.
	sharers int
}

// FleetView is this VM's view of the fleet.
type FleetView struct {
	// All and InZone are upper bounds on the number of running VMs, in total and per zone.
	All    int
	InZone map[ident.Zone]int
	// Peers are the IDs of the usable VMs in this VM's zone, Members those in all zones. Both include this VM.
	Peers, Members []ident.VMID
	// MembersIn and CoordinatorsIn are the IDs of the usable VMs and coordinators of each zone, this VM included.
	MembersIn, CoordinatorsIn map[ident.Zone][]ident.VMID
	// Coordinators counts the VMs of each zone that run the searches of others; Coordinator reports that this VM is one.
	// LocalCoordinators are the IDs of the usable ones in this VM's zone, this VM included if it is one.
	Coordinators      map[ident.Zone]int
	Coordinator       bool
	LocalCoordinators []ident.VMID
	// ExtraShare is this VM's part of the fleet's constant of extra sends to shards, from 0 to 1.
	ExtraShare float64
}

// allCoordinators returns the number of coordinators in all zones.
func (f *FleetView) allCoordinators() int {
	n := 0
	for _, c := range f.Coordinators {
		n += c
	}
	return n
}

// sizeFor returns the number of VMs that share a target in a zone. shard reports that the target holds a shard, whose
// requests come mostly from coordinators.
func (f *FleetView) sizeFor(zone ident.Zone, shard bool) dispatch.FleetSize {
	size := dispatch.FleetSize{All: f.All, InZone: f.InZone[zone]}
	if shard {
		size.Coordinators, size.CoordinatorsInZone, size.Coordinator = f.allCoordinators(), f.Coordinators[zone], f.Coordinator
	}
	return size
}

// extraShare returns this VM's part of the constant of extra sends to a service.
func (f *FleetView) extraShare(shard bool) float64 {
	if shard && f.ExtraShare > 0 {
		return f.ExtraShare
	}
	return 1 / float64(max(1, f.All))
}

// senders returns the VMs of this VM's zone that send to a target there as a rule.
func (f *FleetView) senders(shard bool) []ident.VMID {
	if shard && len(f.LocalCoordinators) > 0 {
		return f.LocalCoordinators
	}
	return f.Peers
}

// endpointSet holds the Endpoint of each target in one topology snapshot. It is immutable.
type endpointSet struct {
	snapshot  *topology.Snapshot
	byService map[ident.ServiceID][]*Endpoint
	// standby holds targets of this VM's zone whose services no route names yet. Before an index is partitioned anew, the
	// targets of its new shards register some seconds before a configuration names them.
	standby map[ident.ServiceID][]*Endpoint
	// zones are the zones that have targets.
	zones []ident.Zone
	fleet FleetView
}

// Update replaces the topology snapshot and the view of the fleet. Targets that are still the same process keep their
// connections and observed load; the connections to all others are closed. Targets of services that the snapshot's routing
// table does not name get no requests.
func (s *Service) Update(snapshot *topology.Snapshot, fleet FleetView) {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	old := s.endpoints.Load()
	next := &endpointSet{snapshot: snapshot, byService: map[ident.ServiceID][]*Endpoint{}, standby: map[ident.ServiceID][]*Endpoint{}, fleet: fleet}
	kept := map[*leafconn.Pool]bool{}
	for service, targets := range snapshot.Targets {
		if snapshot.Table == nil {
			break
		}
		if !snapshot.Table.Names(service) {
			next.standby[service] = s.standbyEndpoints(old, targets, next)
			for _, e := range next.standby[service] {
				kept[e.Pool] = true
			}
			continue
		}
		for _, t := range targets {
			e := s.newEndpoint(old, t, next)
			kept[e.Pool] = true
			next.byService[service] = append(next.byService[service], e)
			if !slices.Contains(next.zones, t.Zone) {
				next.zones = append(next.zones, t.Zone)
			}
		}
	}
	s.endpoints.Store(next)
	for _, byService := range []map[ident.ServiceID][]*Endpoint{old.byService, old.standby} {
		for _, list := range byService {
			for _, e := range list {
				if !kept[e.Pool] {
					e.Pool.Close()
				}
			}
		}
	}
}

// standbyEndpoints returns the endpoints of a service that no route names yet: the targets of this VM's zone that are not
// leaving, if this VM sends to shards. Their pools open one connection each, so that the first searches over them do not
// wait for new connections to every shard.
func (s *Service) standbyEndpoints(old *endpointSet, targets []*topology.Target, next *endpointSet) []*Endpoint {
	if !slices.Contains(next.fleet.senders(true), s.VMID) {
		return nil
	}
	var list []*Endpoint
	for _, t := range targets {
		if t.Zone != s.Zone || !t.LeavingSince.IsZero() {
			continue
		}
		e := &Endpoint{Target: t, local: true, coldShare: -1}
		s.connect(e, old, standbyConnections)
		e.Pool.SetLimit(standbyConnections)
		list = append(list, e)
	}
	return list
}

// connect gives an endpoint the connections and the observed load of the same process in the old set, or new ones.
func (s *Service) connect(e *Endpoint, old *endpointSet, limit int) {
	for _, list := range [][]*Endpoint{old.byService[e.Target.Service], old.standby[e.Target.Service]} {
		for _, prev := range list {
			if prev.Target.SameProcess(e.Target) {
				e.Pool, e.Tracker, e.limit, e.notice, e.coldLimiter = prev.Pool, prev.Tracker, prev.limit, prev.notice, prev.coldLimiter
				return
			}
		}
	}
	tracker := dispatch.NewTracker()
	e.Tracker, e.limit, e.notice, e.coldLimiter = tracker, new(targetLimit), s.notices.find(e.Target), new(dispatch.ColdLimiter)
	e.Pool = leafconn.NewPool(e.Target.ID, e.Target.Address, s.Protocol, s.Dialer, limit, &s.Connections, func(took time.Duration, err error) {
		tracker.Dialed(time.Now(), took, err)
	})
}

// newEndpoint returns the Endpoint of a target for the set next. The Endpoint takes over the connections and the
// observed load from the old set if the target is the same process there.
func (s *Service) newEndpoint(old *endpointSet, t *topology.Target, next *endpointSet) *Endpoint {
	shard := next.snapshot.Table.IsShard(t.Service)
	size := next.fleet.sizeFor(t.Zone, shard)
	e := &Endpoint{Target: t, local: t.Zone == s.Zone, sharers: max(1, size.InZone)}
	if size.CoordinatorsInZone > 0 {
		e.sharers = size.CoordinatorsInZone
	}
	share := dispatch.ConnectionShare(next.snapshot.Table.Services[t.Service].MaxConnections, size, e.local)
	s.connect(e, old, share)
	e.Pool.SetLimit(share)
	e.limitSenders = sync.OnceValue(func() dispatch.LimitSenders { return s.limitSenders(t, &next.fleet, shard) })
	e.coldShare = -1
	if rate := next.snapshot.Table.Services[t.Service].ColdRate; rate > 0 {
		e.coldShare = dispatch.ColdShare(rate*s.Cold.Factor+s.Cold.Slack, next.fleet.All, rank(s.VMID, next.fleet.Members, t.ID))
	}
	senders := next.fleet.senders(shard)
	sends := slices.Contains(senders, s.VMID)
	if e.local && sends && len(next.snapshot.Targets[t.Service]) > len(senders) {
		e.owned = rank(s.VMID, senders, t.ID) == 0
	} else if e.local && sends {
		e.owned = len(senders) <= 1
	}
	e.warm = e.local && sends && t.LeavingSince.IsZero() && (e.owned || len(next.snapshot.Targets[t.Service]) <= warmAllMaxTargets)
	return e
}

// rank returns this VM's place, from 0, among the VMs in the order of rendezvous hashing for the target.
func rank(self ident.VMID, vms []ident.VMID, target ident.TargetID) int {
	hash := func(id ident.VMID) uint64 { return xxhash.Sum64String(string(id) + "\x00" + string(target)) }
	place, mine := 0, hash(self)
	for _, id := range vms {
		if id != self && hash(id) > mine {
			place++
		}
	}
	return place
}

// isCold reports whether the target is in cold start.
func (e *Endpoint) isCold(now time.Time) bool { return now.Before(e.Target.ColdUntil) }

// withinColdShare reports whether the cold-start limit, if one applies, allows this VM to send one more request.
func (e *Endpoint) withinColdShare(now time.Time) bool {
	return e.coldShare < 0 || !e.isCold(now) || e.coldLimiter.CanSend(now, e.coldShare)
}

// Maintain closes connections that were idle too long and opens connections ahead of requests: to the local targets
// that this VM owns and to all local targets of small services, unless they are leaving or hold a shard that other VMs
// of the zone send to as coordinators. It must be called periodically.
func (s *Service) Maintain(now time.Time) {
	set := s.endpoints.Load()
	for _, list := range set.byService {
		for _, e := range list {
			e.Pool.CloseExpired(now)
			if e.warm && e.notice.departure.Stage(now) == dispatch.Staying {
				e.Pool.Warm(warmConnections)
			}
		}
	}
	for _, list := range set.standby {
		for _, e := range list {
			e.Pool.CloseExpired(now)
			e.Pool.Warm(standbyConnections)
		}
	}
	s.notices.prune(now, set)
}

// Connections that are opened ahead of requests.
const (
	// warmConnections is the number of connections to each target.
	warmConnections = 2
	// standbyConnections is the number of connections to a target whose service no route names yet.
	standbyConnections = 1
	// warmAllMaxTargets is the largest number of targets of a service at which this VM connects to all local targets of
	// the service.
	warmAllMaxTargets = 6
)
