package dispatch

import "time"

// Times of a request relative to its objective.
const (
	// returnTime is what the way back to the caller and this VM's own work take of the objective.
	returnTime = 22 * time.Millisecond
	// maxReturnShare bounds that part for short objectives.
	maxReturnShare = 0.4
	// hedgeShare is the share of the objective before which no request is hedged: an earlier hedge would spend the
	// budget on requests that end in time by themselves.
	hedgeShare = 0.3
	// hedgeOverP90 is how far beyond the 90th percentile a reply is late. Higher percentiles hold the pauses that hedges
	// are meant for.
	hedgeOverP90 = 1.3
)

// AnswerBy returns when an answer should leave so that it reaches the caller within the objective.
func AnswerBy(arrived time.Time, objective time.Duration) time.Time {
	if objective <= 0 {
		objective = defaultObjective
	}
	return arrived.Add(objective - min(returnTime, share(objective, maxReturnShare)))
}

// HedgeAfter returns how long after its send a request that has no reply is sent to one more target.
func HedgeAfter(u Usual, rtt, objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	return max(share(u.P90, hedgeOverP90), share(objective, hedgeShare)) + rtt
}

// Progress is the state of a search over shards.
type Progress struct {
	// Shards is how many there are, Least how many a success covers, Covered how many replied and Open how many may
	// still reply.
	Shards, Least, Covered, Open int
}

// Step is what to do with a search now.
type Step int

// Steps of a search.
const (
	// Wait for more replies.
	Wait Step = iota
	// Answer with what is there.
	Answer
	// GiveUp because the least coverage can no longer be reached.
	GiveUp
)

// Next decides whether a search is answered. Before the time to answer, a search waits for every shard that may still
// reply, because its value grows with the square of the coverage. From then on the least coverage is enough: a late
// answer is worth a tenth, and a later one is worth no more.
func (p Progress) Next(now, answerBy time.Time) Step {
	switch {
	case p.Covered == p.Shards:
		return Answer
	case p.Covered+p.Open < p.Least:
		return GiveUp
	case p.Open == 0:
		return Answer
	case p.Covered >= p.Least && !now.Before(answerBy):
		return Answer
	}
	return Wait
}
