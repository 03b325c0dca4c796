// Package gate schedules the slots of targets. The placement plan assigns each target to one VM or a few VMs, its
// owners. All leaf requests to a target pass the gate of one of its owners, so that the number running at once stays
// within the target's slots, whichever VMs the requests come from.
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

// DrainHold is how long a target receives no requests after it replied that it is draining. Requests resume afterwards,
// in cold start, because a target may restart at the same address without any other sign.
const DrainHold = 30 * time.Second

// noDeadline is the time from arrival to the deadline that is assumed for a request without a deadline. It orders such
// a request behind all others.
const noDeadline = 24 * time.Hour

// Runner sends a leaf request to a target once a slot is granted.
type Runner interface {
	Send(ctx context.Context, address string, r outcome.LeafRequest) outcome.LeafResult
}

// ConnectionPool is implemented by runners that pool the connections to their target. Its methods do not block.
type ConnectionPool interface {
	// Resize sets the maximum number of connections to limit, and opens connections in advance until minOpen are open. If
	// minOpen is 0, idle connections are closed. While the target is warm, closed connections are replaced without the
	// rate limit.
	Resize(limit, minOpen int, warm bool)
	// Close closes the connections. It is called when no request runs any more.
	Close()
}

// Rules decide whether a target may receive new work. They are applied at admission and again when a slot is granted,
// because the decision may change while a request waits.
type Rules interface {
	// Permit returns the share of the target's slots that may be used at the given time, from 0 to 1, or the reason why
	// the target receives no new work.
	Permit(target ident.TargetID, now time.Time) (share float64, refused outcome.Reason)
}

// Limits are the limits of one target, or of one owner's share of it.
type Limits struct {
	// Slots is the maximum number of running requests; ColdSlots replaces it at the beginning of a cold start.
	Slots     int
	ColdSlots int
	// Connections is the maximum number of open connections.
	Connections int
	// Queue is the maximum number of waiting requests.
	Queue int
}

// usable returns the maximum number of running requests, each of which occupies a slot and a connection.
func (l Limits) usable() int { return min(l.Slots, l.Connections) }

// min returns the field-by-field minimum of two limits.
func (l Limits) min(o Limits) Limits {
	return Limits{Slots: min(l.Slots, o.Slots), ColdSlots: min(l.ColdSlots, o.ColdSlots),
		Connections: min(l.Connections, o.Connections), Queue: min(l.Queue, o.Queue)}
}

// Gate schedules the slots of one target at one of its owners.
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
	queue    queue
	sequence uint64
	// drainHoldUntil is the end of DrainHold after the target replied that it is draining.
	drainHoldUntil time.Time
}

// New returns the gate of a target that this VM owns, in cold start.
func New(target ident.TargetID, address string, limits Limits, runner Runner, clock clockwork.Clock, rules Rules) *Gate {
	return &Gate{target: target, address: address, limits: limits, runner: runner, clock: clock, rules: rules,
		owner: ownership{stage: owned, soleOwner: true}, cold: newColdStart(limits.usable(), limits.ColdSlots)}
}

// Do waits for a slot, sends the request to the target and returns the result. A request that gets no slot, because it
// is refused or because ctx ends first, has status LeafNotRun.
func (g *Gate) Do(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	w := g.submit(ctx, &r)
	var d decision
	select {
	case d = <-w.decided:
	case <-ctx.Done():
		d = g.withdraw(w, ctx.Err())
	}
	if d.reason != outcome.ReasonNone {
		return g.refuse(d)
	}
	granted := g.clock.Now()
	select {
	case <-ctx.Done():
		g.returnSlot()
		return g.refuse(contextDecision(ctx.Err()))
	default:
	}
	res := g.runner.Send(ctx, g.address, r)
	g.finish(&res, g.clock.Since(granted))
	res.QueueTime = granted.Sub(w.arrived)
	return res
}

// submit refuses a request at once, or queues it and grants the slots that are free.
func (g *Gate) submit(ctx context.Context, r *outcome.LeafRequest) *waiter {
	now := g.clock.Now()
	w := &waiter{request: r, arrived: now, index: -1, decided: make(chan decision, 1)}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(noDeadline)
	}
	w.deadline = deadline
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := g.admit(w, now); d.reason != outcome.ReasonNone {
		w.decided <- d
		return w
	}
	g.sequence++
	w.sequence = g.sequence
	g.queue.add(w)
	g.dispatch(now)
	return w
}

// admit decides whether a request may be queued.
func (g *Gate) admit(w *waiter, now time.Time) decision {
	if d := g.check(w, now); d.reason != outcome.ReasonNone {
		return d
	}
	if d := g.owner.admit(w.deadline); d.reason != outcome.ReasonNone {
		return d
	}
	limit := g.limit(now)
	if len(g.queue) >= g.limits.Queue && g.running+g.owner.inherited() >= limit {
		return decision{outcome.ReasonQueueFull, "the target's queue is full"}
	}
	pending := g.queue.ahead(w.deadline) + g.running + g.owner.inherited()
	if g.owner.stage == owned && pending > 0 {
		rounds := max(0, pending-limit+1)
		wait := time.Duration(rounds) * g.cold.minLatency() / time.Duration(max(1, limit))
		return g.checkDeadline(w, now.Add(wait))
	}
	return decision{}
}

