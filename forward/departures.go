package forward

import (
	"sync"
	"time"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/topology"
)

const (
	// departureRetention is how long it is remembered that a process is leaving once the topology does not list it. A late
	// reading of the registry may list it again; a target ends within seconds of its departure.
	departureRetention = 2 * time.Minute
	// maxDepartures bounds the departures that are remembered beyond the listed targets.
	maxDepartures = 4096
)

// process identifies one process of a target, as topology.Target.SameProcess does.
type process struct {
	id      ident.TargetID
	address string
	started int64
}

func processOf(t *topology.Target) process { return process{t.ID, t.Address, t.Started} }

// departures remembers which processes have said that they are leaving, also while the topology does not list them. It is
// safe for concurrent use; the zero value is empty.
type departures struct {
	mu sync.Mutex
	// known holds the processes that are leaving, unlisted since when the topology has not listed each, if it does not.
	known    map[process]*dispatch.Departure
	unlisted map[process]time.Time
}

// find returns what a process has said about leaving.
func (d *departures) find(t *topology.Target) *dispatch.Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.known[processOf(t)]; known != nil {
		return known
	}
	return new(dispatch.Departure)
}

// remember keeps the departure of a process beyond its endpoint.
func (d *departures) remember(t *topology.Target, departure *dispatch.Departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known, d.unlisted = map[process]*dispatch.Departure{}, map[process]time.Time{}
	}
	d.known[processOf(t)] = departure
}

// prune forgets the processes that the topology has not listed for departureRetention, and earlier if they are too many.
func (d *departures) prune(now time.Time, set *endpointSet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.known) == 0 {
		return
	}
	listed := map[process]bool{}
	for _, targets := range set.snapshot.Targets {
		for _, t := range targets {
			listed[processOf(t)] = true
		}
	}
	for p := range d.known {
		since, known := d.unlisted[p]
		switch {
		case listed[p]:
			delete(d.unlisted, p)
		case !known:
			d.unlisted[p] = now
		case now.Sub(since) >= departureRetention:
			d.forget(p)
		}
	}
	for len(d.unlisted) > maxDepartures {
		d.forget(d.oldestUnlisted())
	}
}

func (d *departures) forget(p process) {
	delete(d.known, p)
	delete(d.unlisted, p)
}

func (d *departures) oldestUnlisted() (oldest process) {
	first := true
	for p, since := range d.unlisted {
		if first || since.Before(d.unlisted[oldest]) {
			oldest, first = p, false
		}
	}
	return oldest
}

// isLeaving reports whether the registry or the target itself says that it is leaving.
func (e *Endpoint) isLeaving(now time.Time) bool {
	return !e.Target.LeavingSince.IsZero() || e.departure.Stage(now) != dispatch.Staying
}

// hasLeft reports whether the target has said that it is leaving so long ago that it must get no request.
func (e *Endpoint) hasLeft(now time.Time) bool { return e.departure.Stage(now) == dispatch.Left }

// observeDeparture records that a target says in a reply that it is leaving.
func (s *Service) observeDeparture(e *Endpoint, leaving bool, now time.Time) {
	if !leaving || !e.departure.Announced(now) {
		return
	}
	s.departures.remember(e.Target, e.departure)
	// The process may have been listed anew since the request was sent.
	for _, other := range s.endpoints.Load().byService[e.Target.Service] {
		if other != e && other.Target.SameProcess(e.Target) {
			other.departure.Announced(now)
		}
	}
	if s.TargetLeaving != nil {
		s.TargetLeaving(e.Target)
	}
}
