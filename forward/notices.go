package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/topology"
)

const (
	// noticeRetention is how long the notice of a process is remembered once the topology does not list it. A late reading of
	// the registry may list it again; a target ends within seconds of its departure.
	noticeRetention = 2 * time.Minute
	// maxUnlisted bounds the notices that are remembered beyond those of the listed targets.
	maxUnlisted = 4096
)

// notice is what one process of a target has said about new requests.
type notice struct {
	departure dispatch.Departure
	// rest is the time for which it wants no requests from this VM.
	rest dispatch.Rest
}

// process identifies one process of a target, as topology.Target.SameProcess does.
type process struct {
	id      ident.TargetID
	address string
	started int64
}

func processOf(t *topology.Target) process { return process{t.ID, t.Address, t.Started} }

// notices remembers the notices of processes that have given one, also while the topology does not list them. It is safe for
// concurrent use; the zero value is empty.
type notices struct {
	mu    sync.Mutex
	known map[process]*notice
	// unlisted holds since when the topology has not listed a process.
	unlisted map[process]time.Time
}

// find returns the notice of a process, a new one if it has given none.
func (n *notices) find(t *topology.Target) *notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.known[processOf(t)]; known != nil {
		return known
	}
	return new(notice)
}

// remember keeps the notice of a process beyond its endpoint.
func (n *notices) remember(t *topology.Target, given *notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known == nil {
		n.known, n.unlisted = map[process]*notice{}, map[process]time.Time{}
	}
	n.known[processOf(t)] = given
}

// prune forgets the processes that the topology has not listed for noticeRetention, and earlier if they are too many.
func (n *notices) prune(now time.Time, set *endpointSet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.known) == 0 {
		return
	}
	listed := map[process]bool{}
	for _, targets := range set.snapshot.Targets {
		for _, t := range targets {
			listed[processOf(t)] = true
		}
	}
	for p := range n.known {
		since, unlisted := n.unlisted[p]
		switch {
		case listed[p]:
			delete(n.unlisted, p)
		case !unlisted:
			n.unlisted[p] = now
		case now.Sub(since) >= noticeRetention:
			n.forget(p)
		}
	}
	for len(n.unlisted) > maxUnlisted {
		n.forget(n.oldestUnlisted())
	}
}

func (n *notices) forget(p process) {
	delete(n.known, p)
	delete(n.unlisted, p)
}

func (n *notices) oldestUnlisted() (oldest process) {
	first := true
	for p, since := range n.unlisted {
		if first || since.Before(n.unlisted[oldest]) {
			oldest, first = p, false
		}
	}
	return oldest
}

// isLeaving reports whether the registry or the target itself says that it is leaving.
func (e *Endpoint) isLeaving(now time.Time) bool {
	return !e.Target.LeavingSince.IsZero() || e.notice.departure.Stage(now) != dispatch.Staying
}

// hasLeft reports whether the target has said that it is leaving so long ago that it must get no request.
func (e *Endpoint) hasLeft(now time.Time) bool { return e.notice.departure.Stage(now) == dispatch.Left }

// observeDeparture records that a target says in a reply that it is leaving.
func (s *Service) observeDeparture(e *Endpoint, leaving bool, now time.Time) {
	if !leaving || !e.notice.departure.Announced(now) {
		return
	}
	s.rememberNotice(e)
	for _, other := range s.listedAnew(e) {
		other.notice.departure.Announced(now)
	}
	if s.TargetLeaving != nil {
		s.TargetLeaving(e.Target)
	}
}

// observeRest records the end of a send, and the rest that its reply states.
func (s *Service) observeRest(e *Endpoint, reply *leafconn.Reply, sent, now time.Time) {
	e.notice.rest.Ended(sent, reply != nil && reply.Disposition == leafconn.Ran)
	if reply == nil || reply.RetryAfter <= 0 || reply.Disposition == leafconn.Misdirected || !e.notice.rest.Stated(now, reply.RetryAfter, rand.Float64()) {
		return
	}
	s.rememberNotice(e)
	for _, other := range s.listedAnew(e) {
		other.notice.rest.Stated(now, reply.RetryAfter, rand.Float64())
	}
	if s.TargetRests != nil {
		s.TargetRests(e.Target, reply.RetryAfter)
	}
}

func (s *Service) rememberNotice(e *Endpoint) { s.notices.remember(e.Target, e.notice) }

// listedAnew returns the endpoints of the same process that have another notice: the topology listed the process anew while a
// request was in flight.
func (s *Service) listedAnew(e *Endpoint) []*Endpoint {
	var others []*Endpoint
	for _, other := range s.endpoints.Load().byService[e.Target.Service] {
		if other.notice != e.notice && other.Target.SameProcess(e.Target) {
			others = append(others, other)
		}
	}
	return others
}
