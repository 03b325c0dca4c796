// Package crashguard keeps a request that crashes every target which runs it from reaching many targets. The caller
// resends such a request under new IDs and through any VM, so all VMs report its crashes to one VM, the home VM of its
// fingerprint. After too many crashes the home VM makes all VMs refuse the request.
package crashguard

import (
	"sync"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// Limits of the table.
const (
	// maxCrashes is the number of crashed targets at which a request is refused.
	maxCrashes = 3
	// suspectFor is how long the crashes of a fingerprint count after its last crash. It is also how long a reply keeps
	// the fingerprint free of suspicion.
	suspectFor = 2 * time.Minute
	// refuseFor is how long a request is refused after its last known crash. It ends at some time because a caller may send
	// the same request once its targets no longer crash.
	refuseFor = 10 * time.Minute
	// maxEntries bounds the suspected and the refused fingerprints, each; the oldest are evicted first.
	maxEntries = 4096
	// maxServed bounds each of the two generations of served fingerprints. Frequent ones stay, because their next reply
	// adds them to a new generation.
	maxServed = 1024
)

// Fingerprint identifies a request across all attempts of its caller.
type Fingerprint string

// Table holds the suspected, refused and recently served fingerprints. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// refused maps refused fingerprints to the end of their refusal.
	refused map[Fingerprint]time.Time
	// served and servedPrevious are the current and the previous generation of the fingerprints to which a target
	// replied, with the times of the replies.
	served, servedPrevious map[Fingerprint]time.Time
}

// suspect holds the targets that failed while they had a request in flight.
type suspect struct {
	targets map[ident.TargetID]bool
	// last is the time of the last crash.
	last time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{suspects: map[Fingerprint]*suspect{}, refused: map[Fingerprint]time.Time{}, served: map[Fingerprint]time.Time{}}
}

// Refused reports whether a request must not be sent.
func (t *Table) Refused(f Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.refused[f])
}

// Served records that a target replied to the request, which clears it of suspicion and ends a refusal: no target
// replies to a request that crashes targets, whereas a frequent request is in flight at every target that fails,
// whatever the cause.
func (t *Table) Served(f Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.served) >= maxServed {
		t.served, t.servedPrevious = make(map[Fingerprint]time.Time, maxServed), t.served
	}
	t.served[f] = now
	delete(t.suspects, f)
	delete(t.refused, f)
}

// recentlyServed reports whether a target replied to the request within suspectFor.
func (t *Table) recentlyServed(f Fingerprint, now time.Time) bool {
	at, ok := t.served[f]
	if !ok {
		at, ok = t.servedPrevious[f]
	}
	return ok && now.Sub(at) <= suspectFor
}

// Crashed records targets that failed while they had the request in flight, and reports whether the request is refused
// from now on. One that is refused already, which a VM has sent because it does not know, is refused anew for refuseFor. It
// ignores a request to which a target replied recently, because such a request does not crash targets.
func (t *Table) Crashed(f Fingerprint, targets []ident.TargetID, now time.Time) (refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.recentlyServed(f, now) {
		return false
	}
	if now.Before(t.refused[f]) {
		t.refused[f] = now.Add(refuseFor)
		return true
	}
	s := t.suspects[f]
	if s == nil || now.Sub(s.last) > suspectFor {
		evictOldest(t.suspects, func(s *suspect) time.Time { return s.last })
		s = &suspect{targets: map[ident.TargetID]bool{}}
		t.suspects[f] = s
	}
	s.last = now
	for _, id := range targets {
		s.targets[id] = true
	}
	if len(s.targets) < maxCrashes {
		return false
	}
	delete(t.suspects, f)
	t.refuse(f, now.Add(refuseFor))
	return true
}

// Refusals returns the fingerprints that are refused at the time now, and for how much longer each.
func (t *Table) Refusals(now time.Time) map[Fingerprint]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	refusals := map[Fingerprint]time.Duration{}
	for f, until := range t.refused {
		if remaining := until.Sub(now); remaining > 0 {
			refusals[f] = remaining
		}
	}
	return refusals
}

// Refuse makes the table refuse a fingerprint for the remaining time, at most refuseFor, unless a target replied to
// this VM recently. It does not shorten a refusal.
func (t *Table) Refuse(f Fingerprint, remaining time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.recentlyServed(f, now) {
		return
	}
	if until := now.Add(min(remaining, refuseFor)); until.After(t.refused[f]) {
		t.refuse(f, until)
	}
}

func (t *Table) refuse(f Fingerprint, until time.Time) {
	evictOldest(t.refused, func(until time.Time) time.Time { return until })
	t.refused[f] = until
}

// evictOldest deletes the entry with the earliest timestamp if the map is full.
func evictOldest[V any](m map[Fingerprint]V, timestamp func(V) time.Time) {
	if len(m) < maxEntries {
		return
	}
	var oldest Fingerprint
	var oldestAt time.Time
	for f, v := range m {
		if at := timestamp(v); oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = f, at
		}
	}
	delete(m, oldest)
}
