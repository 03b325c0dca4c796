package gate

import (
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/outcome"
)

// Thresholds of the cold-start state machine.
const (
	// warmRun is how many successes at normal latency, for each slot of the limit, double the limit. A run has to be
	// long enough that a target which fails under a higher limit shows it before the next doubling.
	warmRun = 32
	// firstRun is the run that doubles the limit first after a restart or a failure, or when nothing tells the target's
	// normal latency. How long a target takes to warm up is unknown, and too early a doubling makes it fail; each such
	// failure doubles the run, up to maxBackoff times.
	firstRun   = 1024
	maxBackoff = 3
	// normalFactor and slowFactor are multiples of the baseline: a reply up to the first is normal, one beyond the
	// second is slow.
	normalFactor = 2
	slowFactor   = 4
	// slowRun is how many slow replies in a row mean a cold start; stragglers of 1 in 100 rarely come three in a row.
	// Replies to requests that ran at the same time count once, because one pause of a process delays all of them.
	slowRun = 3
	// oddCost is how many successes one reply beyond normal latency takes back from a run. Requests differ in cost and
	// some replies straggle, so single ones do not end a run; a target with one in five beyond normal stays cold.
	oddCost = 4
	// The baseline follows the median: each reply above or below it moves it by the same part, 1/64. At a cold target
	// whose norm is known the part is 1/1024, so that slow replies do not become the norm, while a lasting change does
	// in the end.
	baselineShift     = 6
	baselineShiftCold = 10
)

// coldStart infers from replies whether a target is in cold start, and how many requests it bears at once.
type coldStart struct {
	slots     int
	coldSlots int

	cold  bool
	limit int
	// need is how many successes double the limit next; backoff counts the failures above the cold-start limit.
	need    int
	backoff int
	// successes counts the run of successes at normal latency since the limit last changed.
	successes int
	// slow counts the run of slow replies; slowSince is when the last counted one arrived.
	slow      int
	slowSince time.Time
	baseline  time.Duration
	// runBaseline is the baseline at the beginning of the run.
	runBaseline time.Duration
	// normKnown says that the baseline is the latency of a warm target.
	normKnown bool
	// shared is the baseline of warm targets of the same service at this VM, in nanoseconds; 0 or nil if there is none.
	shared *atomic.Int64
	// incarnation is the target's last known one. Late replies of the previous one are ignored: they would look like
	// another restart.
	incarnation string
	previous    string
}

// newColdStart returns a state that takes the target to be cold, which claims the least.
func newColdStart(slots, coldSlots int) coldStart {
	return coldStart{slots: slots, coldSlots: coldSlots, cold: true, limit: min(slots, coldSlots), need: firstRun}
}

// resize changes the budgets. A smaller budget in cold start begins again at the cold-start limit, because the sum over
// all owners has to stay within the target's cold slots.
func (c *coldStart) resize(slots, coldSlots int) {
	shrinks := slots < c.slots || coldSlots < c.coldSlots
	c.slots, c.coldSlots = slots, coldSlots
	switch {
	case !c.cold:
		c.limit = slots
	case shrinks || c.limit < min(slots, coldSlots):
		c.limit, c.successes = min(slots, coldSlots), 0
	}
}

// observe draws conclusions from one reply or failure; elapsed is the time the slot was held until now.
func (c *coldStart) observe(res outcome.LeafResult, elapsed time.Duration, now time.Time) {
	granted := now.Add(-elapsed)
	if res.Incarnation != "" {
		if res.Incarnation == c.previous {
			return
		}
		if c.changed(res.Incarnation) {
			return
		}
	}
	switch res.Reason {
	case outcome.ReasonTargetShed, outcome.ReasonConnectionLimit:
		c.shed()
	case outcome.ReasonConnectionLost, outcome.ReasonDialFailed, outcome.ReasonTruncated:
		c.restart()
	case outcome.ReasonDeadline:
		// A target's own refusal says nothing of its latency.
		if res.Status == outcome.LeafUnknown {
			c.latency(elapsed, false, granted, now)
		}
	default:
		if res.Status != outcome.LeafOK {
			return
		}
		if res.Service > 0 {
			elapsed = res.Service
		}
		c.latency(elapsed, true, granted, now)
	}
}

// changed notes the incarnation, and reports whether another process answers now.
func (c *coldStart) changed(incarnation string) bool {
	if incarnation == c.incarnation {
		return false
	}
	known := c.incarnation != ""
	c.previous, c.incarnation = c.incarnation, incarnation
	if known {
		c.restart()
	}
	return known
}

// restart puts the target into cold start after a restart or a failure.
func (c *coldStart) restart() {
	if c.cold && c.limit > min(c.slots, c.coldSlots) {
		c.backoff = min(c.backoff+1, maxBackoff)
	}
	c.fall()
	c.need = firstRun << c.backoff
}

// fall puts the target into cold start because of slow replies, which also show when it is warm again.
func (c *coldStart) fall() {
	if !c.cold || c.limit > min(c.slots, c.coldSlots) {
		c.need = warmRun * min(c.slots, c.coldSlots)
	}
	c.cold, c.limit, c.successes, c.slow = true, min(c.slots, c.coldSlots), 0, 0
	c.runBaseline = c.baseline
}

// shed halves the limit; at the cold-start limit the target counts as cold.
func (c *coldStart) shed() {
	c.successes = 0
	c.cold = true
	c.limit = max(c.limit/2, min(c.slots, c.coldSlots))
}

func (c *coldStart) latency(d time.Duration, ok bool, granted, now time.Time) {
	if c.baseline == 0 && c.shared != nil {
		// The first replies of a cold target are slow; taken as the norm, they would warm it up too early.
		c.baseline = time.Duration(c.shared.Load())
		c.normKnown = c.baseline > 0
	}
	if c.baseline == 0 {
		if !ok {
			return
		}
		c.baseline = max(d, time.Microsecond)
		c.runBaseline = c.baseline
	}
	switch {
	case d > slowFactor*c.baseline:
		c.successes = max(0, c.successes-oddCost)
		if c.slow == 0 || !granted.Before(c.slowSince) {
			c.slow++
			c.slowSince = now
		}
		if c.slow >= slowRun {
			c.fall()
		}
	case ok && d <= normalFactor*c.baseline:
		c.slow = 0
		c.succeed()
	default:
		c.slow, c.successes = 0, max(0, c.successes-oddCost)
	}
	c.learn(d)
}

// learn moves the baseline towards the median.
func (c *coldStart) learn(d time.Duration) {
	shift := baselineShift
	if c.cold && c.normKnown {
		shift = baselineShiftCold
	}
	switch {
	case d > c.baseline:
		c.baseline += max(1, c.baseline>>shift)
	case d < c.baseline:
		c.baseline -= c.baseline >> shift
	}
	if !c.normKnown && normalFactor*c.baseline < c.runBaseline {
		// The replies so far were slow ones.
		c.runBaseline, c.successes = c.baseline, 0
	}
	if !c.cold && c.shared != nil {
		c.shared.Store(int64(c.baseline))
	}
}

// quick is a low estimate of the target's latency, by which only hopeless requests are refused.
func (c *coldStart) quick() time.Duration { return c.baseline / 2 }

func (c *coldStart) succeed() {
	if !c.cold {
		return
	}
	c.successes++
	if c.successes < c.need {
		return
	}
	c.successes, c.normKnown = 0, true
	c.runBaseline = c.baseline
	c.limit = min(2*c.limit, c.slots)
	c.need = warmRun * c.limit
	if c.limit == c.slots {
		c.cold, c.backoff = false, 0
	}
}
