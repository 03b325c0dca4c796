package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/leafconn"
)

// sendKind says why a send is made and whether it counts against the budget of extra sends.
type sendKind int

const (
	firstSend sendKind = iota
	// freeSend replaces a send that did not reach its target.
	freeSend
	// paidSend is a hedge or a retry that counts against the budget.
	paidSend
)

// sendFirst sends a unit for the first time, or collects it for a relay.
func (j *job) sendFirst(i int, now time.Time) {
	u := &j.units[i]
	candidates, at := j.nextTarget(u, j.set.byService[u.service], now, firstSend, true)
	if at < 0 {
		j.noTargetLeft(u)
		return
	}
	e := j.set.byService[u.service][at]
	if j.viaRelay(e) {
		j.relayed[e.Target.Zone] = append(j.relayed[e.Target.Zone], relayed{unit: i, endpoint: e, rtt: candidates[at].Load.RTT})
		return
	}
	if !j.submit(i, e, candidates[at].Load.RTT, now, firstSend) {
		j.send(i, now, firstSend)
	}
}

// send sends a unit to the target that nextTarget chooses, or to the next best if that one takes no more sends. It
// reports whether the unit was sent.
func (j *job) send(i int, now time.Time, kind sendKind) bool {
	u := &j.units[i]
	for u.sends < maxSendsPerUnit {
		candidates, at := j.nextTarget(u, j.set.byService[u.service], now, kind, false)
		if at < 0 {
			break
		}
		if j.submit(i, j.set.byService[u.service][at], candidates[at].Load.RTT, now, kind) {
			return true
		}
	}
	return j.noTargetLeft(u)
}

// submit sends a unit to a target and sets the time of its hedge. It reports whether the target's limit allows it and its
// connections took it.
func (j *job) submit(i int, e *Endpoint, rtt time.Duration, now time.Time, kind sendKind) bool {
	u := &j.units[i]
	if !e.take(now) {
		return false
	}
	a := j.begin(u, e, now, kind)
	a.send = &leafconn.Send{Request: j.req, Done: func(r leafconn.Result) { j.sendDone(i, a, r) }}
	if !e.Pool.Submit(a.send, now) {
		e.Tracker.End(now, now, dispatch.Abandoned, 0)
		e.giveBack(now)
		u.inFlight = u.inFlight[:len(u.inFlight)-1]
		u.removeRun(e)
		return false
	}
	u.hedgeAt = time.Time{}
	if j.route.Idempotent && j.sendCounts(u).AllowsNewTarget() {
		u.hedgeAt = now.Add(dispatch.HedgeDelay(j.estimate, rtt, j.route.Objective))
	}
	return true
}

// begin records a send of a unit to a target that starts now.
func (j *job) begin(u *unit, e *Endpoint, now time.Time, kind sendKind) *attempt {
	a := &attempt{endpoint: e, started: now, first: kind == firstSend, paid: kind == paidSend}
	u.tried = append(u.tried, e)
	u.sends++
	if e.isCold(now) {
		e.coldLimiter.Record(now)
	}
	e.Tracker.Begin(now)
	u.inFlight = append(u.inFlight, a)
	u.ran = append(u.ran, e)
	return a
}

// nextTarget returns the candidates for a unit's next send and the index of the best one; the index is -1 if there is
// no usable candidate. It prefers a target that was not tried, then one that refused without running the unit, then one
// that broke the connection or failed and can take a send without waiting. relayable reports that the send may go through a
// VM of the target's zone.
func (j *job) nextTarget(u *unit, list []*Endpoint, now time.Time, kind sendKind, relayable bool) ([]dispatch.Candidate, int) {
	choose := func(excluded func(*Endpoint) bool) ([]dispatch.Candidate, int) {
		return j.choose(list, now, func(e *Endpoint) bool {
			if excluded(e) {
				return true
			}
			if !e.withinLimit(now, relayable && j.viaRelay(e), kind) {
				j.s.withheld.Add(1)
				return true
			}
			return false
		})
	}
	if j.sendCounts(u).AllowsNewTarget() {
		candidates, at := choose(func(e *Endpoint) bool { return slices.Contains(u.tried, e) })
		if at < 0 && len(u.refused) > 0 {
			u.tried = slices.DeleteFunc(u.tried, func(e *Endpoint) bool { return slices.Contains(u.refused, e) })
			u.refused = nil
			candidates, at = choose(func(e *Endpoint) bool { return slices.Contains(u.tried, e) })
		}
		if at >= 0 {
			return candidates, at
		}
	}
	if !j.sendCounts(u).AllowsRepeat() {
		return nil, -1
	}
	return choose(func(e *Endpoint) bool {
		return !slices.Contains(u.ran, e) || e.Pool.Free(now) == 0 || slices.ContainsFunc(u.inFlight, func(a *attempt) bool { return a.endpoint == e })
	})
}

