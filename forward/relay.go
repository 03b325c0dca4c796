package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
)

// Relay is a request that a VM of another zone sends to targets of its zone. The zones exchange one message each way
// instead of one for each target, and the VM of the other zone has the connections open.
type Relay struct {
	// Request is the caller's request with its deadline.
	Request *leafconn.Request
	Sends   []RelaySend
	// TopRecords is how many of the greatest records a batch of results holds.
	TopRecords int
	// FlushAfter is when the results received so far are returned although others are missing.
	FlushAfter time.Duration
}

// RelaySend names a target of a relayed request.
type RelaySend struct {
	Service ident.ServiceID
	Target  ident.TargetID
}

// RelayStatus is the outcome of one relayed send.
type RelayStatus int

// Outcomes of relayed sends.
const (
	// RelayRan means that the target processed the request; the HTTP status may still be an error.
	RelayRan RelayStatus = iota
	// RelayRefused means that the target refused the request before running it.
	RelayRefused
	// RelayMisdirected means that another process has the target's address and did not run the request.
	RelayMisdirected
	// RelayNotSent means that no byte of the request can have reached the target.
	RelayNotSent
	// RelayBroken means that the connection ended before a whole reply; the request may have run.
	RelayBroken
)

// RelayResult is the result of one relayed send.
type RelayResult struct {
	// Index is the position of the send in Relay.Sends.
	Index  int
	Status RelayStatus
	// HTTPStatus and Signature are those of the reply, if there was one. Took is the time that the send took.
	HTTPStatus int
	Signature  string
	Took       time.Duration
	// RateLimit is the limit that the target states, in requests a second of all VMs; 0 if it states none. With RelayNotSent
	// it says that the relay has no share of that limit left.
	RateLimit float64
	// Leaving reports that the target says that it is leaving.
	Leaving bool
	// RetryAfter is how long the target wants no request from the relay; 0 if it states no time. With RelayNotSent it says
	// that this is why.
	RetryAfter time.Duration
}

// OK reports whether the records of the reply are part of its batch.
func (r *RelayResult) OK() bool {
	return r.Status == RelayRan && r.HTTPStatus >= 200 && r.HTTPStatus < 300 && r.Signature != ""
}

// RelayBatch holds the results of some sends. Records are the greatest records of its successful replies together, so a
// batch is used as a whole or not at all.
type RelayBatch struct {
	Results []RelayResult
	Records []byte
}

// Relays sends requests through VMs of other zones.
type Relays interface {
	// Available reports whether a VM of the zone relays requests.
	Available(zone ident.Zone) bool
	// SendAll has a VM of the zone send a request to targets there. It calls deliver with each batch of results and returns
	// when all sends have a result, the context has ended or the VM has failed. The error wraps leafconn.ErrNotSent if no
	// target can have the request.
	SendAll(ctx context.Context, zone ident.Zone, r *Relay, deliver func(*RelayBatch)) error
}

const (
	// minRelayedSends is the least number of sends to a zone that are relayed; fewer are sent directly.
	minRelayedSends = 4
	// relaySlack is how much longer than for a direct send the reply to a relayed one is waited for before a hedge: the
	// batch has to be encoded and decoded.
	relaySlack = 5 * time.Millisecond
	// flushInterval is how long a relay gathers results into one batch after the first flush.
	flushInterval = 4 * time.Millisecond
)

// relayed is a unit whose first send goes through a VM of the target's zone.
type relayed struct {
	unit     int
	endpoint *Endpoint
	rtt      time.Duration
}

// viaRelay reports whether first sends to the endpoint may go through a VM of its zone.
func (j *job) viaRelay(e *Endpoint) bool {
	if e.local || j.s.Relays == nil || !j.route.IsScatter() {
		return false
	}
	available, known := j.relayZones[e.Target.Zone]
	if !known {
		available = j.s.Relays.Available(e.Target.Zone)
		j.relayZones[e.Target.Zone] = available
	}
	return available
}

// sendRelayed sends the units that were collected for relays, zone by zone.
func (j *job) sendRelayed(now time.Time) {
	for zone, group := range j.relayed {
		if len(group) < minRelayedSends {
			for _, r := range group {
				j.send(r.unit, now, firstSend)
			}
			continue
		}
		j.startRelay(zone, group, now)
	}
}

