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

// attempt is one leaf request of a search.
type attempt struct {
	shard   int
	request outcome.LeafRequest
	target  *catalog.Target
	reason  replica.Reason
	stale   bool
	cancel  context.CancelFunc
	// judged reports that the attempt was counted as within or beyond the hedge delay.
	judged bool
	ended  bool
	class  Class
	result outcome.LeafResult
}

// inbox passes ended attempts to the search that made them, until the search closes it.
type inbox struct {
	mu     sync.Mutex
	ended  []*attempt
	closed bool
	wake   chan struct{}
}

func newInbox() inbox { return inbox{wake: make(chan struct{}, 1)} }

// put reports whether the attempt was accepted.
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

// take returns what has ended since the last call.
func (b *inbox) take() []*attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	ended := b.ended
	b.ended = nil
	return ended
}

// close refuses further attempts and returns those that were not taken.
func (b *inbox) close() []*attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	return b.ended
}

// transmit sends the attempt and takes in what its result says of the target, whether or not the search still waits.
func (r *run) transmit(ctx context.Context, a *attempt) {
	defer a.cancel()
	s := r.searcher
	inFlight := s.Replicas.Begin(a.target)
	if refused := r.refuse(ctx, a); refused != outcome.ReasonNone {
		inFlight.Unsent()
		a.result = outcome.LeafRefused(refused, "refused before the send")
		return
	}
	s.Stats.kind(a.request.Kind)
	sent := s.Clock.Now()
	a.result = s.Sender.Send(ctx, a.request)
	elapsed := s.Clock.Since(sent)
	known := a.result
	if classify(&a.request, &known) == Foreign {
		known = outcome.LeafLost(outcome.ReasonForeign, "")
	}
	inFlight.Done(&known, elapsed)
	s.Beliefs.Learn(snapshot.Reply{Target: a.target.ID, Incarnation: known.Incarnation, Held: known.Held, Sent: sent})
	if a.request.Kind == outcome.SendFirst {
		r.observe(&known, elapsed)
	}
}

// refuse says why the attempt must not be sent now: the deadline may have passed, or another bundle may have come
// into force, since its target was chosen.
func (r *run) refuse(ctx context.Context, a *attempt) outcome.Reason {
	if reason := r.expired(ctx); reason != outcome.ReasonNone {
		return reason
	}
	return r.searcher.Replicas.Barred(a.request.Service, a.target.ID)
}

// expired says whether the deadline has passed or the caller has gone.
func (r *run) expired(ctx context.Context) outcome.Reason {
	if r.deadlined && !r.searcher.Clock.Now().Before(r.deadline) {
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

// observe feeds the hedge delay. A first send that was given up after the delay counts as just above it: with the time
// it was waited for, sends that get no reply would raise the delay, later hedges would let them wait longer, and the
// delay would rise without end. One that was given up earlier says nothing about its latency.
func (r *run) observe(res *outcome.LeafResult, elapsed time.Duration) {
	delay, known := r.budget.Delay()
	switch {
	case res.Status == outcome.LeafOK:
		r.budget.Observe(elapsed)
	case res.Status == outcome.LeafUnknown && known && elapsed >= delay:
		r.budget.Observe(delay)
	}
}
