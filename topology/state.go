package topology

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/routing"
)

// LeavingGrace is how long a target that is draining or no longer registered may still get a request that no other
// target can serve. It covers the two seconds within which a live target registers again after an outage of the
// registry, and ends before the three seconds after which a leaving target must get no work.
const LeavingGrace = 2 * time.Second

// Change is one change of the deployment, decoded from a published record. At most one of Table, Target, Unregistered
// and Zone is set.
type Change struct {
	// Table is a new configuration.
	Table *routing.Table
	// Target is a target that was registered or whose entry changed. Draining reports that the target announced its
	// departure.
	Target   *Target
	Draining bool
	// Unregistered is the ID of a target that is no longer registered.
	Unregistered ident.TargetID
	// Zone is a zone that was taken out of service, or put back if ZoneRestored is set.
	Zone         ident.Zone
	ZoneRestored bool
}

// State applies changes in order and publishes snapshots. It is safe for concurrent use.
type State struct {
	published atomic.Pointer[Snapshot]

	mu        sync.Mutex
	revision  uint64
	table     *routing.Table
	targets   map[ident.TargetID]*Target
	zonesOut  map[ident.Zone]bool
	listeners []func(*Snapshot)
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{targets: map[ident.TargetID]*Target{}, zonesOut: map[ident.Zone]bool{}}
	s.published.Store(&Snapshot{})
	return s
}

// Current returns the newest snapshot without taking a lock. It is never nil.
func (s *State) Current() *Snapshot { return s.published.Load() }

// OnChange registers f and calls it with the current snapshot, and later with each newer one, in order. f must not call
// methods of the state other than Current.
func (s *State) OnChange(f func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
	f(s.published.Load())
}

// Apply applies changes up to a revision and publishes the result. The caller must leave out changes that are older
// than those already applied.
func (s *State) Apply(now time.Time, revision uint64, changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	for _, c := range changes {
		s.apply(now, c)
	}
	s.publish(now)
}

// Expire removes the leaving targets whose LeavingGrace has passed. It returns when it must be called again, or the
// zero time if no target is leaving.
func (s *State) Expire(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next time.Time
	removed := false
	for id, t := range s.targets {
		end := t.LeavingSince.Add(LeavingGrace)
		switch {
		case t.LeavingSince.IsZero():
		case !now.Before(end):
			delete(s.targets, id)
			removed = true
		case next.IsZero() || end.Before(next):
			next = end
		}
	}
	if removed {
		s.publish(now)
	}
	return next
}

func (s *State) apply(now time.Time, c Change) {
	switch {
	case c.Table != nil:
		if s.table == nil || c.Table.Version >= s.table.Version {
			s.table = c.Table
		}
	case c.Target != nil:
		s.register(now, c)
	case c.Unregistered != "":
		s.unregister(now, c.Unregistered)
	case c.Zone != "" && c.ZoneRestored:
		delete(s.zonesOut, c.Zone)
	case c.Zone != "":
		s.zonesOut[c.Zone] = true
	}
}

// register applies a target's registry entry. A draining target that is unknown here is ignored: either its grace has
// passed and it wrote its entry once more, or it has been draining for an unknown time.
func (s *State) register(now time.Time, c Change) {
	old := s.targets[c.Target.ID]
	if c.Draining && old == nil {
		return
	}
	s.targets[c.Target.ID] = c.Target
	if !c.Draining {
		return
	}
	c.Target.LeavingSince = now
	if !old.LeavingSince.IsZero() && old.SameProcess(c.Target) {
		c.Target.LeavingSince = old.LeavingSince
	}
}

// unregister marks a target as leaving unless it is leaving already.
func (s *State) unregister(now time.Time, id ident.TargetID) {
	old := s.targets[id]
	if old == nil || !old.LeavingSince.IsZero() {
		return
	}
	leaving := *old
	leaving.LeavingSince = now
	s.targets[id] = &leaving
}

func (s *State) publish(now time.Time) {
	snapshot := &Snapshot{Revision: s.revision, Table: s.table, Targets: map[ident.ServiceID][]*Target{},
		ZonesOut: maps.Clone(s.zonesOut), Built: now}
	for _, t := range s.targets {
		snapshot.Targets[t.Service] = append(snapshot.Targets[t.Service], t)
	}
	for _, list := range snapshot.Targets {
		slices.SortFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.published.Store(snapshot)
	for _, f := range s.listeners {
		f(snapshot)
	}
}