// startRelay sends units of one zone through a VM there.
func (j *job) startRelay(zone ident.Zone, group []relayed, now time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), j.req.Deadline)
	j.cancelRelays = append(j.cancelRelays, cancel)
	r := &Relay{Request: j.req, TopRecords: j.route.TopRecords, FlushAfter: dispatch.HedgeDelay(j.estimate, 0, j.route.Objective)}
	attempts := make([]*attempt, len(group))
	for k, g := range group {
		u := &j.units[g.unit]
		attempts[k] = j.begin(u, g.endpoint, now, firstSend)
		attempts[k].relayed = true
		u.hedgeAt = time.Time{}
		if j.route.Idempotent && j.sendCounts(u).AllowsNewTarget() {
			u.hedgeAt = now.Add(r.FlushAfter + g.rtt + relaySlack)
		}
		r.Sends = append(r.Sends, RelaySend{Service: u.service, Target: g.endpoint.Target.ID})
	}
	go func() {
		defer cancel()
		done := make([]bool, len(group))
		err := j.s.Relays.SendAll(ctx, zone, r, func(b *RelayBatch) {
			at, records := time.Now(), b.Records
			for i := range b.Results {
				result := &b.Results[i]
				if result.Index < 0 || result.Index >= len(group) || done[result.Index] {
					continue
				}
				done[result.Index] = true
				var body []byte
				if result.OK() {
					body, records = records, nil
				}
				j.relayDone(group[result.Index], attempts[result.Index], result, body, at)
			}
		})
		for k, a := range attempts {
			if !done[k] {
				j.relayFailed(group[k], a, err, ctx.Err() != nil)
			}
		}
	}()
}

// relayDone records the result of a relayed send and passes it to run. body holds the records of the whole batch for one
// of its successful results, and none for the others.
func (j *job) relayDone(g relayed, a *attempt, r *RelayResult, body []byte, at time.Time) {
	result := leafconn.Result{At: at}
	if r.RetryAfter > 0 {
		g.endpoint.limit.setRelayFull(at.Add(r.RetryAfter))
	}
	switch r.Status {
	case RelayNotSent:
		result.Err = fmt.Errorf("%w: by a VM of the target's zone", leafconn.ErrNotSent)
		if r.RateLimit > 0 {
			j.s.relayIsFull(g.endpoint, r.RateLimit, at)
		}
	case RelayBroken:
		result.Err = fmt.Errorf("%w: at a VM of the target's zone", leafconn.ErrBroken)
	case RelayRan, RelayRefused, RelayMisdirected:
		result.Reply = &leafconn.Reply{Status: r.HTTPStatus, Signature: r.Signature, Body: body, Disposition: dispositions[r.Status],
			RateLimit: r.RateLimit, Leaving: r.Leaving}
		j.s.observeLimit(g.endpoint, result.Reply, a.started, at)
		j.s.observeDeparture(g.endpoint, r.Leaving, at)
		j.s.recordRemoteReply(at)
	}
	// A batch waits for its slowest result, so the time of the send is the one that the relay took, not the time until now.
	g.endpoint.Tracker.End(a.started, a.started.Add(r.Took+g.rtt), sendResult(&result), j.estimate.Median)
	if result.Reply != nil && result.Reply.OK() {
		j.estimator.Observe(r.Took)
	}
	j.results <- unitResult{unit: g.unit, attempt: a, result: result}
}

var dispositions = map[RelayStatus]leafconn.Disposition{RelayRan: leafconn.Ran, RelayRefused: leafconn.NotRun, RelayMisdirected: leafconn.Misdirected}

// relayFailed ends a relayed send that has no result. The failure of a relay says nothing about the target.
func (j *job) relayFailed(g relayed, a *attempt, err error, abandoned bool) {
	now := time.Now()
	g.endpoint.Tracker.End(a.started, now, dispatch.Abandoned, 0)
	if !errors.Is(err, leafconn.ErrNotSent) {
		err = fmt.Errorf("%w: relay failed: %w", leafconn.ErrBroken, err)
	}
	j.results <- unitResult{unit: g.unit, attempt: a, result: leafconn.Result{At: now, Err: err, Abandoned: abandoned}}
}

// find returns the endpoint of a target of a service, nil if it is unknown or must get no new requests.
func (set *endpointSet) find(service ident.ServiceID, target ident.TargetID, now time.Time) *Endpoint {
	for _, e := range set.byService[service] {
		if e.Target.ID == target && !e.isLeaving(now) && !set.snapshot.ZonesOut[e.Target.Zone] {
			return e
		}
	}
	return nil
}

// relaySend is one send of a relay in progress, or its result.
type relaySend struct {
	index  int
	status RelayStatus
	result leafconn.Result
	// limit and rest are those of the target if they are why nothing was sent.
	limit float64
	rest  time.Duration
}

