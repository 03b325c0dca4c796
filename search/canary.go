package search

import (
	"math/rand/v2"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/snapshot"
)

// checkGuard reports whether the guard allows the query to be fanned out; if not, it fills in the answer.
func (r *run) checkGuard(answer *Answer) bool {
	if r.searcher.Guard == nil {
		return true
	}
	if reason := r.stopReason(r.ctx); reason != outcome.ReasonNone {
		r.refuseAll(answer, outcome.NotRun, reason)
		return false
	}
	tried := make([]bool, len(r.pin.Snapshot.Shards))
	var (
		canary outcome.LeafRequest
		res    GuardResult
	)
	for n := range maxCanaryShards {
		shard, choice, ok := r.chooseCanaryShard(tried)
		if !ok && n == 0 {
			// No replica of any shard may receive work; scatter records the reason for each shard.
			return true
		}
		if !ok {
			break
		}
		tried[shard] = true
		canary, res = r.runCanary(shard, choice)
		if res.Verdict == GuardSafe {
			if res.Leaf != nil {
				r.recordCanary(shard, canary, choice, res)
			}
			return true
		}
		if !provablyNotRun(&canary, res) || r.ctx.Err() != nil {
			break
		}
		// The canary was refused, for example because its shard has lost all replicas. A refusal says nothing about the
		// query, and the other shards still have to be covered, so the canary is tried on another shard.
	}
	r.refuseByGuard(answer, &canary, res)
	return false
}

// provablyNotRun reports whether it is certain that no target ran the canary.
func provablyNotRun(canary *outcome.LeafRequest, res GuardResult) bool {
	return res.Verdict == GuardFailed && res.Leaf != nil && classify(canary, res.Leaf) == Refused
}

// maxCanaryShards bounds the shards on which a query tries its canary. The next shard is tried only if the canary
// provably did not run on the one before.
const maxCanaryShards = 4

// runCanary passes one canary to the guard and records the snapshots that its reply says the target holds.
func (r *run) runCanary(shard int, choice replica.Choice) (outcome.LeafRequest, GuardResult) {
	canary := r.request(r.pin.Snapshot.Shards[shard].ID, r.pin.Snapshot.ID, choice.Target.ID, outcome.SendCanary)
	sent := r.searcher.Clock.Now()
	res := r.searcher.Guard.Check(r.ctx, Fingerprint(r.service.ID, r.query.Body), canary, r.canaryReplicas(shard, choice))
	if res.Leaf != nil && classify(&canary, res.Leaf) != Foreign {
		r.searcher.Holdings.Record(snapshot.Reply{Target: res.Target, Incarnation: res.Leaf.Incarnation, Held: res.Leaf.Held, Sent: sent})
	}
	return canary, res
}

// chooseCanaryShard returns a shard that was not tried, and the replica for its canary. The third result is false if no
// such shard has a replica that may run the canary. The scan starts at a random shard, so that canaries do not always
// load the same one. A shard whose replica is in this VM's zone is preferred: the whole fan-out waits for the canary,
// and another zone adds twice the delay of the link between the zones.
func (r *run) chooseCanaryShard(tried []bool) (int, replica.Choice, bool) {
	n := len(r.pin.Snapshot.Shards)
	remote, remoteChoice, found := 0, replica.Choice{}, false
	for k, offset := 0, rand.IntN(n); k < n; k++ {
		i := (k + offset) % n
		if tried[i] {
			continue
		}
		choice, reason := r.searcher.Replicas.Choose(replica.Criteria{Service: r.service.ID, Snapshot: r.pin.Snapshot.ID,
			Shard: &r.pin.Snapshot.Shards[i], Kind: outcome.SendCanary})
		switch {
		case reason != outcome.ReasonNone:
		case r.searcher.Replicas.SameZone(choice.Target):
			return i, choice, true
		case !found:
			remote, remoteChoice, found = i, choice, true
		}
	}
	return remote, remoteChoice, found
}

// canaryReplicas returns the replicas of the shard that may run the canary, the chosen one first.
func (r *run) canaryReplicas(shard int, choice replica.Choice) []ident.TargetID {
	ids := []ident.TargetID{choice.Target.ID}
	for _, t := range r.pin.Snapshot.Shards[shard].Replicas {
		if t.ID != choice.Target.ID && r.searcher.Replicas.Usable(t) {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// recordCanary handles the canary's reply like any other reply of its shard. If it is not accepted, the shard stays
// open and scatter sends it like the others.
func (r *run) recordCanary(shard int, canary outcome.LeafRequest, choice replica.Choice, res GuardResult) {
	a := &attempt{shard: shard, request: canary, target: choice.Target, reason: choice.Reason, stale: choice.Stale,
		cancel: func() {}, delayCounted: true, result: *res.Leaf}
	if t, ok := r.service.Target(res.Target); ok {
		a.target = t
	}
	r.attempts = append(r.attempts, a)
	r.gatherer.recordSend(shard, a.target.ID)
	a.class = r.gatherer.receive(a, &a.result)
	r.searcher.Stats.countResult(a.class)
	r.searcher.Stats.countSend(outcome.SendCanary)
	if a.class != Accepted {
		// scatter may choose the canary's replica again.
		r.gatherer.shards[shard].tried = nil
	}
}

// refuseByGuard fills in the answer to a query that the guard kept from being fanned out. The outcome is NotRun only if
// it is certain that no canary of this query ran.
func (r *run) refuseByGuard(answer *Answer, canary *outcome.LeafRequest, res GuardResult) {
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
		if stop := r.stopReason(r.ctx); stop != outcome.ReasonNone {
			reason = stop
		}
	}
	if res.Verdict == GuardQuarantined {
		reason = outcome.ReasonQuarantined
	}
	r.refuseAll(answer, kind, reason)
}

// refuseAll fills in an answer that covers no shard.
func (r *run) refuseAll(answer *Answer, kind outcome.Kind, reason outcome.Reason) {
	for i := range r.gatherer.shards {
		r.gatherer.giveUp(i, reason)
	}
	r.gatherer.fillAnswer(answer, r.query.MinCoverage)
	answer.Outcome, answer.Reason = kind, reason
}
