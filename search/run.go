package search

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/hedge"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/snapshot"
)

// Limits of one search.
const (
	// maxSendsPerShard is how many sends of a shard may fail before the shard is given up.
	maxSendsPerShard = 4
	// maxRetryDenials is how often the budget may deny the retries of a shard; at the next denial the shard is given up.
	// Each tick attempts a denied retry again.
	maxRetryDenials = 16
	// ticksPerDelay is the number of ticks in each hedge delay after the first tick. The first tick, one hedge delay after
	// the first sends, hedges the outstanding shards; each later tick asks the budget again for the extra sends that it
	// denied before. The interval between ticks also passes before a postponed first tick.
	ticksPerDelay = 4
	// stallShare is the share of the hedge delay by which a timer must be late for the process to count as stalled; in
	// an idle process timers are late by far less. Replies that arrived during a stall have not been read yet.
	stallShare = 0.5
	// defaultTick is the interval between ticks while the hedge delay is unknown.
	defaultTick = 10 * time.Millisecond
	// discoveryTimeout bounds a discovery, which does not end with its search.
	discoveryTimeout = time.Second
)

// run is the state of one search. Only the search's own goroutine writes its fields. The goroutines that run transmit
// read searcher, deadline, hasDeadline and budget, which newRun sets once, and put their results into inbox, which has
// its own lock.
type run struct {
	searcher         *Searcher
	ctx              context.Context
	query            Query
	deadline         time.Time
	hasDeadline      bool
	configVersion    uint64
	service          *catalog.Service
	pin              snapshot.Pin
	budget           *hedge.Service
	extraLoadPercent int

	gatherer *gatherer
	attempts []*attempt
	extra    []extraState
	inbox    inbox
	// mayProbe reports that a send of this search may still go to a target whose state is to be found out: whether it
	// has recovered from failures, or holds the snapshot. More than one such send would risk the search's coverage.
	mayProbe bool
	ticks    int
	// postponed reports that the first tick was postponed because of a stall.
	postponed bool
}

// extraState is the state of the hedges and retries of one shard.
type extraState struct {
	hedged bool
	// retryPending reports that the budget denied a retry, which the next tick attempts again.
	retryPending bool
	// retryDenials counts the denied retries of this search.
	retryDenials int
}

func newRun(ctx context.Context, s *Searcher, q Query, c *catalog.Catalog, service *catalog.Service, pin snapshot.Pin) *run {
	r := &run{
		searcher: s, ctx: ctx, query: q, configVersion: c.InForce.Bundle.Version, service: service, pin: pin,
		budget: s.Hedge.Service(service.ID), extraLoadPercent: c.InForce.Bundle.Policy.ExtraLoadPercent,
		gatherer: newGatherer(pin.Snapshot), inbox: newInbox(), mayProbe: true,
		extra: make([]extraState, len(pin.Snapshot.Shards)),
	}
	r.deadline, r.hasDeadline = ctx.Deadline()
	r.attempts = make([]*attempt, 0, len(r.extra)+len(r.extra)/4)
	return r
}

func (r *run) execute(answer *Answer) {
	if !r.checkGuard(answer) {
		return
	}
	r.budget.RecordFirstSends(r.scatter(), r.extraLoadPercent)
	r.discover()
	r.gather()
	r.end()
	r.gatherer.fillAnswer(answer, r.query.MinCoverage)
}

// scatter sends one request for each shard that the canary did not answer, and returns how many it sent. Only these
// requests earn tokens for extra sends.
func (r *run) scatter() int {
	sent := 0
	for i := range r.gatherer.shards {
		if r.gatherer.shards[i].closed {
			continue
		}
		if reason := r.send(i, outcome.SendFirst); reason != outcome.ReasonNone {
			r.gatherer.giveUp(i, reason)
			continue
		}
		sent++
	}
	return sent
}

