package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/routing"
)

// Times after which a send whose result is no longer needed is cut off by closing its connection.
const (
	// abandonGrace lets a paused target reply, so that its connection is kept; a connection that is silent for longer
	// is treated as broken.
	abandonGrace = 700 * time.Millisecond
	// callerLeftGrace applies after the caller has left. It is shorter because a target must not go on working for half a
	// second on a request that nobody waits for.
	callerLeftGrace = 250 * time.Millisecond
)

// endReason is why a job ended.
type endReason int

const (
	endAnswered endReason = iota
	endFailed
	endDeadline
	endCallerLeft
	endStopping
)

// String returns the reason as it appears in responses and logs.
func (e endReason) String() string {
	return [...]string{"answered", "too few targets could serve the request", "the time for the request is over", "the caller left",
		"this VM is stopping"}[e]
}

// job is the state of one request in progress. It has one unit for a request to a single service, or one for each
// shard.
type job struct {
	s       *Service
	set     *endpointSet
	route   *routing.Route
	req     *leafconn.Request
	arrived time.Time
	// answerBy is when a response should leave to meet the route's objective.
	answerBy  time.Time
	estimator *dispatch.LatencyEstimator
	// estimate is the route's latency estimate when the job began.
	estimate dispatch.LatencyEstimate
	units    []unit
	results  chan unitResult
	// covered counts the units with a successful reply.
	covered int
	// extraSends counts the sends of units after their first one, paid or free. A free one counts even if no target was
	// left for it.
	extraSends int
	// deniedExtraSends counts the extra sends that the budget did not allow.
	deniedExtraSends int
	// relayed holds, by zone, the units whose first sends go through a VM of that zone; relayZones whether a zone has
	// such a VM. zoneOrder is the order in which this request prefers zones of equal distance.
	relayed    map[ident.Zone][]relayed
	relayZones map[ident.Zone]bool
	zoneOrder  map[ident.Zone]int
	// cancelRelays end the calls to the VMs that relay sends.
	cancelRelays []context.CancelFunc
}

// unit is the part of a job that any single target of a service can run.
type unit struct {
	service ident.ServiceID
	// tried are the targets that the unit was submitted to, without those that may be tried again after a refusal.
	tried []*Endpoint
	// refused are the tried targets that refused without running the unit; they are tried again if no other target is
	// left.
	refused []*Endpoint
	// broken are the targets whose connections broke before a reply.
	broken []ident.TargetID
	// sends counts all sends, including those that did not run.
	sends int
	// ran are the targets of the sends that may have run, one entry for each send.
	ran []*Endpoint
	// inFlight are the sends without a result.
	inFlight []*attempt
	// hedgeAt is when the unit is hedged unless it has a reply; the zero time means that it is not hedged.
	hedgeAt time.Time
	// reply is a successful reply; failure is an unsuccessful one, which is passed on if no send succeeds.
	reply   *leafconn.Reply
	failure *leafconn.Reply
	// closed reports that the unit gets no more sends and its results are no longer waited for.
	closed  bool
	lastErr error
}

// attempt is one send of a unit.
type attempt struct {
	// send is nil if the send is relayed.
	send     *leafconn.Send
	endpoint *Endpoint
	// started is when the send was submitted.
	started time.Time
	// relayed reports that the send goes through a VM of the target's zone.
	relayed bool
	// first reports the first send of the unit, whose latency feeds the route's estimate.
	first bool
	// paid reports that the send counts against the budget of extra sends.
	paid bool
}

// abandon gives the send up; a reply within the grace keeps its connection open. A relayed send ends with its job.
func (a *attempt) abandon(grace time.Duration) {
	if a.send != nil {
		a.send.Abandon(grace)
	}
}

// unitResult is the result of an attempt.
type unitResult struct {
	unit    int
	attempt *attempt
	result  leafconn.Result
}

// maxSendsPerUnit bounds the sends of one unit, including those that provably did not run.
const maxSendsPerUnit = 6

// newJob returns the job of a request. For a route that splits requests between services it draws one by weight.
func (s *Service) newJob(set *endpointSet, route *routing.Route, req *leafconn.Request, arrived, answerBy time.Time) *job {
	j := &job{s: s, set: set, route: route, req: req, arrived: arrived, answerBy: answerBy, estimator: s.estimator(route)}
	j.estimate = j.estimator.Estimate()
	if route.IsScatter() {
		j.units = make([]unit, len(route.Shards))
		for i, service := range route.Shards {
			j.units[i].service = service
		}
	} else {
		j.units = []unit{{service: route.Pick(rand.Float64())}}
	}
	j.results = make(chan unitResult, len(j.units)*maxSendsPerUnit)
	if s.Relays != nil && route.IsScatter() {
		j.relayed, j.relayZones, j.zoneOrder = map[ident.Zone][]relayed{}, map[ident.Zone]bool{}, randomOrder(set.zones)
	}
	return j
}