// check applies the conditions that hold both at admission and when a slot is granted.
func (g *Gate) check(w *waiter, now time.Time) decision {
	if g.owner.stage == released {
		return decision{outcome.ReasonNotOwner, "this VM no longer owns the target"}
	}
	if !w.deadline.After(now) {
		return decision{outcome.ReasonDeadline, "the deadline of the request has passed"}
	}
	if _, reason := g.rules.Permit(g.target, now); reason != outcome.ReasonNone {
		return decision{reason, "the target receives no new work"}
	}
	if now.Before(g.drainHoldUntil) {
		return decision{outcome.ReasonTargetLeaving, "the target replied that it is draining"}
	}
	if g.cold.cold && (w.request.Kind == outcome.SendHedge || w.request.Kind == outcome.SendRetry) {
		return decision{outcome.ReasonColdStart, "the target is in cold start and receives no hedges or retries"}
	}
	return decision{}
}

// checkDeadline refuses a request that cannot meet its deadline if it starts at the given time.
func (g *Gate) checkDeadline(w *waiter, start time.Time) decision {
	if start.Add(g.cold.minLatency()).After(w.deadline) {
		return decision{outcome.ReasonDeadline, "the request cannot finish before its deadline"}
	}
	return decision{}
}

// limit returns the number of requests that may run at once now.
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

// dispatch grants free slots to waiting requests, earliest deadline first.
func (g *Gate) dispatch(now time.Time) {
	for len(g.queue) > 0 && g.owner.stage == owned {
		busy := g.running + g.owner.inherited()
		d := g.check(g.queue[0], now)
		if d.reason == outcome.ReasonNone && busy >= g.limit(now) {
			return
		}
		// An idle target runs the request whatever the latency estimate is; otherwise an estimate that is too high
		// would never be corrected.
		if d.reason == outcome.ReasonNone && busy > 0 {
			d = g.checkDeadline(g.queue[0], now)
		}
		if d.reason == outcome.ReasonNone {
			g.running++
		}
		g.queue.next().decided <- d
	}
}

// resizePool sets the pool's maximum to the connection limit, and has as many connections opened in advance as requests
// may run at once.
func (g *Gate) resizePool(now time.Time) {
	c, ok := g.runner.(ConnectionPool)
	if !ok {
		return
	}
	if g.owner.stage != owned {
		// Requests that hold a slot may still need a connection.
		c.Resize(g.running, 0, false)
		return
	}
	c.Resize(g.limits.Connections, g.limit(now), !g.cold.cold)
}

// withdraw removes a request whose context ended. A slot that was granted at the same moment is returned.
func (g *Gate) withdraw(w *waiter, cause error) decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(w) {
		return contextDecision(cause)
	}
	d := <-w.decided
	if d.reason == outcome.ReasonNone {
		g.running--
		g.dispatch(g.clock.Now())
		return contextDecision(cause)
	}
	return d
}

// returnSlot returns a granted slot that was not used.
func (g *Gate) returnSlot() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.dispatch(g.clock.Now())
}

// finish returns the slot of a request that ran, and updates the cold-start state from its result.
func (g *Gate) finish(res *outcome.LeafResult, elapsed time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.running--
	g.cold.observe(*res, elapsed, now)
	if res.Reason == outcome.ReasonTargetDraining {
		g.drainHoldUntil = now.Add(DrainHold)
		g.cold.restart()
	}
	g.resizePool(now)
	g.refuseExcluded(now)
	g.dispatch(now)
	res.Load, res.Cold = g.load(), g.cold.cold
}

// Recheck refuses the waiting requests if the target receives no new work any more, without waiting for a slot to
// become free, and grants the slots that are free.
func (g *Gate) Recheck() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.refuseExcluded(now)
	g.dispatch(now)
}

// refuseExcluded refuses all waiting requests if the target receives no new work. g.mu must be held.
func (g *Gate) refuseExcluded(now time.Time) {
	if len(g.queue) == 0 {
		return
	}
	_, refused := g.rules.Permit(g.target, now)
	if refused == outcome.ReasonNone && !now.Before(g.drainHoldUntil) && g.owner.stage != released {
		return
	}
	for len(g.queue) > 0 {
		w := g.queue.next()
		w.decided <- g.check(w, now)
	}
}

// refuse returns the result of a request that got no slot.
func (g *Gate) refuse(d decision) outcome.LeafResult {
	res := outcome.NotRunResult(d.reason, d.detail)
	g.mu.Lock()
	defer g.mu.Unlock()
	res.Load, res.Cold = g.load(), g.cold.cold
	return res
}

// load returns the number of requests that wait or run.
func (g *Gate) load() uint32 { return uint32(len(g.queue) + g.running) }

// contextDecision returns the refusal of a request whose context ended with the given error.
func contextDecision(cause error) decision {
	if errors.Is(cause, context.Canceled) {
		return decision{outcome.ReasonCancelled, "cancelled before a slot was granted"}
	}
	return decision{outcome.ReasonDeadline, "the deadline passed before a slot was granted"}
}