// SendAll sends a request to targets for a VM of another zone, once to each, and passes the results to deliver until all
// sends have one or the context ends.
func (s *Service) SendAll(ctx context.Context, r *Relay, deliver func(*RelayBatch) error) error {
	s.running.Add(1)
	defer s.running.Add(-1)
	now, results := time.Now(), make(chan relaySend, len(r.Sends))
	sends := s.submitAll(r, now, results)
	defer func() {
		for _, send := range sends {
			send.Abandon(callerLeftGrace)
		}
	}()
	timer := time.NewTimer(r.FlushAfter)
	defer timer.Stop()
	flushed, unsent := false, false
	batch := newBatchBuilder(r.TopRecords, now)
	for left := len(r.Sends); left > 0; {
		select {
		case d := <-results:
			left--
			if batch.add(d); flushed && len(batch.results) == 1 {
				timer.Reset(flushInterval)
			}
			unsent = unsent || d.status == RelayNotSent
			if unsent && len(results) == 0 {
				// The VM that asked for the sends has to send some elsewhere.
				unsent = false
				if err := batch.flush(deliver); err != nil {
					return err
				}
			}
		case <-timer.C:
			flushed = true
			if err := batch.flush(deliver); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return batch.flush(deliver)
}

// submitAll submits the sends of a relay and returns those that are in progress. All results go to the channel.
func (s *Service) submitAll(r *Relay, now time.Time, results chan<- relaySend) []*leafconn.Send {
	set := s.endpoints.Load()
	expected := time.Duration(0)
	if table := set.snapshot.Table; table != nil {
		if route := table.Lookup(r.Request.Host, r.Request.Path()); route != nil {
			expected = s.estimator(route).Estimate().Median
		}
	}
	var sends []*leafconn.Send
	for i, to := range r.Sends {
		e := set.find(to.Service, to.Target, now)
		if e == nil || !e.withinColdShare(now) {
			results <- relaySend{index: i, status: RelayNotSent}
			continue
		}
		if !e.take(now) {
			results <- relaySend{index: i, status: RelayNotSent, limit: e.limit.PerSecond(), rest: e.notice.rest.Remaining(now)}
			continue
		}
		send := &leafconn.Send{Request: r.Request}
		send.Done = func(result leafconn.Result) {
			s.observeLimit(e, result.Reply, now, result.At)
			s.observeRest(e, result.Reply, now, result.At)
			s.observeDeparture(e, result.Reply != nil && result.Reply.Leaving, result.At)
			if result.Reply == nil && !result.Sent() {
				e.limit.Return()
			}
			e.Tracker.End(now, result.At, sendResult(&result), expected)
			results <- relaySend{index: i, status: relayStatus(&result), result: result}
		}
		if e.isCold(now) {
			e.coldLimiter.Record(now)
		}
		e.Tracker.Begin(now)
		if !e.Pool.Submit(send, now) {
			e.Tracker.End(now, now, dispatch.Abandoned, 0)
			e.giveBack(now)
			results <- relaySend{index: i, status: RelayNotSent}
			continue
		}
		sends = append(sends, send)
	}
	if s.Pace != nil {
		s.Pace.Observe(time.Now(), len(r.Sends), time.Since(now))
	}
	return sends
}

func relayStatus(r *leafconn.Result) RelayStatus {
	switch {
	case r.Reply == nil && !r.Sent():
		return RelayNotSent
	case r.Reply == nil:
		return RelayBroken
	case r.Reply.Disposition == leafconn.NotRun:
		return RelayRefused
	case r.Reply.Disposition == leafconn.Misdirected:
		return RelayMisdirected
	}
	return RelayRan
}

// batchBuilder gathers results into batches.
type batchBuilder struct {
	limit   int
	began   time.Time
	results []RelayResult
	top     *topRecords
}

func newBatchBuilder(limit int, began time.Time) *batchBuilder {
	return &batchBuilder{limit: limit, began: began, top: newTopRecords(limit)}
}

func (b *batchBuilder) add(d relaySend) {
	result := RelayResult{Index: d.index, Status: d.status, Took: max(0, d.result.At.Sub(b.began)), RateLimit: d.limit, RetryAfter: d.rest}
	if reply := d.result.Reply; reply != nil {
		result.HTTPStatus, result.Signature, result.RateLimit = reply.Status, reply.Signature, reply.RateLimit
		result.Leaving, result.RetryAfter = reply.Leaving, reply.RetryAfter
		if result.OK() {
			b.top.add(reply.Body)
		}
	}
	b.results = append(b.results, result)
}

// flush passes the gathered results on, if there are any.
func (b *batchBuilder) flush(deliver func(*RelayBatch) error) error {
	if len(b.results) == 0 {
		return nil
	}
	batch := &RelayBatch{Results: b.results, Records: b.top.sorted()}
	b.results, b.top = nil, newTopRecords(b.limit)
	return deliver(batch)
}
