package dispatch

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the sample of latencies.
const (
	sampleSize = 256
	// refreshEvery is how many new latencies renew the quantiles.
	refreshEvery = 32
)

// Usual is what requests of a route usually take at a target, without the network.
type Usual struct {
	Median, P90 time.Duration
}

// Estimator learns what requests of a route take from the replies to first sends.
type Estimator struct {
	usual atomic.Pointer[Usual]

	mu     sync.Mutex
	sample [sampleSize]time.Duration
	seen   int
}

// Initial estimates of a route of which no reply is known: shares of its objective.
const (
	initialMedian = 0.12
	initialP90    = 0.25
	// defaultObjective stands for the objective of a route that states none.
	defaultObjective = 500 * time.Millisecond
)

// NewEstimator returns an estimator that starts from a route's objective.
func NewEstimator(objective time.Duration) *Estimator {
	if objective <= 0 {
		objective = defaultObjective
	}
	e := &Estimator{}
	e.usual.Store(&Usual{Median: share(objective, initialMedian), P90: share(objective, initialP90)})
	return e
}

// Usual returns the current estimate.
func (e *Estimator) Usual() Usual { return *e.usual.Load() }

// Observe takes the latency of a reply to a first send.
func (e *Estimator) Observe(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sample[e.seen%sampleSize] = max(took, 0)
	e.seen++
	if e.seen%refreshEvery != 0 {
		return
	}
	sorted := slices.Clone(e.sample[:min(e.seen, sampleSize)])
	slices.Sort(sorted)
	e.usual.Store(&Usual{Median: sorted[len(sorted)/2], P90: sorted[len(sorted)*90/100]})
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(float64(d) * part) }