// send chooses a replica for the shard and starts a send to it. It returns ReasonNone if it started the send, and
// otherwise the reason why it did not.
func (r *run) send(shard int, kind outcome.SendKind) outcome.Reason {
	if reason := r.stopReason(r.ctx); reason != outcome.ReasonNone {
		r.searcher.Stats.Expired.Add(1)
		return reason
	}
	s := &r.pin.Snapshot.Shards[shard]
	choice, reason := r.searcher.Replicas.Choose(replica.Criteria{Service: r.service.ID, Snapshot: r.pin.Snapshot.ID,
		Shard: s, Kind: kind, Tried: r.gatherer.shards[shard].tried, AllowProbe: r.mayProbe && kind == outcome.SendFirst})
	if reason != outcome.ReasonNone {
		return reason
	}
	if r.mayProbe && r.searcher.Replicas.IsExploratory(choice, r.pin.Snapshot.ID) {
		r.mayProbe = false
	}
	a := &attempt{shard: shard, target: choice.Target, reason: choice.Reason, stale: choice.Stale,
		request: r.request(s.ID, r.pin.Snapshot.ID, choice.Target.ID, kind)}
	r.attempts = append(r.attempts, a)
	r.gatherer.recordSend(shard, a.target.ID)
	ctx, cancel := context.WithCancel(r.ctx)
	a.cancel = cancel
	go func() {
		r.transmit(ctx, a)
		if !r.inbox.put(a) {
			r.searcher.Stats.countResult(lateClass(classify(&a.request, &a.result)))
		}
	}()
	return outcome.ReasonNone
}

func (r *run) request(shard ident.ShardID, snap ident.SnapshotID, target ident.TargetID, kind outcome.SendKind) outcome.LeafRequest {
	return outcome.LeafRequest{ID: ident.NewRequestID(), Service: r.service.ID, Target: target, Shard: shard,
		Snapshot: snap, Query: r.query.Body, Kind: kind, ConfigVersion: r.configVersion}
}

// gather waits until every shard is answered or given up, or the deadline passes.
func (r *run) gather() {
	wait := r.tickInterval()
	due := r.searcher.Clock.Now().Add(wait)
	timer := r.searcher.Clock.NewTimer(wait)
	defer timer.Stop()
	for r.gatherer.openShards > 0 {
		select {
		case <-r.inbox.wake:
			for _, a := range r.inbox.take() {
				r.receive(a)
			}
		case <-timer.Chan():
			if !r.postpone(due) {
				r.tick()
			}
			wait = r.tickInterval()
			if r.ticks == 0 {
				wait /= ticksPerDelay
			}
			due = r.searcher.Clock.Now().Add(wait)
			timer.Reset(wait)
		case <-r.ctx.Done():
			return
		}
	}
}

// postpone reports whether to postpone the first tick, at most once, because its timer fired so late that this process
// must have stalled. On a busy VM the replies of all searches then wait to be read, and none of them shows that a target
// is slow. If their sends counted as slow, they would use up the budget for extra sends, or turn extra sends off, just
// before they are needed.
func (r *run) postpone(due time.Time) bool {
	delay, known := r.budget.Delay()
	if r.ticks > 0 || r.postponed || !known {
		return false
	}
	r.postponed = float64(r.searcher.Clock.Since(due)) > stallShare*float64(delay)
	return r.postponed
}

func (r *run) tickInterval() time.Duration {
	delay, known := r.budget.Delay()
	switch {
	case !known:
		return defaultTick
	case r.ticks == 0:
		return delay
	default:
		return max(delay/ticksPerDelay, time.Millisecond)
	}
}

// receive records an ended attempt. An accepted reply cancels the other sends of its shard; if the last outstanding send
// of an open shard failed, the shard is sent again.
func (r *run) receive(a *attempt) {
	a.class = r.gatherer.receive(a, &a.result)
	r.searcher.Stats.countResult(a.class)
	r.countWithinDelay(a)
	st := &r.gatherer.shards[a.shard]
	switch {
	case a.class == Accepted && st.outstanding > 0:
		r.cancelOthers(a)
	case !st.closed && st.outstanding == 0:
		r.resend(a)
	}
}

func (r *run) cancelOthers(winner *attempt) {
	for _, a := range r.attempts {
		if a.shard == winner.shard && a != winner {
			a.cancel()
		}
	}
}

// end records the attempts that have ended and finishes the search; attempts that end later are late.
func (r *run) end() {
	reason := r.stopReason(r.ctx)
	for _, a := range r.inbox.close() {
		r.receive(a)
	}
	r.gatherer.finish(reason)
}

// discover sends one request to a target if it is unknown whether the target holds a snapshot newer than the pinned one.
// The request takes a token from the budget, and its reply is not part of the answer.
func (r *run) discover() {
	s := r.searcher
	snap, shard, target := s.Holdings.DiscoveryTarget(r.service, r.pin.Snapshot, s.Replicas.Usable, rand.IntN(len(r.extra)))
	if target == nil || r.budget.Take() != hedge.Allowed {
		return
	}
	// The search is answered without waiting for the discovery, which may end later.
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(r.ctx), s.Clock, discoveryTimeout)
	a := &attempt{target: target, cancel: cancel, request: r.request(snap.Shards[shard].ID, snap.ID, target.ID, outcome.SendDiscovery)}
	go r.transmit(ctx, a)
}
