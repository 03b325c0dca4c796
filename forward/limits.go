package forward

import (
	"fmt"
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

func (l *targetLimit) setRelayFull(until time.Time) { l.relayFullUntil.Store(&until) }

// share returns this VM's share of a limit that the target states.
func (e *Endpoint) share(limit float64) dispatch.LimitShare { return e.limitSenders().Share(limit) }

// withinLimit reports whether the limit and the rest that the target states allow one more send. Through a relay, those of
// the relay count. A hedge or a paid retry leaves one request for a first send.
func (e *Endpoint) withinLimit(now time.Time, viaRelay bool, kind sendKind) bool {
	if viaRelay {
		return !e.limit.relayFull(now)
	}
	if !e.notice.rest.CanSend(now) {
		return false
	}
	spare := 0.0
	if kind == paidSend {
		spare = 1
	}
	return e.limit.CanSend(now, e.share, spare)
}

// take reports whether the limit and the rest that the target states allow a send now and, if so, counts it.
func (e *Endpoint) take(now time.Time) bool {
	return e.notice.rest.CanSend(now) && e.limit.Take(now, e.share) && e.notice.rest.Take(now)
}

// giveBack gives back a send that take counted and that was not sent.
func (e *Endpoint) giveBack(now time.Time) {
	e.limit.Return()
	e.notice.rest.Ended(now, false)
}

// explain returns the reason of a request that was not served, with the targets that wanted none.
func (j *job) explain(reason endReason, now time.Time) string {
	resting, left := 0, 0
	for i := range j.units {
		for _, e := range j.set.byService[j.units[i].service] {
			if e.notice.rest.Remaining(now) > 0 {
				resting++
			}
			if e.hasLeft(now) {
				left++
			}
		}
	}
	if resting+left == 0 {
		return reason.String()
	}
	return fmt.Sprintf("%s (targets that want no requests for a while: %d, that have said that they leave: %d)", reason, resting, left)
}

// restWait returns how long none of the targets that could serve a request takes it because of the rests that they state; 0 if
// enough take one.
func (j *job) restWait(now time.Time) time.Duration {
	var waits []time.Duration
	for i := range j.units {
		wait := time.Duration(-1)
		for _, e := range j.set.byService[j.units[i].service] {
			if rest := e.notice.rest.Remaining(now); j.allowed(e) && !e.hasLeft(now) && (wait < 0 || rest < wait) {
				wait = rest
			}
		}
		if wait >= 0 {
			waits = append(waits, wait)
		}
	}
	if len(waits) < j.minCovered() {
		return 0
	}
	slices.Sort(waits)
	return waits[j.minCovered()-1]
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
	e.limit.setRelayFull(now.Add(relayFullFor))
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
