package forward

import (
	"slices"
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/topology"
)

// relayFullFor is how long no request is sent to a target through a relay that had no share of the target's limit left.
const relayFullFor = 250 * time.Millisecond

// targetLimit is the limit that a target states, and what this VM knows of the share of its relay.
type targetLimit struct {
	dispatch.TargetLimiter
	relayFullUntil atomic.Pointer[time.Time]
}

// relayFull reports whether the VM that relays to the target had no share left a moment ago.
func (l *targetLimit) relayFull(now time.Time) bool {
	until := l.relayFullUntil.Load()
	return until != nil && now.Before(*until)
}

func (l *targetLimit) setRelayFull(now time.Time) {
	until := now.Add(relayFullFor)
	l.relayFullUntil.Store(&until)
}

// share returns this VM's share of a limit that the target states.
func (e *Endpoint) share(limit float64) dispatch.LimitShare { return e.limitSenders().Share(limit) }

// withinLimit reports whether the limit that the target states allows one more send. Through a relay, the relay's share
// counts. A hedge or a paid retry leaves one request for a first send.
func (e *Endpoint) withinLimit(now time.Time, viaRelay bool, kind sendKind) bool {
	if viaRelay {
		return !e.limit.relayFull(now)
	}
	spare := 0.0
	if kind == paidSend {
		spare = 1
	}
	return e.limit.CanSend(now, e.share, spare)
}

// observeLimit records the limit that a target's reply states, or that it states none. sent is when the request was sent.
// A reply of another process at the target's address says nothing about the target.
func (s *Service) observeLimit(e *Endpoint, reply *leafconn.Reply, sent, now time.Time) {
	switch {
	case reply == nil || reply.Disposition == leafconn.Misdirected:
	case reply.RateLimit > 0:
		s.learnLimit(e, reply.RateLimit, now)
	case reply.OK() && e.limit.NotStated(sent):
		s.limitChanged(e)
	}
}

// relayIsFull records that a relay did not send because it has no share left of the limit that the target stated to it. What
// it knows may be older than what this VM knows, so it does not renew a limit.
func (s *Service) relayIsFull(e *Endpoint, perSecond float64, now time.Time) {
	e.limit.setRelayFull(now)
	if e.limit.PerSecond() == 0 {
		s.learnLimit(e, perSecond, now)
	}
}

// learnLimit records a limit that a target stated.
func (s *Service) learnLimit(e *Endpoint, perSecond float64, now time.Time) {
	if e.limit.Stated(now, perSecond) {
		s.limitChanged(e)
	}
}

func (s *Service) limitChanged(e *Endpoint) {
	if s.LimitChanged != nil {
		s.LimitChanged(e.Target, e.limit.PerSecond())
	}
}

// limitSenders returns which VMs share the limit of a target, and this VM's place among them.
func (s *Service) limitSenders(t *topology.Target, fleet *FleetView, shard bool) dispatch.LimitSenders {
	senders := dispatch.LimitSenders{Fleet: fleet.sizeFor(t.Zone, shard), Local: t.Zone == s.Zone}
	local, localCount := fleet.MembersIn[t.Zone], senders.Fleet.InZone
	if senders.Fleet.CoordinatorsInZone > 0 {
		local, localCount = fleet.CoordinatorsIn[t.Zone], senders.Fleet.CoordinatorsInZone
	}
	remoteIn := fleet.MembersIn
	if senders.Fleet.Coordinators > 0 {
		remoteIn = fleet.CoordinatorsIn
	}
	var remote []ident.VMID
	for zone, ids := range remoteIn {
		if zone != t.Zone {
			remote = append(remote, ids...)
		}
	}
	switch {
	case slices.Contains(local, s.VMID):
		senders.Rank = rank(s.VMID, local, t.ID)
	case slices.Contains(remote, s.VMID):
		senders.Rank = localCount + rank(s.VMID, remote, t.ID)
	default:
		rest := slices.DeleteFunc(slices.Clone(fleet.Members), func(id ident.VMID) bool {
			return slices.Contains(local, id) || slices.Contains(remote, id)
		})
		senders.Rank = rank(s.VMID, rest, t.ID)
	}
	return senders
}
