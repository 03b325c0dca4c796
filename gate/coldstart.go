package gate

import (
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/outcome"
)

// Thresholds of the cold-start state machine.
const (
	// successesPerSlot is the number of successes at normal latency, for each slot of the limit, after which the limit
	// doubles. It must be large enough that a target that fails at the higher limit does so before the next doubling.
	successesPerSlot = 32
	// initialSuccesses is the number of successes before the first doubling after a restart or a failure, or while the
	// latency of the warm target is unknown. The time that a target takes to warm up is unknown, and doubling too early
	// makes it fail. Each such failure doubles the number, at most maxBackoff times.
	initialSuccesses = 1024
	maxBackoff       = 3
	// normalFactor and slowFactor are multiples of the baseline latency: a reply within normalFactor is normal, and a
	// reply beyond slowFactor is slow.
	normalFactor = 2
	slowFactor   = 4
	// slowStreak is the number of consecutive slow replies that indicates a cold start. If 1 reply in 100 is a
	// straggler, three in a row are rare. Slow replies to requests that ran at the same time count once, because a
	// single pause of the target process delays all of them.
	slowStreak = 3
	// outlierPenalty is the number of successes that one reply beyond normal latency subtracts from the count. Requests
	// differ in cost and some replies straggle, so a single outlier does not reset the count. A target with one reply
	// in five beyond normal latency stays cold.
	outlierPenalty = 4
	// The baseline follows the median latency: each reply above or below it moves it by 1/64 of its value. While a
	// target is cold and its warm latency is known, the step is 1/1024, so that slow replies do not become the
	// baseline, while a lasting change eventually does.
	baselineShift     = 6
	baselineShiftCold = 10
)

// coldStart infers from replies whether a target is in cold start, and how many requests it can run at once. Gate.mu
// guards it.
type coldStart struct {
	slots     int
	coldSlots int

	cold  bool
	limit int
	// successesNeeded is the number of successes before the next doubling of the limit. backoff counts the failures
	// above the cold-start limit.
	successesNeeded int
	backoff         int
	// successes counts the successes at normal latency since the limit last changed, less the penalties for outliers.
	successes int
	// slowReplies counts consecutive slow replies; lastSlow is the time at which the last one counted arrived.
	slowReplies int
	lastSlow    time.Time
	baseline    time.Duration
	// initialBaseline is the baseline at the time the count of successes began.
	initialBaseline time.Duration
	// baselineIsWarm reports whether the baseline is the latency of a warm target.
	baselineIsWarm bool
	// sharedBaseline is the baseline, in nanoseconds, of warm targets of the same service at this VM. Nil or 0 means
	// that there is none.
	sharedBaseline *atomic.Int64
	// incarnation is the last known incarnation of the target. Late replies of previousIncarnation are ignored, because
	// they would look like another restart.
	incarnation         string
	previousIncarnation string
}

// newColdStart returns the state of a target that is assumed to be cold, the safe assumption while nothing is known.
func newColdStart(slots, coldSlots int) coldStart {
	return coldStart{slots: slots, coldSlots: coldSlots, cold: true, limit: min(slots, coldSlots), successesNeeded: initialSuccesses}
}

// resize changes the numbers of slots and cold slots that this owner may use. If one of them shrinks during cold start,
// the limit returns to the cold-start limit, because the sum of the limits of all owners must stay within the target's
// cold slots.
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

// observe updates the state from one reply or failure. elapsed is the time for which the request held its slot.
func (c *coldStart) observe(res outcome.LeafResult, elapsed time.Duration, now time.Time) {
	granted := now.Add(-elapsed)
	if res.Incarnation != "" {
		if res.Incarnation == c.previousIncarnation {
			return
		}
		if c.setIncarnation(res.Incarnation) {
			return
		}
	}
	switch res.Reason {
	case outcome.ReasonTargetShed, outcome.ReasonConnectionLimit:
		c.halveLimit()
	case outcome.ReasonConnectionLost, outcome.ReasonDialFailed, outcome.ReasonTruncatedReply:
		c.restart()
	case outcome.ReasonDeadline:
		// A refusal by the target says nothing about its latency.
		if res.Status == outcome.LeafUnknown {
			c.observeLatency(elapsed, false, granted, now)
		}
	default:
		if res.Status != outcome.LeafOK {
			return
		}
		if res.ServiceTime > 0 {
			elapsed = res.ServiceTime
		}
		c.observeLatency(elapsed, true, granted, now)
	}
}

