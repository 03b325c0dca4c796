package coordinator

import "time"

// avoidAfterFailure and avoidAfterRefusal are how long a coordinator gets no searches after it did not reply, and after
// it replied that it would not run one now. A VM has a search every few seconds, so a coordinator that is down costs it
// one wait.
const (
	avoidAfterFailure = 2 * time.Second
	avoidAfterRefusal = 200 * time.Millisecond
)

// Health is what a VM knows of a coordinator from its own calls. The zero value is a coordinator that was not called yet.
type Health struct {
	// InFlight is the number of this VM's calls that the coordinator is running.
	InFlight   int
	avoidUntil time.Time
}

// Failed records that the coordinator did not reply.
func (h *Health) Failed(now time.Time) { h.avoid(now.Add(avoidAfterFailure)) }

// Refused records that the coordinator replied that it would not run a search now.
func (h *Health) Refused(now time.Time) { h.avoid(now.Add(avoidAfterRefusal)) }

func (h *Health) avoid(until time.Time) {
	if until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
}

// Choose returns the index of the coordinator to try: of those that neither failed nor refused recently, one with the
// fewest calls in flight, the first from start on. It returns -1 if there is none.
func Choose(candidates []Health, now time.Time, start int) int {
	best := -1
	for i := range candidates {
		at := (start + i) % len(candidates)
		if now.Before(candidates[at].avoidUntil) {
			continue
		}
		if best < 0 || candidates[at].InFlight < candidates[best].InFlight {
			best = at
		}
	}
	return best
}