// randomOrder returns the zones with their places in a random order, from 0.
func randomOrder(zones []ident.Zone) map[ident.Zone]int {
	order := make(map[ident.Zone]int, len(zones))
	for place, at := range rand.Perm(len(zones)) {
		order[zones[at]] = place
	}
	return order
}

// run sends the job's units and handles their results until the request can be answered, has failed, has reached its
// deadline, its caller has left, or the process is about to end.
func (j *job) run(ctx context.Context) endReason {
	defer j.abandonInFlight(abandonGrace)
	if j.s.ending.Err() != nil {
		return endStopping
	}
	if !j.servable() {
		return endFailed
	}
	now := time.Now()
	for i := range j.units {
		j.s.budget(j.units[i].service).RecordFirstSend(now.Sub(j.s.start))
		j.sendFirst(i, now)
	}
	j.sendRelayed(now)
	if s := j.s; s.Pace != nil && j.route.IsScatter() {
		s.Pace.Observe(time.Now(), len(j.units), time.Since(now))
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now = time.Now()
		switch j.progress().Next(now, j.answerBy) {
		case dispatch.Answer:
			return endAnswered
		case dispatch.GiveUp:
			return endFailed
		case dispatch.Wait:
		}
		if !now.Before(j.req.Deadline) {
			return endDeadline
		}
		timer.Reset(time.Until(j.nextWake(now)))
		select {
		case r := <-j.results:
			now = time.Now()
			j.handleResult(r, now)
			j.handlePending(now)
		case <-timer.C:
			j.onTimer(time.Now())
		case <-ctx.Done():
			j.abandonInFlight(callerLeftGrace)
			return endCallerLeft
		case <-j.s.ending.Done():
			if j.covered >= j.minCovered() {
				return endAnswered
			}
			return endStopping
		}
	}
}

// onTimer sends the hedges that are due. It handles waiting results first: on a small or busy VM the replies of many
// shards arrive while their hedges fall due, and a unit that has its reply must not be hedged.
func (j *job) onTimer(now time.Time) {
	j.handlePending(now)
	j.sendHedges(now)
}

// handlePending handles the results that have arrived, so that the next decision takes all of them into account.
func (j *job) handlePending(now time.Time) {
	for {
		select {
		case r := <-j.results:
			j.handleResult(r, now)
		default:
			return
		}
	}
}

// servable reports whether enough units have a target that may be used, can be reached, is not known to be down and takes one
// more request.
func (j *job) servable() bool {
	now, isolated := time.Now(), j.s.isolated.Load()
	n := 0
	for i := range j.units {
		if slices.ContainsFunc(j.set.byService[j.units[i].service], func(e *Endpoint) bool {
			return j.allowed(e) && !e.hasLeft(now) && (e.local || !isolated) && !e.Tracker.Load(now).Down && e.withinLimit(now, j.viaRelay(e), firstSend)
		}) {
			n++
		}
	}
	return n >= j.minCovered()
}

// minCovered returns how many units need a successful reply for the request to succeed.
func (j *job) minCovered() int {
	if j.route.IsScatter() {
		return j.route.MinShards()
	}
	return 1
}

// allowed reports whether the target's zone is in service and in a region that the route allows.
func (j *job) allowed(e *Endpoint) bool {
	if j.set.snapshot.ZonesOut[e.Target.Zone] {
		return false
	}
	return len(j.route.Regions) == 0 || slices.Contains(j.route.Regions, j.s.Regions[e.Target.Zone])
}

// progress returns the input for the decision whether to answer, give up or wait.
func (j *job) progress() dispatch.Progress {
	p := dispatch.Progress{Shards: len(j.units), MinCovered: j.minCovered(), Covered: j.covered}
	for i := range j.units {
		if u := &j.units[i]; u.reply == nil && !u.closed {
			p.Pending++
		}
	}
	return p
}

// nextWake returns when the job must act next if no result arrives.
func (j *job) nextWake(now time.Time) time.Time {
	next := j.req.Deadline
	if now.Before(j.answerBy) && j.answerBy.Before(next) {
		next = j.answerBy
	}
	for i := range j.units {
		u := &j.units[i]
		if u.reply == nil && !u.closed && !u.hedgeAt.IsZero() && u.hedgeAt.Before(next) {
			next = u.hedgeAt
		}
	}
	return next
}

