package dispatch

import (
	"sync"
	"time"
)

// DepartureGrace is how long a target that has said that it is leaving may still get a request that no other target can
// serve. It ends before the time after which such a target must get no work.
const DepartureGrace = 2 * time.Second

// DepartureStage is which requests a target that may be leaving gets.
type DepartureStage int

const (
	// Staying is the stage of a target that has not said that it is leaving.
	Staying DepartureStage = iota
	// LastResort means that the target gets a request only if no other target can serve it.
	LastResort
	// Left means that the target gets no request.
	Left
)

// Departure is what one process of a target has said about leaving. A process that is leaving does not come back, so no later
// reply undoes it. Departure is safe for concurrent use; the zero value is a target that stays.
type Departure struct {
	mu    sync.Mutex
	since time.Time
}

// Announced records a reply at the time now in which the target says that it is leaving, and reports whether it is the first.
func (d *Departure) Announced(now time.Time) (first bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first = d.since.IsZero()
	if first {
		d.since = now
	}
	return first
}

// Since returns when the target first said that it is leaving, or the zero time if it has not.
func (d *Departure) Since() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since
}

// Stage returns which requests the target gets at the time now.
func (d *Departure) Stage(now time.Time) DepartureStage {
	switch since := d.Since(); {
	case since.IsZero():
		return Staying
	case now.Sub(since) < DepartureGrace:
		return LastResort
	}
	return Left
}
