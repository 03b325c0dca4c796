// Package gate schedules the slots of targets at their owner. All leaf requests to a target pass the owner's gate, so
// the number that run at once stays within the target's slots, whichever VMs they come from.
package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// DrainHold is how long a target that said it is draining receives nothing. A target may restart at its address without
// any other sign, so one request asks again afterwards.
const DrainHold = 30 * time.Second

// noDeadline orders requests without a deadline behind all others.
const noDeadline = 24 * time.Hour

// Runner runs a leaf request at a target, once a slot is granted.
type Runner interface {
	Send(ctx context.Context, address string, r outcome.LeafRequest) outcome.LeafResult
}

// Connections is implemented by runners that hold connections. Both methods return at once.
type Connections interface {
	// Hold bounds the open connections to limit, and opens up to ahead of them before they are needed; with an ahead of
	// 0, idle connections are closed. While the target is warm, closed connections are replaced without delay.
	Hold(limit, ahead int, warm bool)
	// Close closes all connections.
	Close()
}

// Rules say whether a target may receive new work. They are asked at admission and again when a slot is granted, because
// the answer may change while a request waits.
type Rules interface {
	// Permit returns the share of the target's slots that may be used now, from 0 to 1, or the reason why the target
	// receives nothing.
	Permit(target ident.TargetID, now time.Time) (share float64, refused outcome.Reason)
}

// Limits bound one target, or an owner's share of it.
type Limits struct {
	// Slots is how many requests may run at once; ColdSlots applies in cold start.
	Slots     int
	ColdSlots int
	// Connections is how many connections may be open.
	Connections int
	// Queue is how many requests may wait.
	Queue int
}

// usable returns how many requests the share bears at once: each occupies a connection.
func (l Limits) usable() int { return min(l.Slots, l.Connections) }

// min returns the smaller of two shares, field by field.
func (l Limits) min(o Limits) Limits {
	return Limits{Slots: min(l.Slots, o.Slots), ColdSlots: min(l.ColdSlots, o.ColdSlots),
		Connections: min(l.Connections, o.Connections), Queue: min(l.Queue, o.Queue)}
}

// Gate schedules the slots of one target.
type Gate struct {
	target  ident.TargetID
	address string
	runner  Runner
	clock   clockwork.Clock
	rules   Rules

	mu       sync.Mutex
	limits   Limits
	owner    ownership
	cold     coldStart
	running  int
	waiting  queue
	sequence uint64
	// drainedUntil ends the hold of a target that said it is draining.
	drainedUntil time.Time
}

// New returns the gate of a target that this VM owns, in cold start.
func New(target ident.TargetID, address string, limits Limits, runner Runner, clock clockwork.Clock, rules Rules) *Gate {
	return &Gate{target: target, address: address, limits: limits, runner: runner, clock: clock, rules: rules,
		owner: ownership{stage: owned, sole: true}, cold: newColdStart(limits.usable(), limits.ColdSlots)}
}

// Do waits for a slot and runs the request.
func (g *Gate) Do(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	w := g.submit(ctx, &r)
	var v verdict
	select {
	case v = <-w.decided:
	case <-ctx.Done():
		v = g.withdraw(w, ctx.Err())
	}
	if v.reason != outcome.ReasonNone {
		return g.refused(v)
	}
	granted := g.clock.Now()
	select {
	case <-ctx.Done():
		g.giveBack()
		return g.refused(expired(ctx.Err()))
	default:
	}
	res := g.runner.Send(ctx, g.address, r)
	g.finish(&res, g.clock.Since(granted))
	res.Queued = granted.Sub(w.arrived)
	return res
}

// submit decides on a request at once, or puts it into the queue.
func (g *Gate) submit(ctx context.Context, r *outcome.LeafRequest) *waiter {
	now := g.clock.Now()
	w := &waiter{request: r, arrived: now, index: -1, decided: make(chan verdict, 1)}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(noDeadline)
	}
	w.deadline = deadline
	g.mu.Lock()
	defer g.mu.Unlock()
	if v := g.admit(w, now); v.reason != outcome.ReasonNone {
		w.decided <- v
		return w
	}
	g.sequence++
	w.sequence = g.sequence
	g.waiting.add(w)
	g.dispatch(now)
	return w
}

// admit says whether a request may wait.
func (g *Gate) admit(w *waiter, now time.Time) verdict {
	if v := g.check(w, now); v.reason != outcome.ReasonNone {
		return v
	}
	if v := g.owner.admit(w.deadline); v.reason != outcome.ReasonNone {
		return v
	}
	limit := g.limit(now)
	if len(g.waiting) >= g.limits.Queue && g.running+g.owner.inherited() >= limit {
		return verdict{outcome.ReasonQueueFull, "the target's queue is full"}
	}
	pending := g.waiting.ahead(w.deadline) + g.running + g.owner.inherited()
	if g.owner.stage == owned && pending > 0 {
		rounds := max(0, pending-limit+1)
		wait := time.Duration(rounds) * g.cold.quick() / time.Duration(max(1, limit))
		return g.inTime(w, now.Add(wait))
	}
	return verdict{}
}