// sendCounts counts the sends of a unit that may have run, and their targets.
func (j *job) sendCounts(u *unit) dispatch.SendCounts {
	targets := 0
	for i, e := range u.ran {
		if !slices.Contains(u.ran[:i], e) {
			targets++
		}
	}
	return dispatch.SendCounts{MayHaveRun: len(u.ran), Targets: targets, MaxTargets: j.route.MaxTargets}
}

// removeRun removes a send that provably did not run from the unit's runs.
func (u *unit) removeRun(e *Endpoint) {
	if i := slices.Index(u.ran, e); i >= 0 {
		u.ran = slices.Delete(u.ran, i, i+1)
	}
}

// choose returns the targets in list as candidates and the index of the best one; the index is -1 if no candidate may
// be used.
func (j *job) choose(list []*Endpoint, now time.Time, excluded func(*Endpoint) bool) ([]dispatch.Candidate, int) {
	if len(list) == 0 {
		return nil, -1
	}
	candidates := make([]dispatch.Candidate, len(list))
	for k, e := range list {
		candidates[k] = dispatch.Candidate{Load: e.Tracker.Load(now), Local: e.local, RanksFirst: e.owned, Sharers: e.sharers,
			ZoneOrder: j.zoneOrder[e.Target.Zone], Slots: e.Target.Slots, Cold: e.isCold(now), Leaving: e.isLeaving(now), FreeConnections: e.Pool.Free(now),
			Excluded: !j.allowed(e) || e.hasLeft(now) || !e.withinColdShare(now) || excluded(e)}
	}
	return candidates, dispatch.Choose(candidates, j.estimate.Median, rand.IntN(len(list)))
}

// noTargetLeft cancels the hedge of a unit that has no target left, and closes the unit if none of its sends is in
// flight. It always returns false, for send to return.
func (j *job) noTargetLeft(u *unit) bool {
	u.hedgeAt = time.Time{}
	if len(u.inFlight) == 0 {
		u.closed = true
	}
	return false
}

// sendDone records the result of a send and passes it to run. It is called on the goroutine that ends the send
// and does not block, because results has room for all sends.
func (j *job) sendDone(i int, a *attempt, r leafconn.Result) {
	if r.Reply != nil && j.route.IsScatter() {
		// Only the greatest records can be part of the response, so the rest is not kept while other shards are awaited.
		r.Reply.Body = greatest(r.Reply.Body, j.route.TopRecords)
	}
	expected := j.estimate.Median
	j.s.observeLimit(a.endpoint, r.Reply, a.started, r.At)
	j.s.observeRest(a.endpoint, r.Reply, a.started, r.At)
	j.s.observeDeparture(a.endpoint, r.Reply != nil && r.Reply.Leaving, r.At)
	if r.Reply != nil && !a.endpoint.local {
		j.s.recordRemoteReply(r.At)
	}
	if r.Reply == nil && !r.Sent() {
		a.endpoint.limit.Return()
	}
	a.endpoint.Tracker.End(a.started, r.At, sendResult(&r), expected)
	if r.Reply != nil && a.first && r.Reply.OK() {
		j.estimator.Observe(r.At.Sub(a.started) - a.endpoint.Tracker.Load(r.At).RTT)
	}
	j.results <- unitResult{unit: i, attempt: a, result: r}
}

// sendResult classifies the result of a send for the target's tracker.
func sendResult(r *leafconn.Result) dispatch.SendResult {
	switch {
	case r.Reply == nil && r.Abandoned && !r.Sent():
		return dispatch.Abandoned
	case r.Reply == nil:
		return dispatch.Failed
	case r.Reply.Disposition == leafconn.NotRun:
		return dispatch.Refused
	case r.Reply.Disposition == leafconn.Misdirected:
		return dispatch.WrongProcess
	case r.Reply.Status >= 500 || r.Reply.Status < 300 && r.Reply.Signature == "":
		return dispatch.Failed
	}
	return dispatch.Replied
}
