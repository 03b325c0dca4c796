package lifecycle

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

// PeersKnow is how long after the announcement of a leave peers may still send new work here: the bound within
// which a leaving VM gets none.
const PeersKnow = 3 * time.Second

// Leaver announces to peers that this VM is leaving. done gets the number of peers that were told directly.
type Leaver interface {
	Leave(done func(told int))
}

// Drain is the sequence of a graceful shutdown.
type Drain struct {
	State  *State
	Clock  clockwork.Clock
	Leaver Leaver
	// BalancerDelay is how long requests are accepted after readiness is off.
	BalancerDelay time.Duration
	// Timeout bounds everything after BalancerDelay.
	Timeout time.Duration
}

// CutOffError says which accepted requests a drain did not wait for.
type CutOffError struct {
	Callers, Peers int
	Hurried        bool
}

// Error names the numbers and the cause.
func (e *CutOffError) Error() string {
	cause := "drain timeout"
	if e.Hurried {
		cause = "second signal"
	}
	return fmt.Sprintf("requests cut off (%s): %d of callers, %d of peers", cause, e.Callers, e.Peers)
}

// Run drains the process. It returns a *CutOffError if accepted requests were still running at the end.
func (d *Drain) Run(ctx context.Context) error {
	d.State.stop()
	d.wait(ctx, d.Clock.After(d.BalancerDelay), never)
	d.State.refuse()

	ctx, cancel := clockwork.WithTimeout(ctx, d.Clock, d.Timeout)
	defer cancel()
	told := make(chan int, 1)
	d.Leaver.Leave(func(n int) { told <- n })
	known := d.Clock.After(PeersKnow)
	d.finish(ctx, FromCaller)
	select {
	case n := <-told:
		if n > 0 {
			d.wait(ctx, known, never)
		}
	case <-ctx.Done():
	case <-d.State.hurry:
	}
	d.finish(ctx, FromPeer)
	return d.cutOff()
}

func never() bool { return false }

// finish waits for the accepted requests of the kind.
func (d *Drain) finish(ctx context.Context, k Kind) {
	d.wait(ctx, nil, func() bool { return d.State.Accepted(k) == 0 })
}

// wait returns when the channel delivers, the condition holds, the context ends or the operator hurries.
func (d *Drain) wait(ctx context.Context, until <-chan time.Time, done func() bool) {
	for {
		d.State.mu.Lock()
		ended := d.State.ended
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
		case <-d.State.hurry:
			return
		}
	}
}

func (d *Drain) cutOff() error {
	left := &CutOffError{Callers: d.State.Accepted(FromCaller), Peers: d.State.Accepted(FromPeer)}
	select {
	case <-d.State.hurry:
		left.Hurried = true
	default:
	}
	if left.Callers+left.Peers == 0 {
		return nil
	}
	return left
}
