package dispatch

import "time"

// When a VM asks to get no new connections.
const (
	// readyWindow is the time over which requests are counted.
	readyWindow = time.Second
	// minCounted is the least number of requests that says anything.
	minCounted = 3
	// unservableShare of the requests must lack targets before a VM says that it is not ready.
	unservableShare = 0.5
	// isolatedAfter is how long no VM of another zone was heard of in an isolated zone; each VM hears of about one a
	// second.
	isolatedAfter = 2 * time.Second
)

// Readiness decides whether a VM should get new connections. The load pattern that it answers is a zone that is cut off
// from the others: its VMs still get their callers but reach too few shards, while VMs of other zones would serve the
// same callers. If no zone can serve, a VM stays ready, because nothing is gained elsewhere.
type Readiness struct {
	began              time.Time
	requests, lacking  uint64
	away               bool
	lastCount, lastBad uint64
}

// Decide returns whether the VM is ready. requests and lacking count all requests so far and those that lacked
// targets; heard is when a VM of another zone was last heard of, the zero time if never.
func (r *Readiness) Decide(now time.Time, requests, lacking uint64, heard time.Time) bool {
	if now.Sub(r.began) >= readyWindow {
		r.lastCount, r.lastBad = requests-r.requests, lacking-r.lacking
		r.began, r.requests, r.lacking = now, requests, lacking
	}
	isolated := !heard.IsZero() && now.Sub(heard) >= isolatedAfter
	switch {
	case !isolated:
		r.away = false
	case r.lastCount >= minCounted && float64(r.lastBad) >= unservableShare*float64(r.lastCount):
		r.away = true
	}
	return !r.away
}
