// Package crashguard keeps a request that crashes every target which runs it from reaching many of them. Its caller
// sends it again under new ids and to any VM, so VMs report what happened to one home for each fingerprint, which
// tells all VMs once the request has crashed too many.
package crashguard

import (
	"sync"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// Bounds of suspicion.
const (
	// maxCrashes is how many targets a request may crash before it is refused.
	maxCrashes = 3
	// suspectFor is how long a crash is held against a fingerprint, and refuseFor how long it is then refused.
	suspectFor = 2 * time.Minute
	refuseFor  = 10 * time.Minute
	// maxEntries bounds the fingerprints that are remembered; the oldest are forgotten first.
	maxEntries = 4096
)

// Fingerprint identifies a request whatever attempt of its caller it is.
type Fingerprint string

// Table holds suspected and refused fingerprints.
type Table struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	refused  map[Fingerprint]time.Time
}

type suspect struct {
	targets map[ident.TargetID]bool
	last    time.Time
}

// NewTable returns a table that suspects nothing.
func NewTable() *Table {
	return &Table{suspects: map[Fingerprint]*suspect{}, refused: map[Fingerprint]time.Time{}}
}

// Refused reports whether a request must not be sent.
func (t *Table) Refused(f Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.refused[f])
}

// Crashed notes targets that failed while they had the request, and reports whether that makes it refused from now on.
// A request that a target answered is never reported, so crashes by chance do not add up for requests that succeed.
func (t *Table) Crashed(f Fingerprint, targets []ident.TargetID, now time.Time) (refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil || now.Sub(s.last) > suspectFor {
		makeRoom(t.suspects, func(s *suspect) time.Time { return s.last })
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

// Refuse makes a fingerprint refused for a time.
func (t *Table) Refuse(f Fingerprint, remaining time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuse(f, now.Add(min(remaining, refuseFor)))
}

func (t *Table) refuse(f Fingerprint, until time.Time) {
	makeRoom(t.refused, func(until time.Time) time.Time { return until })
	t.refused[f] = until
}

// makeRoom drops the oldest entry of a full map.
func makeRoom[V any](m map[Fingerprint]V, age func(V) time.Time) {
	if len(m) < maxEntries {
		return
	}
	var oldest Fingerprint
	var least time.Time
	for f, v := range m {
		if at := age(v); least.IsZero() || at.Before(least) {
			oldest, least = f, at
		}
	}
	delete(m, oldest)
}
