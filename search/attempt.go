package search

import (
	"context"
	"errors"
	"sync"
	"time"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/snapshot"
)

// attempt is one leaf request that a search sends for a shard.
type attempt struct {
	shard   int
	request outcome.LeafRequest
	target  *catalog.Target
	reason  replica.Reason
	stale   bool
	cancel  context.CancelFunc
	// delayCounted reports that the attempt was already counted as within or beyond the hedge delay.
	delayCounted bool
	ended        bool
	class        ResultClass
	result       outcome.LeafResult
}

// inbox passes ended attempts from the goroutines that send them to the goroutine of their search. That goroutine
// closes the inbox at the end of the search.
type inbox struct {
	mu     sync.Mutex
	ended  []*attempt
	closed bool
	wake   chan struct{}
}

func newInbox() inbox { return inbox{wake: make(chan struct{}, 1)} }

// put queues an ended attempt. It returns false if the inbox is closed.
func (b *inbox) put(a *attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.ended = append(b.ended, a)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// take returns the attempts that have ended since the last call.
func (b *inbox) take() []*attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	ended := b.ended
	b.ended = nil
	return ended
}

// close makes put return false from now on, and returns the attempts that were not taken.
func (b *inbox) close() []*attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return b.ended
}

// transmit sends the attempt and records what its result shows about the target: its latency and failures, the
// snapshots it holds and, for a first send, the sample for the hedge delay. It records this even if the search has
// already been answered.
func (r *run) transmit(ctx context.Context, a *attempt) {
	defer a.cancel()
	s := r.searcher
	inFlight := s.Replicas.Begin(a.target)
	if refused := r.sendRefusal(ctx, a); refused != outcome.ReasonNone {
		inFlight.NotSent()
		a.result = outcome.NotRunResult(refused, "request was refused before it was sent")
		return
	}
	s.Stats.countSend(a.request.Kind)
	sent := s.Clock.Now()
	a.result = s.Sender.Send(ctx, a.request)
	elapsed := s.Clock.Since(sent)
	checked := a.result
	if classify(&a.request, &checked) == Foreign {
		checked = outcome.UnknownResult(outcome.ReasonForeignReply, "")
	}
	inFlight.Done(&checked, elapsed)
	if checked.Status == outcome.LeafOK {
		r.budget.RecordReply(a.target.ID)
	}
	s.Holdings.Record(snapshot.Reply{Target: a.target.ID, Incarnation: checked.Incarnation, Held: checked.Held, Sent: sent})
	if a.request.Kind == outcome.SendFirst {
		r.observeLatency(&checked, elapsed)
	}
}

// sendRefusal returns why the attempt must no longer be sent; ReasonNone means that it may be sent. Since the target
// was chosen, the deadline may have passed, the send may have been cancelled, or a new bundle in force may exclude the
// target.
func (r *run) sendRefusal(ctx context.Context, a *attempt) outcome.Reason {
	if reason := r.stopReason(ctx); reason != outcome.ReasonNone {
		return reason
	}
	return r.searcher.Replicas.ExclusionReason(a.request.Service, a.target.ID)
}

// stopReason returns ReasonDeadline if the deadline has passed, ReasonCancelled if ctx was cancelled, for example because
// the caller has gone, and ReasonNone otherwise.
func (r *run) stopReason(ctx context.Context) outcome.Reason {
	if r.hasDeadline && !r.searcher.Clock.Now().Before(r.deadline) {
		return outcome.ReasonDeadline
	}
	switch err := ctx.Err(); {
	case err == nil:
		return outcome.ReasonNone
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.ReasonDeadline
	default:
		return outcome.ReasonCancelled
	}
}

// observeLatency adds a first send to the latency estimate behind the hedge delay. A send that ended without a reply
// after the hedge delay is recorded with that delay, not with the time it was in flight: otherwise sends without a reply
// would raise the delay, later hedges would leave them in flight longer, and the delay would grow without bound. A send
// that ended without a reply before the delay says nothing about the latency and is not recorded.
func (r *run) observeLatency(res *outcome.LeafResult, elapsed time.Duration) {
	delay, known := r.budget.Delay()
	switch {
	case res.Status == outcome.LeafOK:
		r.budget.Observe(elapsed)
	case res.Status == outcome.LeafUnknown && known && elapsed >= delay:
		r.budget.Observe(delay)
	}
}
