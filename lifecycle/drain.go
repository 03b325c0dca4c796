package lifecycle

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

// LeavePropagation is how long peers may still send new work to this VM after it has announced its leave. After this
// time a leaving VM gets no new work.
const LeavePropagation = 3 * time.Second

// responseTime is the part of Drain.Timeout that is reserved for the responses to requests that are still running at its
// end. It is at most a quarter of the timeout.
const responseTime = 250 * time.Millisecond

// Leaver announces to the peers that this VM is leaving.
type Leaver interface {
	// Leave sends the announcement and calls done, at once or later, with the number of peers that were notified directly.
	Leave(done func(notified int))
}

// Drain is a graceful shutdown. It turns readiness off, refuses new requests of callers after BalancerDelay, announces
// the leave to the peers, and waits until all accepted requests have ended and the peers have stopped sending work. Shortly
// before Timeout it ends the requests that are still running.
type Drain struct {
	State  *State
	Clock  clockwork.Clock
	Leaver Leaver
	// BalancerDelay is how long requests are still accepted after readiness is turned off.
	BalancerDelay time.Duration
	// Timeout bounds the part of the drain that follows BalancerDelay.
	Timeout time.Duration
}

// CutOffError reports the accepted requests that were still running when a drain ended.
type CutOffError struct {
	// Callers and Peers are the numbers of requests accepted from callers and from peers.
	Callers, Peers int
	// Forced reports that State.ForceStop was called.
	Forced bool
}

// Error states why the drain ended, and how many requests of callers and how many of peers were cut off.
func (e *CutOffError) Error() string {
	cause := "drain timeout"
	if e.Forced {
		cause = "second signal"
	}
	return fmt.Sprintf("requests cut off (%s): %d of callers, %d of peers", cause, e.Callers, e.Peers)
}

// Run drains the process. It returns a *CutOffError if accepted requests were still running when the drain ended, and
// nil otherwise.
func (d *Drain) Run(ctx context.Context) error {
	d.State.stop()
	d.wait(ctx, d.Clock.After(d.BalancerDelay), never)
	d.State.refuse()

	end := d.Clock.Now().Add(d.Timeout)
	d.finish(ctx, end.Add(-min(responseTime, d.Timeout/4)))
	d.State.endRequests()
	ctx, cancel := clockwork.WithDeadline(ctx, d.Clock, end)
	defer cancel()
	d.waitForRequests(ctx, FromCaller)
	return d.cutOff()
}

// finish announces the leave and waits for accepted requests, at most until a deadline.
func (d *Drain) finish(ctx context.Context, deadline time.Time) {
	ctx, cancel := clockwork.WithDeadline(ctx, d.Clock, deadline)
	defer cancel()
	notified := make(chan int, 1)
	d.Leaver.Leave(func(n int) { notified <- n })
	propagated := d.Clock.After(LeavePropagation)
	d.waitForRequests(ctx, FromCaller)
	select {
	case n := <-notified:
		if n > 0 {
			d.wait(ctx, propagated, never)
		}
	case <-ctx.Done():
	case <-d.State.forced:
	}
	d.waitForRequests(ctx, FromPeer)
}

func never() bool { return false }

// waitForRequests waits until no accepted request of the given origin is running.
func (d *Drain) waitForRequests(ctx context.Context, o Origin) {
	d.wait(ctx, nil, func() bool { return d.State.Accepted(o) == 0 })
}

// wait returns when the channel until delivers a value, done returns true, ctx is done or State.ForceStop is called. It
// calls done at the start and each time a request ends.
func (d *Drain) wait(ctx context.Context, until <-chan time.Time, done func() bool) {
	for {
		d.State.mu.Lock()
		ended := d.State.requestEnded
		d.State.mu.Unlock()
		if done() {
			return
		}
		select {
		case <-ended:
		case <-until:
			return
		case <-ctx.Done():
			return
		case <-d.State.forced:
			return
		}
	}
}

func (d *Drain) cutOff() error {
	left := &CutOffError{Callers: d.State.Accepted(FromCaller), Peers: d.State.Accepted(FromPeer)}
	select {
	case <-d.State.forced:
		left.Forced = true
	default:
	}
	if left.Callers+left.Peers == 0 {
		return nil
	}
	return left
}
