package dispatch

import (
	"sync"
	"time"
)

const (
	// maxRest is the longest time that a target is left alone for what it states in one reply.
	maxRest = time.Hour
	// The VMs that a target has turned away come back spread over restSpreadPart of the stated time, at most maxRestSpread.
	restSpreadPart = 0.25
	maxRestSpread  = time.Second
	// trialTimeout is how long the first request after a rest may take before another one is sent.
	trialTimeout = time.Second
)

// Rest is the time for which a target wants no requests from this VM. A target in need states it as it turns a request away.
// After that time it gets one request at a time until it has run one, so that it does not get the load of all VMs at once.
// Rest is safe for concurrent use; the zero value is a target that has stated none.
type Rest struct {
	mu sync.Mutex
	// until is the end of the time that the target stated, resume when this VM sends again.
	until, resume time.Time
	// recovering reports that no request has been run since; trialAt is when the one in flight was sent.
	recovering bool
	trialAt    time.Time
}

// Stated records a reply at the time now that states a rest, and reports whether it ends later than the one before. An earlier
// end is ignored, because the target counts each time that it stated. spread, from 0 to 1, differs between VMs.
//
// Load pattern: a target in need turns away the VMs of a fleet, eight or hundreds, within a moment and states the same time
// to all of them. At its end all have requests for it.
func (r *Rest) Stated(now time.Time, d time.Duration, spread float64) (longer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d = min(d, maxRest)
	until := now.Add(d)
	if d <= 0 || !until.After(r.until) {
		return false
	}
	r.until = until
	r.resume = until.Add(time.Duration(spread * float64(min(maxRestSpread, time.Duration(restSpreadPart*float64(d))))))
	r.recovering, r.trialAt = true, time.Time{}
	return true
}

// CanSend reports whether a request may be sent now.
func (r *Rest) CanSend(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.canSend(now)
}

func (r *Rest) canSend(now time.Time) bool {
	return !now.Before(r.resume) && (!r.recovering || r.trialAt.IsZero() || now.Sub(r.trialAt) >= trialTimeout)
}

// Take reports whether a request may be sent now and, if so, counts it.
func (r *Rest) Take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.canSend(now) {
		return false
	}
	if r.recovering {
		r.trialAt = now
	}
	return true
}

// Ended records that a request that Take counted has ended; ran reports that the target ran it.
func (r *Rest) Ended(sent time.Time, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sent.Before(r.until) {
		return // sent before the rest
	}
	r.trialAt = time.Time{}
	if ran {
		r.recovering = false
	}
}

// Remaining returns how long no request is sent; 0 if one may be sent now.
func (r *Rest) Remaining(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.resume.Sub(now))
}
