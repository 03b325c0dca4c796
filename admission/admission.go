// Package admission refuses queries before their fan-out when this VM sends more than owners and targets can serve in
// time. Its concurrency limit adapts to the queue delays, refusals and missed deadlines of the sends.
package admission

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/outcome"
)

// Class is the priority class of a caller.
type Class string

// Caller classes, most urgent first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Valid reports whether the class is Urgent, Normal or Batch.
func (c Class) Valid() bool { return c == Urgent || c == Normal || c == Batch }

// limitShare returns the share of the limit up to which queries of the class are admitted. Batch queries are refused
// first, then normal ones.
func (c Class) limitShare() float64 {
	switch c {
	case Urgent:
		return 1
	case Batch:
		return 0.7
	default:
		return 0.9
	}
}

// Parameters of the concurrency limit, which counts queries in flight.
const (
	initialLimit = 64
	minLimit     = 4
	maxLimit     = 4096
	// limitWindow is how long signals are counted before the limit changes. It is longer than the 76 ms of a search, so
	// that one change takes effect before the next.
	limitWindow         = 100 * time.Millisecond
	limitIncrease       = 2
	limitDecreaseFactor = 0.85
	// maxQueueDelay is the queue delay at the owner, out of the 76 ms of a search, above which a send counts as congested.
	maxQueueDelay = 20 * time.Millisecond
	// congestedShare is the share of congested sends or of late queries in a window above which the limit decreases. A
	// single overloaded target among the 52 of a query stays below it.
	congestedShare = 0.1
)

// Controller admits queries up to a concurrency limit. It does not queue: owners already queue requests by remaining
// deadline, and a second queue would only use up the deadline before the fan-out. It is safe for concurrent use.
type Controller struct {
	clock clockwork.Clock

	mu           sync.Mutex
	limit        float64
	inFlight     int
	refused      uint64
	peakInFlight int
	windowEnd    time.Time
	sends        int
	congested    int
	queries      int
	late         int
}

// New returns a controller with the initial limit.
func New(clock clockwork.Clock) *Controller {
	return &Controller{clock: clock, limit: initialLimit, windowEnd: clock.Now().Add(limitWindow)}
}

// Admit admits or refuses a query of the class; ok is false if the query is refused. When an admitted query ends, the
// caller must call done, with late set if the query missed its deadline; further calls of done have no effect. An empty
// class counts as normal.
func (c *Controller) Admit(class Class) (done func(late bool), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adjustLimit()
	// A query is always admitted if none is in flight, so that the limit can recover with queries of any class.
	if c.inFlight > 0 && float64(c.inFlight) >= c.limit*class.limitShare() {
		c.peakInFlight = max(c.peakInFlight, c.inFlight+1)
		c.refused++
		return nil, false
	}
	c.inFlight++
	c.peakInFlight = max(c.peakInFlight, c.inFlight)
	var once sync.Once
	return func(late bool) { once.Do(func() { c.end(late) }) }, true
}

func (c *Controller) end(late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.queries++
	if late {
		c.late++
	}
	c.adjustLimit()
}

// Observe counts one send. The send also counts as congested if its queue delay at the owner exceeded maxQueueDelay, if
// it was refused for overload, or if it missed its deadline.
func (c *Controller) Observe(r outcome.LeafResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	if r.QueueTime > maxQueueDelay || isOverload(r.Reason) {
		c.congested++
	}
}

func isOverload(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonQueueFull, outcome.ReasonTargetShed, outcome.ReasonOverload, outcome.ReasonDeadline:
		return true
	default:
		return false
	}
}

// adjustLimit changes the limit at the end of a window. Under congestion the limit decreases by a factor; otherwise it
// increases by a step if at least half of it was in use.
func (c *Controller) adjustLimit() {
	now := c.clock.Now()
	if now.Before(c.windowEnd) {
		return
	}
	switch {
	case isCongested(c.congested, c.sends) || isCongested(c.late, c.queries):
		c.limit = max(minLimit, c.limit*limitDecreaseFactor)
	case float64(c.peakInFlight) >= c.limit/2:
		c.limit = min(maxLimit, c.limit+limitIncrease)
	}
	c.windowEnd = now.Add(limitWindow)
	c.peakInFlight, c.sends, c.congested, c.queries, c.late = c.inFlight, 0, 0, 0, 0
}

// isCongested reports whether part exceeds the congested share of whole.
func isCongested(part, whole int) bool { return float64(part) > congestedShare*float64(whole) }

// Counts returns the number of admitted queries in flight, and the number of queries refused since the start.
func (c *Controller) Counts() (running int, refused uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight, c.refused
}

// Limit returns the current concurrency limit in queries.
func (c *Controller) Limit() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}
