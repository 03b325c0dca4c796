// Package admission refuses queries before their fan-out when this VM sends more than owners and targets can serve in
// time. Its concurrency limit follows what the sends report.
package admission

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/outcome"
)

// Class is a caller class.
type Class string

// Caller classes, most urgent first.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Batch  Class = "batch"
)

// Valid reports whether the class is one of the three.
func (c Class) Valid() bool { return c == Urgent || c == Normal || c == Batch }

// share is the part of the limit up to which queries of the class are admitted, so that batch is refused first, then
// normal.
func (c Class) share() float64 {
	switch c {
	case Urgent:
		return 1
	case Batch:
		return 0.7
	default:
		return 0.9
	}
}

// Bounds and steps of the limit.
const (
	initialLimit = 64
	minLimit     = 4
	maxLimit     = 4096
	// window is how long signals are gathered before the limit moves; it is longer than the 76 ms of a search, so that
	// a change shows its effect before the next.
	window   = 100 * time.Millisecond
	increase = 2
	decrease = 0.85
	// queueDelayTarget is the owner's queue delay, of the 76 ms of a search, above which a send counts as congested.
	queueDelayTarget = 20 * time.Millisecond
	// congestedShare is the share of congested sends or late queries in a window that lowers the limit. A single
	// overloaded target among the 52 of a query stays below it.
	congestedShare = 0.1
)

// Controller admits queries. There is no queue here: owners queue by remaining deadline already, and a second queue
// would only spend the deadline before the fan-out.
type Controller struct {
	clock clockwork.Clock

	mu        sync.Mutex
	limit     float64
	inFlight  int
	refused   uint64
	peak      int
	windowEnd time.Time
	sends     int
	congested int
	queries   int
	late      int
}

// New returns a controller with the initial limit.
func New(clock clockwork.Clock) *Controller {
	return &Controller{clock: clock, limit: initialLimit, windowEnd: clock.Now().Add(window)}
}

// Admit admits a query of a class. The returned function ends it and says whether it missed its deadline. An empty
// class is normal.
func (c *Controller) Admit(class Class) (done func(late bool), ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	// One query is always admitted, so that the limit can recover whatever class is left.
	if c.inFlight > 0 && float64(c.inFlight) >= c.limit*class.share() {
		c.peak = max(c.peak, c.inFlight+1)
		c.refused++
		return nil, false
	}
	c.inFlight++
	c.peak = max(c.peak, c.inFlight)
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
	c.advance()
}

// Observe takes the signals of one send: queue delay at the owner, refusals and missed deadlines.
func (c *Controller) Observe(r outcome.LeafResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	if r.Queued > queueDelayTarget || refusedByLoad(r.Reason) {
		c.congested++
	}
}

func refusedByLoad(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonQueueFull, outcome.ReasonTargetShed, outcome.ReasonOverload, outcome.ReasonDeadline:
		return true
	default:
		return false
	}
}

// advance moves the limit at the end of a window: down by a factor under congestion, up by a step if at least half of
// the limit was in use.
func (c *Controller) advance() {
	now := c.clock.Now()
	if now.Before(c.windowEnd) {
		return
	}
	switch {
	case exceeds(c.congested, c.sends) || exceeds(c.late, c.queries):
		c.limit = max(minLimit, c.limit*decrease)
	case float64(c.peak) >= c.limit/2:
		c.limit = min(maxLimit, c.limit+increase)
	}
	c.windowEnd = now.Add(window)
	c.peak, c.sends, c.congested, c.queries, c.late = c.inFlight, 0, 0, 0, 0
}

func exceeds(part, whole int) bool { return float64(part) > congestedShare*float64(whole) }

// InFlight returns how many admitted queries run, and how many were refused since the start.
func (c *Controller) InFlight() (running int, refused uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight, c.refused
}

// Limit returns the current concurrency limit.
func (c *Controller) Limit() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limit
}