// check applies the rules that hold at admission and again when a slot is granted.
func (g *Gate) check(w *waiter, now time.Time) verdict {
	if g.owner.stage == released {
		return verdict{outcome.ReasonNotOwner, "this VM no longer owns the target"}
	}
	if !w.deadline.After(now) {
		return verdict{outcome.ReasonDeadline, "the deadline has passed"}
	}
	if _, reason := g.rules.Permit(g.target, now); reason != outcome.ReasonNone {
		return verdict{reason, "the target receives no new work"}
	}
	if now.Before(g.drainedUntil) {
		return verdict{outcome.ReasonTargetLeaving, "the target said that it is draining"}
	}
	if g.cold.cold && (w.request.Kind == outcome.SendHedge || w.request.Kind == outcome.SendRetry) {
		return verdict{outcome.ReasonColdStart, "no hedges or retries in cold start"}
	}
	return verdict{}
}

// inTime refuses a request that cannot finish when it starts at the given time.
func (g *Gate) inTime(w *waiter, start time.Time) verdict {
	if start.Add(g.cold.quick()).After(w.deadline) {
		return verdict{outcome.ReasonDeadline, "the request cannot finish in time"}
	}
	return verdict{}
}

// limit returns how many requests may run at once.
func (g *Gate) limit(now time.Time) int {
	share, refused := g.rules.Permit(g.target, now)
	if refused != outcome.ReasonNone || g.owner.stage != owned {
		return 0
	}
	limit := g.cold.limit
	if share < 1 {
		limit = max(1, int(float64(limit)*share))
	}
	return min(limit, g.limits.usable())
}

// dispatch grants free slots to waiters, the earliest deadline first.
func (g *Gate) dispatch(now time.Time) {
	for len(g.waiting) > 0 && g.owner.stage == owned {
		busy := g.running + g.owner.inherited()
		v := g.check(g.waiting[0], now)
		if v.reason == outcome.ReasonNone && busy >= g.limit(now) {
			return
		}
		// An idle target runs the request whatever the estimate says; otherwise an estimate that is too high would
		// never be corrected.
		if v.reason == outcome.ReasonNone && busy > 0 {
			v = g.inTime(g.waiting[0], now)
		}
		if v.reason == outcome.ReasonNone {
			g.running++
		}
		g.waiting.next().decided <- v
	}
}

// hold keeps as many connections open as requests may run at once.
func (g *Gate) hold(now time.Time) {
	c, ok := g.runner.(Connections)
	if !ok {
		return
	}
	if g.owner.stage != owned {
		// Requests that hold a slot may still need a connection.
		c.Hold(g.running, 0, false)
		return
	}
	c.Hold(g.limits.Connections, g.limit(now), !g.cold.cold)
}

// withdraw takes back a request whose context ended. A slot that was granted at the same moment is returned.
func (g *Gate) withdraw(w *waiter, cause error) verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting.remove(w) {
		return expired(cause)
	}
	v := <-w.decided
	if v.reason == outcome.ReasonNone {
		g.running--
		g.dispatch(g.clock.Now())
		return expired(cause)
	}
	return v
}

func (g *Gate) giveBack() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.dispatch(g.clock.Now())
}

// finish returns a slot and learns from the reply.
func (g *Gate) finish(res *outcome.LeafResult, elapsed time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.running--
	g.cold.observe(*res, elapsed, now)
	if res.Reason == outcome.ReasonTargetDraining {
		g.drainedUntil = now.Add(DrainHold)
		g.cold.restart()
	}
	g.hold(now)
	g.recheck(now)
	g.dispatch(now)
	res.Load, res.Cold = g.load(), g.cold.cold
}

// Recheck refuses the waiters that may no longer run, without waiting for a slot to become free.
func (g *Gate) Recheck() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.recheck(now)
	g.dispatch(now)
}

// recheck refuses all waiters if the target receives no new work.
func (g *Gate) recheck(now time.Time) {
	if len(g.waiting) == 0 {
		return
	}
	_, refused := g.rules.Permit(g.target, now)
	if refused == outcome.ReasonNone && !now.Before(g.drainedUntil) && g.owner.stage != released {
		return
	}
	for len(g.waiting) > 0 {
		w := g.waiting.next()
		w.decided <- g.check(w, now)
	}
}

func (g *Gate) refused(v verdict) outcome.LeafResult {
	res := outcome.LeafRefused(v.reason, v.detail)
	g.mu.Lock()
	defer g.mu.Unlock()
	res.Load, res.Cold = g.load(), g.cold.cold
	return res
}

func (g *Gate) load() uint32 { return uint32(len(g.waiting) + g.running) }

func expired(cause error) verdict {
	if errors.Is(cause, context.Canceled) {
		return verdict{outcome.ReasonCancelled, "cancelled before a slot was granted"}
	}
	return verdict{outcome.ReasonDeadline, "no slot before the deadline"}
}
