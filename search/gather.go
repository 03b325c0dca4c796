package search

import (
	"cmp"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// shardState is the state of one expected shard.
type shardState struct {
	body     []byte
	answered bool
	// closed reports that the shard was answered or given up.
	closed bool
	// outstanding counts the sends that have not ended.
	outstanding int
	// tried lists the targets to which the shard was sent.
	tried []ident.TargetID
	// mayHaveRun reports that at least one send may have run.
	mayHaveRun bool
	// reason is why the shard is missing, if it is not answered.
	reason outcome.Reason
}

// gatherer collects the replies of one search. Its expected shards are those of the pinned snapshot. It is not safe for
// concurrent use.
type gatherer struct {
	pinned     *catalog.Snapshot
	shards     []shardState
	openShards int
	finished   bool
}

func newGatherer(pinned *catalog.Snapshot) *gatherer {
	return &gatherer{pinned: pinned, shards: make([]shardState, len(pinned.Shards)), openShards: len(pinned.Shards)}
}

// recordSend records a send of the shard to a target.
func (g *gatherer) recordSend(shard int, target ident.TargetID) {
	st := &g.shards[shard]
	st.outstanding++
	st.tried = append(st.tried, target)
}

// receive records the result of an attempt and returns its class. A reply becomes part of the answer only if it is the
// first complete reply for a shard that is still open, answers the attempt's own request and comes from the pinned
// snapshot.
func (g *gatherer) receive(a *attempt, res *outcome.LeafResult) ResultClass {
	class := classify(&a.request, res)
	if a.ended {
		return repeatedClass(class)
	}
	a.ended = true
	st := &g.shards[a.shard]
	st.outstanding--
	if g.finished {
		return lateClass(class)
	}
	if class != Accepted {
		st.mayHaveRun = st.mayHaveRun || class != Refused
		// A cancelled send does not show why it was cancelled; the run itself records whether its deadline passed
		// or its caller left.
		if !st.closed && class != Cancelled {
			st.reason = reasonOf(class, res)
		}
		return class
	}
	if st.closed {
		return Duplicate
	}
	st.body, st.answered = res.Body, true
	g.close(st)
	return Accepted
}

// giveUp closes a shard without an answer. The reason is used only if no result has supplied one.
func (g *gatherer) giveUp(shard int, reason outcome.Reason) {
	st := &g.shards[shard]
	if st.closed {
		return
	}
	if st.reason == outcome.ReasonNone {
		st.reason = cmp.Or(reason, outcome.ReasonCancelled)
	}
	g.close(st)
}

func (g *gatherer) close(st *shardState) {
	st.closed = true
	g.openShards--
}

// finish gives up the shards that are still open. The reason is used for those with an outstanding send, which may still
// run, and for those without an earlier reason. Replies that arrive from now on are late.
func (g *gatherer) finish(reason outcome.Reason) {
	g.finished = true
	for i := range g.shards {
		st := &g.shards[i]
		if st.closed {
			continue
		}
		if st.outstanding > 0 {
			st.mayHaveRun, st.reason = true, reason
		}
		g.giveUp(i, reason)
	}
}

// fillAnswer sets the outcome, its reason, the coverage and the results of the answer.
func (g *gatherer) fillAnswer(a *Answer, minCoverage float64) {
	a.Coverage = Coverage{Expected: len(g.shards)}
	mayHaveRun := false
	for i := range g.shards {
		st, id := &g.shards[i], g.pinned.Shards[i].ID
		mayHaveRun = mayHaveRun || st.mayHaveRun
		if st.answered {
			a.Coverage.Answered++
			a.Results = append(a.Results, ShardResult{Shard: id, Body: st.body})
			continue
		}
		a.Coverage.Missing = append(a.Coverage.Missing, MissingShard{Shard: id, Reason: st.reason})
	}
	setOutcome(a, mayHaveRun, minCoverage)
}

// setOutcome derives the outcome and its reason from the coverage. It drops the results if the coverage is below
// minCoverage.
func setOutcome(a *Answer, mayHaveRun bool, minCoverage float64) {
	c := a.Coverage
	switch {
	case c.Expected == 0:
		a.Outcome, a.Reason = outcome.NotRun, outcome.ReasonNoReplica
	case c.Answered == c.Expected:
		a.Outcome = outcome.Complete
	case c.Answered == 0 && !mayHaveRun:
		a.Outcome, a.Reason = outcome.NotRun, c.Missing[0].Reason
	case c.Answered == 0:
		a.Outcome, a.Reason = outcome.Unknown, c.Missing[0].Reason
	case c.Share() < minCoverage:
		a.Outcome, a.Reason, a.Results = outcome.Unknown, outcome.ReasonCoverageTooLow, nil
	default:
		a.Outcome, a.Reason = outcome.Partial, c.Missing[0].Reason
	}
}
