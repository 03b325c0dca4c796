package search

import (
	"math/rand/v2"

	"teaselbank.example/teaselbank/hedge"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// countWithinDelay counts a first send that ended before the first tick as within the hedge delay.
func (r *run) countWithinDelay(a *attempt) {
	if a.delayCounted || a.request.Kind != outcome.SendFirst || r.ticks > 0 {
		return
	}
	a.delayCounted = true
	r.budget.RecordDelays(1, 0)
}

// countBeyondDelay counts the first sends that have not ended by the first tick as beyond the hedge delay.
func (r *run) countBeyondDelay() {
	if _, known := r.budget.Delay(); !known {
		return
	}
	var exceeded []ident.TargetID
	for _, a := range r.attempts {
		if !a.ended && !a.delayCounted && a.request.Kind == outcome.SendFirst {
			a.delayCounted = true
			exceeded = append(exceeded, a.target.ID)
		}
	}
	r.budget.RecordExceeded(exceeded)
}

// tick hedges the shards that have been outstanding for the hedge delay, and retries those whose last retry the budget
// denied. It starts at a random shard, so that a small budget is not always spent on the same shards.
func (r *run) tick() {
	if r.ticks == 0 {
		r.countBeyondDelay()
	}
	r.ticks++
	_, hedging := r.budget.Delay()
	n := len(r.extra)
	for k, offset := 0, rand.IntN(n); k < n; k++ {
		i := (k + offset) % n
		st, x := &r.gatherer.shards[i], &r.extra[i]
		switch {
		case st.closed:
		case x.retryPending && st.outstanding == 0:
			r.retry(i)
		case hedging && !x.hedged && st.outstanding > 0:
			// Once the budget denies one hedge, it denies the hedges of the other shards too.
			hedging = r.hedge(i)
		}
	}
}

// hedge sends the shard to another replica. It returns false if the budget denies the hedge.
func (r *run) hedge(shard int) bool {
	if !r.takeToken() {
		return false
	}
	r.extra[shard].hedged = true
	if reason := r.send(shard, outcome.SendHedge); reason != outcome.ReasonNone {
		r.budget.Refund()
	}
	return true
}

// takeToken takes the token for one extra send from the budget. If the budget denies the token, takeToken counts the
// denial and returns false.
func (r *run) takeToken() bool {
	denial := r.budget.Take()
	if denial == hedge.Allowed {
		return true
	}
	r.searcher.Stats.countDenial(denial)
	return false
}

// resend sends a shard again after its last outstanding send failed. If that send never reached a target, it put no
// load on any, so its replacement counts as a first send; any other replacement is a retry and needs a token.
func (r *run) resend(a *attempt) {
	st := &r.gatherer.shards[a.shard]
	if len(st.tried) >= maxSendsPerShard {
		r.gatherer.giveUp(a.shard, st.reason)
		return
	}
	if a.class == Refused && neverReachedTarget(a.result.Reason) {
		if reason := r.send(a.shard, outcome.SendFirst); reason != outcome.ReasonNone {
			r.gatherer.giveUp(a.shard, reason)
			return
		}
		r.searcher.Stats.Rerouted.Add(1)
		return
	}
	r.retry(a.shard)
}

// retry sends a shard again if the budget allows it. If not, the next tick tries again; after more than
// maxRetryDenials denials the shard is given up.
func (r *run) retry(shard int) {
	x := &r.extra[shard]
	if !r.takeToken() {
		x.retryPending = true
		if x.retryDenials++; x.retryDenials > maxRetryDenials {
			r.gatherer.giveUp(shard, r.gatherer.shards[shard].reason)
		}
		return
	}
	x.retryPending = false
	if reason := r.send(shard, outcome.SendRetry); reason != outcome.ReasonNone {
		r.budget.Refund()
		r.gatherer.giveUp(shard, reason)
	}
}

// neverReachedTarget reports whether a refusal with this reason proves that the request reached no target.
func neverReachedTarget(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonDialFailed, outcome.ReasonPeerUnreachable, outcome.ReasonNotOwner, outcome.ReasonTargetUnknown,
		outcome.ReasonZoneOut, outcome.ReasonTargetLeaving, outcome.ReasonTakeoverDelay:
		return true
	default:
		return false
	}
}