// setIncarnation records the incarnation and reports whether it replaced a different known one, that is, whether the
// target process has restarted.
func (c *coldStart) setIncarnation(incarnation string) bool {
	if incarnation == c.incarnation {
		return false
	}
	known := c.incarnation != ""
	c.previousIncarnation, c.incarnation = c.incarnation, incarnation
	if known {
		c.restart()
	}
	return known
}

// restart begins cold start after a restart or a failure. The successes before the first doubling are initialSuccesses,
// doubled for each failure above the cold-start limit, at most maxBackoff times.
func (c *coldStart) restart() {
	if c.cold && c.limit > min(c.slots, c.coldSlots) {
		c.backoff = min(c.backoff+1, maxBackoff)
	}
	c.enter()
	c.successesNeeded = initialSuccesses << c.backoff
}

// enter begins cold start because of slow replies. Unless the limit is the cold-start limit already, successesPerSlot
// applies to the next doubling: the end of slow replies shows that the target is warm again.
func (c *coldStart) enter() {
	if !c.cold || c.limit > min(c.slots, c.coldSlots) {
		c.successesNeeded = successesPerSlot * min(c.slots, c.coldSlots)
	}
	c.cold, c.limit, c.successes, c.slowReplies = true, min(c.slots, c.coldSlots), 0, 0
	c.initialBaseline = c.baseline
}

// halveLimit halves the limit, down to the cold-start limit, and marks the target as cold, after the target shed a
// request or refused it because of its connection limit.
func (c *coldStart) halveLimit() {
	c.successes = 0
	c.cold = true
	c.limit = max(c.limit/2, min(c.slots, c.coldSlots))
}

// observeLatency classifies the latency d against the baseline, and then updates the baseline. ok reports whether the
// request succeeded.
func (c *coldStart) observeLatency(d time.Duration, ok bool, granted, now time.Time) {
	if c.baseline == 0 && c.sharedBaseline != nil {
		// The first replies of a cold target are slow. With them as the baseline, the limit would double too early.
		c.baseline = time.Duration(c.sharedBaseline.Load())
		c.baselineIsWarm = c.baseline > 0
	}
	if c.baseline == 0 {
		if !ok {
			return
		}
		c.baseline = max(d, time.Microsecond)
		c.initialBaseline = c.baseline
	}
	switch {
	case d > slowFactor*c.baseline:
		c.successes = max(0, c.successes-outlierPenalty)
		if c.slowReplies == 0 || !granted.Before(c.lastSlow) {
			c.slowReplies++
			c.lastSlow = now
		}
		if c.slowReplies >= slowStreak {
			c.enter()
		}
	case ok && d <= normalFactor*c.baseline:
		c.slowReplies = 0
		c.recordSuccess()
	default:
		c.slowReplies, c.successes = 0, max(0, c.successes-outlierPenalty)
	}
	c.updateBaseline(d)
}

// updateBaseline moves the baseline one step towards the median latency.
func (c *coldStart) updateBaseline(d time.Duration) {
	shift := baselineShift
	if c.cold && c.baselineIsWarm {
		shift = baselineShiftCold
	}
	switch {
	case d > c.baseline:
		c.baseline += max(1, c.baseline>>shift)
	case d < c.baseline:
		c.baseline -= c.baseline >> shift
	}
	if !c.baselineIsWarm && normalFactor*c.baseline < c.initialBaseline {
		// The earlier replies of this count were slower than normal, so the count starts again.
		c.initialBaseline, c.successes = c.baseline, 0
	}
	if !c.cold && c.sharedBaseline != nil {
		c.sharedBaseline.Store(int64(c.baseline))
	}
}

// minLatency returns a low estimate of the target's latency, so that only requests that cannot meet their deadline are
// refused.
func (c *coldStart) minLatency() time.Duration { return c.baseline / 2 }

// recordSuccess counts a success at normal latency, and doubles the limit once there are enough. The target is warm
// when the limit reaches its slots.
func (c *coldStart) recordSuccess() {
	if !c.cold {
		return
	}
	c.successes++
	if c.successes < c.successesNeeded {
		return
	}
	c.successes, c.baselineIsWarm = 0, true
	c.initialBaseline = c.baseline
	c.limit = min(2*c.limit, c.slots)
	c.successesNeeded = successesPerSlot * c.limit
	if c.limit == c.slots {
		c.cold, c.backoff = false, 0
	}
}
