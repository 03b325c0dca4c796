package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
)

// Parameters of the latency estimate.
const (
	// hedgeQuantile is the percentile of the latencies that is the hedge delay.
	hedgeQuantile = 95
	// minSamples is how many latencies an estimate needs.
	minSamples = 100
	// minDelay is the minimum hedge delay. Timers and links are no more precise, and a search checks its outstanding
	// shards once in each delay.
	minDelay = time.Millisecond
	// refreshEvery is how many new latencies pass between two computations of the estimate.
	refreshEvery = 64
	// A window ends after windowSamples latencies, or after windowTime if it has at least minSamples. The estimate covers
	// the current window and the one before.
	windowSamples = 5000
	windowTime    = 10 * time.Second
	// Latencies are recorded in microseconds with two significant digits, which takes about 12 KB for each histogram.
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 2
)

// latencyEstimator estimates the 95th percentile of latencies over a sliding window in bounded memory.
type latencyEstimator struct {
	clock        clockwork.Clock
	current      *hdrhistogram.Histogram
	previous     *hdrhistogram.Histogram
	merged       *hdrhistogram.Histogram
	started      time.Time
	sinceRefresh int
	p95          time.Duration
}

func newLatencyEstimator(clock clockwork.Clock) latencyEstimator {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return latencyEstimator{clock: clock, current: histogram(), previous: histogram(), merged: histogram(), started: clock.Now()}
}

func (e *latencyEstimator) add(latency time.Duration) {
	// RecordValue fails only for values outside the bounds of the histogram.
	_ = e.current.RecordValue(min(max(latency.Microseconds(), lowestMicros), highestMicros))
	if e.sinceRefresh++; e.sinceRefresh >= refreshEvery {
		e.refresh()
	}
}

func (e *latencyEstimator) refresh() {
	e.sinceRefresh = 0
	e.merged.Reset()
	e.merged.Merge(e.previous)
	e.merged.Merge(e.current)
	if e.merged.TotalCount() >= minSamples {
		e.p95 = max(minDelay, time.Duration(e.merged.ValueAtQuantile(hedgeQuantile))*time.Microsecond)
	}
	count := e.current.TotalCount()
	if count >= windowSamples || (count >= minSamples && e.clock.Since(e.started) >= windowTime) {
		e.previous, e.current = e.current, e.previous
		e.current.Reset()
		e.started = e.clock.Now()
	}
}