// handleResult applies the result of a send to its unit and, unless the send succeeded, sends the unit again if that is
// allowed.
func (j *job) handleResult(r unitResult, now time.Time) {
	u := &j.units[r.unit]
	u.inFlight = slices.DeleteFunc(u.inFlight, func(a *attempt) bool { return a == r.attempt })
	if u.reply != nil {
		if reply := r.result.Reply; r.attempt.relayed && reply != nil && reply.OK() {
			// The records of this reply are merged into those of its batch, so the reply to the hedge must not count.
			u.reply = reply
		}
		return
	}
	switch reply := r.result.Reply; {
	case reply != nil && reply.OK():
		u.reply = reply
		j.covered++
		for _, a := range slices.Clone(u.inFlight) {
			a.abandon(abandonGrace)
		}
		return
	case reply != nil && reply.Disposition == leafconn.Ran:
		if reply.Signature != "" {
			u.failure = reply
		}
		if reply.Status < 500 && reply.Signature != "" && !j.route.IsScatter() {
			u.closed = true
			return
		}
		j.resend(r.unit, now, j.route.Idempotent, true)
	case reply != nil:
		u.removeRun(r.attempt.endpoint)
		if reply.Disposition == leafconn.NotRun {
			u.refused = append(u.refused, r.attempt.endpoint)
		}
		j.resend(r.unit, now, true, reply.Disposition == leafconn.NotRun)
	case !r.result.Sent():
		u.lastErr = r.result.Err
		u.removeRun(r.attempt.endpoint)
		if r.attempt.paid {
			j.s.budget(u.service).Refund(now.Sub(j.s.start))
		}
		j.resend(r.unit, now, true, false)
	default:
		u.lastErr = r.result.Err
		u.broken = append(u.broken, r.attempt.endpoint.Target.ID)
		j.resend(r.unit, now, j.route.Idempotent, true)
	}
}

// resend sends a unit once more if repeatable is set, the unit's send counts allow a further send and the request's
// deadline has not passed. If paid is set, the send also needs the budget. If the unit is not sent again, resend closes
// it, unless one of its sends is still in flight.
func (j *job) resend(i int, now time.Time, repeatable, paid bool) {
	u := &j.units[i]
	counts := j.sendCounts(u)
	if repeatable && (counts.AllowsNewTarget() || counts.AllowsRepeat()) && now.Before(j.req.Deadline) {
		if !paid {
			j.extraSends++
			j.send(i, now, freeSend)
			return
		}
		if j.sendExtra(i, now) {
			return
		}
	}
	if len(u.inFlight) == 0 {
		u.closed = true
	}
}

// sendHedges sends each unit whose hedge is due to one more target.
func (j *job) sendHedges(now time.Time) {
	for i := range j.units {
		u := &j.units[i]
		if u.reply != nil || u.closed || u.hedgeAt.IsZero() || now.Before(u.hedgeAt) {
			continue
		}
		u.hedgeAt = time.Time{}
		if j.sendCounts(u).AllowsNewTarget() {
			j.sendExtra(i, now)
		}
	}
}

// sendExtra sends a unit once more if the budget of extra sends allows it, and reports whether it did.
func (j *job) sendExtra(i int, now time.Time) bool {
	budget := j.s.budget(j.units[i].service)
	if !budget.Take(now.Sub(j.s.start), j.set.fleet.extraShare(j.route.IsScatter())) {
		j.deniedExtraSends++
		return false
	}
	if !j.send(i, now, paidSend) {
		budget.Refund(now.Sub(j.s.start))
		return false
	}
	j.extraSends++
	return true
}

// abandonInFlight abandons the sends in flight. A reply within the grace keeps its connection open.
func (j *job) abandonInFlight(grace time.Duration) {
	for _, cancel := range j.cancelRelays {
		cancel()
	}
	for i := range j.units {
		for _, a := range j.units[i].inFlight {
			a.abandon(grace)
		}
	}
}

// mayHaveRun reports whether any send may have run.
func (j *job) mayHaveRun() bool {
	return slices.ContainsFunc(j.units, func(u unit) bool { return len(u.ran) > 0 })
}

// finalReply returns the reply that can be passed on to the caller: the successful one if there is one, else an
// unsuccessful one. It returns nil if the unit has neither.
func (u *unit) finalReply() *leafconn.Reply {
	if u.reply != nil {
		return u.reply
	}
	return u.failure
}
