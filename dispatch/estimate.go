package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sampleSize is how many of the newest latencies the quantiles are computed from.
	sampleSize = 256
	// refreshEvery is how many new latencies pass between two computations of the quantiles.
	refreshEvery = 32
)

// LatencyEstimate is the estimated latency of a route's requests at a target, without the network round trip.
type LatencyEstimate struct {
	Median, P90 time.Duration
}

// LatencyEstimator estimates the latency of a route's requests from the replies to first sends. It is safe for
// concurrent use.
type LatencyEstimator struct {
	estimate atomic.Pointer[LatencyEstimate]

	mu     sync.Mutex
	sample [sampleSize]time.Duration
	seen   int
}

const (
	// The estimates of a route without replies are these shares of its objective.
	initialMedianShare = 0.12
	initialP90Share    = 0.25
	// defaultObjective is the objective of a route that states none.
	defaultObjective = 500 * time.Millisecond
)

// NewLatencyEstimator returns an estimator whose first estimates are shares of the route's latency objective; an
// objective of 0 stands for the default.
func NewLatencyEstimator(objective time.Duration) *LatencyEstimator {
	if objective <= 0 {
		objective = defaultObjective
	}
	e := &LatencyEstimator{}
	e.estimate.Store(&LatencyEstimate{Median: fraction(objective, initialMedianShare), P90: fraction(objective, initialP90Share)})
	return e
}

// Estimate returns the current estimate.
func (e *LatencyEstimator) Estimate() LatencyEstimate { return *e.estimate.Load() }

// Observe adds the latency of a reply to a first send, without the network round trip.
func (e *LatencyEstimator) Observe(latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sample[e.seen%sampleSize] = max(latency, 0)
	e.seen++
	if e.seen%refreshEvery != 0 {
		return
	}
	sorted := slices.Clone(e.sample[:min(e.seen, sampleSize)])
	slices.Sort(sorted)
	e.estimate.Store(&LatencyEstimate{Median: sorted[len(sorted)/2], P90: sorted[len(sorted)*90/100]})
}

func fraction(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }
