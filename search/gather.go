package search

import (
	"cmp"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// shardState is what is known of one expected shard.
type shardState struct {
	body     []byte
	answered bool
	// closed shards are either answered or given up.
	closed bool
	// outstanding counts the sends that have not ended.
	outstanding int
	tried       []ident.TargetID
	// mayHaveRun reports that a send ended without proof that it did not run.
	mayHaveRun bool
	reason     outcome.Reason
}

// gathering holds the answers of one search. Its expected shards come from the pinned snapshot alone. It is not safe
// for concurrent use.
type gathering struct {
	pinned   *catalog.Snapshot
	shards   []shardState
	open     int
	finished bool
}

func newGathering(pinned *catalog.Snapshot) *gathering {
	return &gathering{pinned: pinned, shards: make([]shardState, len(pinned.Shards)), open: len(pinned.Shards)}
}

// sent counts a send to a replica of the shard.
func (g *gathering) sent(shard int, target ident.TargetID) {
	st := &g.shards[shard]
	st.outstanding++
	st.tried = append(st.tried, target)
}

// receive takes in what became of an attempt and says how it counts. Only the first whole reply to an attempt's own
// request, in the pinned snapshot, to a shard that is still open becomes part of the answer.
func (g *gathering) receive(a *attempt, res *outcome.LeafResult) Class {
	class := classify(&a.request, res)
	if a.ended {
		return repeated(class)
	}
	a.ended = true
	st := &g.shards[a.shard]
	st.outstanding--
	if g.finished {
		return late(class)
	}
	if class != Accepted {
		st.mayHaveRun = st.mayHaveRun || class != Refused
		// A send that was cancelled does not say why; the search knows whether its deadline or its caller did it.
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

// giveUp closes a shard that no further send can answer.
func (g *gathering) giveUp(shard int, reason outcome.Reason) {
	st := &g.shards[shard]
	if st.closed {
		return
	}
	if st.reason == outcome.ReasonNone {
		st.reason = cmp.Or(reason, outcome.ReasonCancelled)
	}
	g.close(st)
}

func (g *gathering) close(st *shardState) {
	st.closed = true
	g.open--
}

// finish ends the gathering: replies that arrive from now on are late. A send that has not ended may still run.
func (g *gathering) finish(reason outcome.Reason) {
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

// answer fills in the outcome, the coverage and the results.
func (g *gathering) answer(a *Answer, minCoverage float64) {
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
	judge(a, mayHaveRun, minCoverage)
}

func judge(a *Answer, mayHaveRun bool, minCoverage float64) {
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
