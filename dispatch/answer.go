package dispatch

import "time"

// Constants that divide a request's latency objective.
const (
	// responseReserve is the part of the objective kept for this VM's own work and the way back to the caller.
	responseReserve = 22 * time.Millisecond
	// coordinatorReserve is the part that a coordinator keeps for its work, the entry VM's and the way back. It is smaller
	// than responseReserve although the way is longer, because a coordinator has more processor time to merge replies.
	coordinatorReserve = 20 * time.Millisecond
	// maxReserveShare limits the reserve to this share of a short objective.
	maxReserveShare = 0.4
	// minHedgeShare is the share of the objective before which no request is hedged. An earlier hedge would spend the
	// budget on requests that end in time without a hedge.
	minHedgeShare = 0.3
	// hedgeP90Factor times the 90th percentile is the latency beyond which a reply is late. Percentiles above the 90th
	// include the pauses that hedges are meant to bypass.
	hedgeP90Factor = 1.3
)

// AnswerBy returns the time by which a response must be sent to reach the caller within the objective. An objective of
// 0 stands for the default.
func AnswerBy(arrived time.Time, objective time.Duration) time.Time {
	return answerBy(arrived, objective, responseReserve)
}

func answerBy(arrived time.Time, objective, reserve time.Duration) time.Time {
	if objective <= 0 {
		objective = defaultObjective
	}
	return arrived.Add(objective - min(reserve, fraction(objective, maxReserveShare)))
}

// AnswerByAtCoordinator is AnswerBy for a search that this VM runs for another one.
func AnswerByAtCoordinator(arrived time.Time, objective time.Duration) time.Time {
	return answerBy(arrived, objective, coordinatorReserve)
}

// HedgeDelay returns how long to wait for the reply to a send before the request is hedged. An objective of 0 stands for
// the default.
func HedgeDelay(estimate LatencyEstimate, rtt, objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	return max(fraction(estimate.P90, hedgeP90Factor), fraction(objective, minHedgeShare)) + rtt
}

// Progress is the state of a search over shards.
type Progress struct {
	// Shards is the number of shards, MinCovered the number that a successful response must cover, Covered the number that
	// replied and Pending the number that may still reply.
	Shards, MinCovered, Covered, Pending int
}

// Step is the next action for a search.
type Step int

// Steps of a search.
const (
	// Wait for more replies.
	Wait Step = iota
	// Answer with the replies received so far.
	Answer
	// GiveUp because the minimum coverage can no longer be reached.
	GiveUp
)

// Next returns the next action for a search. Before answerBy, a search waits for every shard that may still reply,
// because the value of its response grows with the square of the coverage. From answerBy on, the minimum coverage is
// enough: a late response has a tenth of the value, and waiting longer does not raise it.
func (p Progress) Next(now, answerBy time.Time) Step {
	switch {
	case p.Covered == p.Shards:
		return Answer
	case p.Covered+p.Pending < p.MinCovered:
		return GiveUp
	case p.Pending == 0:
		return Answer
	case p.Covered >= p.MinCovered && !now.Before(answerBy):
		return Answer
	}
	return Wait
}
