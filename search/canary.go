package search

import (
	"math/rand/v2"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/snapshot"
)

// admitted asks the guard whether the query may be fanned out; if not, it fills in the answer.
func (r *run) admitted(answer *Answer) bool {
	if r.searcher.Guard == nil {
		return true
	}
	if reason := r.expired(r.ctx); reason != outcome.ReasonNone {
		r.refuseAll(answer, outcome.NotRun, reason)
		return false
	}
	tried := make([]bool, len(r.pin.Snapshot.Shards))
	var (
		canary outcome.LeafRequest
		res    GuardResult
	)
	for n := range maxCanaryShards {
		shard, choice, ok := r.canaryShard(tried)
		if !ok && n == 0 {
			// No replica of any shard may receive work; scatter names the reason of each.
			return true
		}
		if !ok {
			break
		}
		tried[shard] = true
		canary, res = r.check(shard, choice)
		if res.Verdict == GuardSafe {
			if res.Leaf != nil {
				r.takeCanary(shard, canary, choice, res)
			}
			return true
		}
		if !ranNowhere(&canary, res) || r.ctx.Err() != nil {
			break
		}
		// The canary was refused, as when its shard has lost its replicas. That says nothing about the query, and the
		// other shards still have to be covered.
	}
	r.refuseGuarded(answer, &canary, res)
	return false
}

// ranNowhere reports whether no target can have run the canary.
func ranNowhere(canary *outcome.LeafRequest, res GuardResult) bool {
	return res.Verdict == GuardFailed && res.Leaf != nil && classify(canary, res.Leaf) == Refused
}

// maxCanaryShards is how many shards a query may try to run its canary on; each of the earlier ones provably ran
// nothing.
const maxCanaryShards = 4

// check sends one canary through the guard and learns from its reply.
func (r *run) check(shard int, choice replica.Choice) (outcome.LeafRequest, GuardResult) {
	canary := r.request(r.pin.Snapshot.Shards[shard].ID, r.pin.Snapshot.ID, choice.Target.ID, outcome.SendCanary)
	sent := r.searcher.Clock.Now()
	res := r.searcher.Guard.Check(r.ctx, Fingerprint(r.service.ID, r.query.Body), canary, r.replicas(shard, choice))
	if res.Leaf != nil && classify(&canary, res.Leaf) != Foreign {
		r.searcher.Beliefs.Learn(snapshot.Reply{Target: res.Target, Incarnation: res.Leaf.Incarnation, Held: res.Leaf.Held, Sent: sent})
	}
	return canary, res
}

// canaryShard picks a shard that was not tried at random, so that canaries do not always load the same one. A shard
// with a replica in this zone goes first: the whole fan-out waits for the canary, and a hop between zones costs it
// twice the link's delay.
func (r *run) canaryShard(tried []bool) (int, replica.Choice, bool) {
	n := len(r.pin.Snapshot.Shards)
	far, farChoice, found := 0, replica.Choice{}, false
	for k, offset := 0, rand.IntN(n); k < n; k++ {
		i := (k + offset) % n
		if tried[i] {
			continue
		}
		choice, reason := r.searcher.Replicas.Choose(replica.Need{Service: r.service.ID, Snapshot: r.pin.Snapshot.ID,
			Shard: &r.pin.Snapshot.Shards[i], Kind: outcome.SendCanary})
		switch {
		case reason != outcome.ReasonNone:
		case r.searcher.Replicas.Near(choice.Target):
			return i, choice, true
		case !found:
			far, farChoice, found = i, choice, true
		}
	}
	return far, farChoice, found
}

// replicas lists the replicas that may run the canary, the chosen one first.
func (r *run) replicas(shard int, choice replica.Choice) []ident.TargetID {
	ids := []ident.TargetID{choice.Target.ID}
	for _, t := range r.pin.Snapshot.Shards[shard].Replicas {
		if t.ID != choice.Target.ID && r.searcher.Replicas.Usable(t) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// takeCanary counts the canary's reply as the answer of its shard, by the rules of every reply. If it is not
// accepted the shard is sent like the others.
func (r *run) takeCanary(shard int, canary outcome.LeafRequest, choice replica.Choice, res GuardResult) {
	a := &attempt{shard: shard, request: canary, target: choice.Target, reason: choice.Reason, stale: choice.Stale,
		cancel: func() {}, judged: true, result: *res.Leaf}
	if t, ok := r.service.Target(res.Target); ok {
		a.target = t
	}
	r.attempts = append(r.attempts, a)
	r.gathering.sent(shard, a.target.ID)
	a.class = r.gathering.receive(a, &a.result)
	r.searcher.Stats.class(a.class)
	r.searcher.Stats.kind(outcome.SendCanary)
	if a.class != Accepted {
		// The canary's replica may serve the shard again.
		r.gathering.shards[shard].tried = nil
	}
}

// refuseGuarded answers a query that is not fanned out. It is "not run" only if no canary of this query may have run.
func (r *run) refuseGuarded(answer *Answer, canary *outcome.LeafRequest, res GuardResult) {
	kind, reason := outcome.Unknown, outcome.ReasonConnectionLost
	switch {
	case res.Leaf != nil:
		class := classify(canary, res.Leaf)
		if class == Refused {
			kind = outcome.NotRun
		}
		if named := reasonOf(class, res.Leaf); named != outcome.ReasonNone {
			reason = named
		}
	case res.Verdict == GuardQuarantined:
		kind = outcome.NotRun
	default:
		if expired := r.expired(r.ctx); expired != outcome.ReasonNone {
			reason = expired
		}
	}
	if res.Verdict == GuardQuarantined {
		reason = outcome.ReasonQuarantined
	}
	r.refuseAll(answer, kind, reason)
}

// refuseAll answers without any shard.
func (r *run) refuseAll(answer *Answer, kind outcome.Kind, reason outcome.Reason) {
	for i := range r.gathering.shards {
		r.gathering.giveUp(i, reason)
	}
	r.gathering.answer(answer, r.query.MinCoverage)
	answer.Outcome, answer.Reason = kind, reason
}
