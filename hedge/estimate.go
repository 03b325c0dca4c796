package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
)

// Constants of the estimate.
const (
	hedgeQuantile = 95
	// minSamples is how many replies an estimate needs.
	minSamples = 100
	// minDelay bounds the hedge delay from below: timers and links are no finer, and a search looks at its outstanding
	// shards once in each delay.
	minDelay = time.Millisecond
	// refreshEvery is how many replies pass between two computations.
	refreshEvery = 64
	// windowSamples and windowTime end a window, whichever comes first. The estimate covers the current window and
	// the one before.
	windowSamples = 5000
	windowTime    = 10 * time.Second
	// Latencies are kept in microseconds with two significant digits, which takes about 12 KB a histogram.
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 2
)

// estimate is a p95 over a sliding window, in bounded memory.
type estimate struct {
	clock    clockwork.Clock
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	merged   *hdrhistogram.Histogram
	started  time.Time
	unseen   int
	p95      time.Duration
}

func newEstimate(clock clockwork.Clock) estimate {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return estimate{clock: clock, current: histogram(), previous: histogram(), merged: histogram(), started: clock.Now()}
}

func (e *estimate) add(latency time.Duration) {
	// A value within the bounds is always recorded.
	_ = e.current.RecordValue(min(max(latency.Microseconds(), lowestMicros), highestMicros))
	if e.unseen++; e.unseen >= refreshEvery {
		e.refresh()
	}
}

func (e *estimate) refresh() {
	e.unseen = 0
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
