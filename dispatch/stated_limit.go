package dispatch

import (
	"sync"
	"time"
)

// limitEndReplies is how many replies without a limit end it. Only replies to requests that were sent after the limit was
// last stated count, because others may be older than the limit.
const limitEndReplies = 2

// StatedLimit is the number of requests a second that a target states that it takes from all VMs together. A target in need
// states it with its replies, for as long as it holds. StatedLimit is safe for concurrent use; the zero value is a target
// that states none.
type StatedLimit struct {
	mu        sync.Mutex
	perSecond float64
	// since is when the limit, or another one before it, was first stated; statedAt is when it was stated last.
	since, statedAt time.Time
	without         int
}

// Stated records a reply at the time now that states a limit, and reports whether that differs from the one before.
func (l *StatedLimit) Stated(now time.Time, perSecond float64) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.perSecond != perSecond
	if l.perSecond == 0 {
		l.since = now
	}
	l.perSecond, l.statedAt, l.without = perSecond, now, 0
	return changed
}

// NotStated records a successful reply without a limit to a request that was sent at the given time, and reports whether it
// ends the limit. Refusals and failures must not be passed on to it: a target may state its limit only with the results of
// its work.
func (l *StatedLimit) NotStated(sent time.Time) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond == 0 || !sent.After(l.statedAt) {
		return false
	}
	if l.without++; l.without < limitEndReplies {
		return false
	}
	l.perSecond, l.without = 0, 0
	return true
}

// PerSecond returns the limit; 0 if there is none.
func (l *StatedLimit) PerSecond() float64 {
	limit, _ := l.current()
	return limit
}

// current returns the limit and since when the target has stated one.
func (l *StatedLimit) current() (perSecond float64, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.perSecond, l.since
}
