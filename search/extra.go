package search

import (
	"math/rand/v2"

	"teaselbank.example/teaselbank/hedge"
	"teaselbank.example/teaselbank/outcome"
)

// judge counts a first send that ended before the first tick as within the hedge delay.
func (r *run) judge(a *attempt) {
	if a.judged || a.request.Kind != outcome.SendFirst || r.ticks > 0 {
		return
	}
	a.judged = true
	r.budget.Judged(1, 0)
}

// judgeOutstanding counts the first sends that have not ended at the first tick as beyond the hedge delay.
func (r *run) judgeOutstanding() {
	if _, known := r.budget.Delay(); !known {
		return
	}
	exceeded := 0
	for _, a := range r.attempts {
		if !a.ended && !a.judged && a.request.Kind == outcome.SendFirst {
			a.judged = true
			exceeded++
		}
	}
	r.budget.Judged(0, exceeded)
}

// tick hedges the shards that have waited for the hedge delay, and retries those that wait for the budget. It starts
// at a random shard, so that a short budget does not always serve the same ones.
func (r *run) tick() {
	if r.ticks == 0 {
		r.judgeOutstanding()
	}
	r.ticks++
	_, hedging := r.budget.Delay()
	n := len(r.extra)
	for k, offset := 0, rand.IntN(n); k < n; k++ {
		i := (k + offset) % n
		st, x := &r.gathering.shards[i], &r.extra[i]
		switch {
		case st.closed:
		case x.waiting && st.outstanding == 0:
			r.retry(i)
		case hedging && !x.hedged && st.outstanding > 0:
			// After a denial the budget denies the other shards too.
			hedging = r.hedge(i)
		}
	}
}

// hedge sends the shard to another replica, unless the budget denies it.
func (r *run) hedge(shard int) bool {
	if !r.take() {
		return false
	}
	r.extra[shard].hedged = true
	if reason := r.send(shard, outcome.SendHedge); reason != outcome.ReasonNone {
		r.budget.Return()
	}
	return true
}

func (r *run) take() bool {
	denial := r.budget.Take()
	if denial == hedge.Allowed {
		return true
	}
	r.searcher.Stats.denied(denial)
	return false
}

// recover sends a shard again after its last outstanding send failed. A send that never reached a target placed no
// load on any, so the one that replaces it counts as a first send; any other needs the budget.
func (r *run) recover(a *attempt) {
	st := &r.gathering.shards[a.shard]
	if len(st.tried) >= maxSends {
		r.gathering.giveUp(a.shard, st.reason)
		return
	}
	if a.class == Refused && neverArrived(a.result.Reason) {
		if reason := r.send(a.shard, outcome.SendFirst); reason != outcome.ReasonNone {
			r.gathering.giveUp(a.shard, reason)
			return
		}
		r.searcher.Stats.Rerouted.Add(1)
		return
	}
	r.retry(a.shard)
}

func (r *run) retry(shard int) {
	x := &r.extra[shard]
	if !r.take() {
		x.waiting = true
		if x.waits++; x.waits > maxRetryWaits {
			r.gathering.giveUp(shard, r.gathering.shards[shard].reason)
		}
		return
	}
	x.waiting = false
	if reason := r.send(shard, outcome.SendRetry); reason != outcome.ReasonNone {
		r.budget.Return()
		r.gathering.giveUp(shard, reason)
	}
}

// neverArrived reports whether a refusal for the reason proves that no target was reached.
func neverArrived(reason outcome.Reason) bool {
	switch reason {
	case outcome.ReasonDialFailed, outcome.ReasonPeerUnreachable, outcome.ReasonNotOwner, outcome.ReasonTargetUnknown,
		outcome.ReasonZoneOut, outcome.ReasonTargetLeaving, outcome.ReasonTakeover:
		return true
	default:
		return false
	}
}
