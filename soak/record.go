package soak

import (
	"sync"
	"time"
)

// kind is a kind of request.
type kind string

const (
	// kindScatter fans out to every shard.
	kindScatter kind = "scatter"
	// kindRead is idempotent and may run more than once; one target serves it.
	kindRead kind = "read"
	// kindOrder is non-idempotent and may run at most once.
	kindOrder kind = "order"
	// kindVersion is a read on a route that one version of the configuration added.
	kindVersion kind = "version"
)

// exchange is a request and its response as the client saw them.
type exchange struct {
	ID      string
	Kind    kind
	Service string
	// Route is the first segment of the path.
	Route string
	// VM and Incarnation name the process that got the request; Incarnation counts the starts of the VM.
	VM, Incarnation int
	Sent, Ended     time.Time
	Status          int
	RequestID       string
	Signature       string
	Covered         []string
	Missing         int
	Body            []byte
	// Broken reports that the connection ended without a complete response, OrderlyClose that it ended with EOF.
	Broken bool
	// Abandoned reports that the client ignored the response.
	Abandoned    bool
	OrderlyClose bool
}

// arrival is a request as a target saw it.
type arrival struct {
	ID, TargetID, Service, Zone, Route string
	// Ran reports that the target began to run the request, Succeeded that it replied with success.
	Ran, Succeeded bool
	At             time.Time
}

// event is the start or end of a fault or of planned work.
type event struct {
	At   time.Time
	What string
	// VM is the index of the affected VM, -1 for none.
	VM int
}

// interval is a time in which a VM was paused or being killed.
type interval struct{ From, To time.Time }

// record holds everything observed in one run. Its add, begin and end methods are safe for concurrent use; undisturbed,
// routeConfigured and the checks take no lock and need a complete record.
type record struct {
	mu        sync.Mutex
	exchanges []*exchange
	arrivals  []*arrival
	events    []event
	// disruptions holds the intervals of each VM; To is zero while the disruption lasts.
	disruptions map[int][]interval
	// targets maps the ID of each target ever started to what it serves.
	targets map[string]targetInfo
	// published is when each version of the configuration was published.
	published  map[int]time.Time
	shardSets  [][]string
	exclusions []exclusion
	violations []string
}

// exclusion is a time in which no request may run in a zone or at a target.
type exclusion struct {
	Zone, TargetID string
	From, To       time.Time
}

type targetInfo struct {
	Service string
	Body    []byte
}

func newRecord() *record {
	return &record{disruptions: map[int][]interval{}, targets: map[string]targetInfo{}, published: map[int]time.Time{}}
}

func (r *record) addExchange(a *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges = append(r.exchanges, a)
}

func (r *record) addArrival(a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

func (r *record) addEvent(vm int, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event{At: time.Now(), What: what, VM: vm})
}

// beginDisruption starts a disruption of the VM.
func (r *record) beginDisruption(vm int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disruptions[vm] = append(r.disruptions[vm], interval{From: time.Now()})
}

// endDisruption ends the oldest disruption of the VM that has not ended.
func (r *record) endDisruption(vm int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.disruptions[vm] {
		if s := &r.disruptions[vm][i]; s.To.IsZero() {
			s.To = time.Now()
			return
		}
	}
}

// addViolation adds a violation seen during the run.
func (r *record) addViolation(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, text)
}

// addExclusion excludes the zone and the target from the given time until now.
func (r *record) addExclusion(zone, targetID string, from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exclusions = append(r.exclusions, exclusion{Zone: zone, TargetID: targetID, From: from, To: time.Now()})
}

// undisturbed reports whether no disruption of the VM, extended by disruptionGrace, overlaps the given time.
func (r *record) undisturbed(vm int, from, to time.Time) bool {
	for _, s := range r.disruptions[vm] {
		if s.From.Before(to) && (s.To.IsZero() || s.To.Add(disruptionGrace).After(from)) {
			return false
		}
	}
	return true
}
