// Package replica chooses the replica of a shard that receives a leaf request, based on the load, latency and failures
// observed on earlier requests.
package replica

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/snapshot"
)

// Constants of the latency estimate.
const (
	// StaleAfter is the age of a target's last reply above which its data is stale.
	StaleAfter = 2 * time.Second
	// CrossZoneRTT is the usual round-trip time to another availability zone, which is about 4 ms away one way.
	CrossZoneRTT = 8 * time.Millisecond
	// latencyWeight is the weight of one reply in the latency EWMA. With it, one straggler at 20 times the median
	// raises the estimate to about three times the median, and ten ordinary replies undo two thirds of that.
	latencyWeight = 0.1
	// unknownLatency is the assumed latency of a target without a latency sample.
	unknownLatency = time.Millisecond
)

// Constants of avoidance after failures.
const (
	// minAvoidance and maxAvoidance bound the exponential backoff before a failed target is probed.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 15 * time.Second
	// overloadAvoidance is how long a target is avoided after a refusal under load: it works, but has no capacity left.
	overloadAvoidance = 100 * time.Millisecond
	// drainingAvoidance is how long a target gets no requests at all after a reply says that it is draining. The bundle
	// and the platform's list may lag behind the reply. The time is limited so that a target restarted under the same
	// id is found again.
	drainingAvoidance = 30 * time.Second
	// silentLimit is how many consecutive sends without a reply count as one failure: a connection that swallows
	// requests shows only as sends that are cancelled or reach their deadline.
	silentLimit = 3
)

// Tracker records the observed load, latency and failures of each target and chooses replicas by them. It is safe for
// concurrent use.
type Tracker struct {
	zone      ident.Zone
	clock     clockwork.Clock
	catalog   catalog.Source
	snapshots *snapshot.Holdings
	targets   sync.Map // ident.TargetID to *targetState
}

// targetState is the state of one target.
type targetState struct {
	inFlight atomic.Int64
	// waitingSince is the Unix time in nanoseconds since which requests in flight have waited without any reply from
	// the target; 0 if none is in flight.
	waitingSince atomic.Int64
	observed     atomic.Pointer[observations]
	mu           sync.Mutex // serializes changes of observed
}

// observations are the results observed of one target. A stored value is never changed; the zero value holds none.
type observations struct {
	// latency is the EWMA of the target's latency, without its queue and the usual network delay; 0 if there is no
	// sample.
	latency time.Duration
	// reportedLoad is the load that the last reply stated, in requests.
	reportedLoad uint32
	repliedAt    time.Time
	cold         bool
	// failures counts the failures since the last success; while it is above zero, the target is avoided and gets one
	// probe after each probeAt.
	failures int
	probeAt  time.Time
	// silent counts the consecutive sends without a reply.
	silent int
	// onlySilent reports that all failures were missing replies to abandoned sends. These are often abandoned because a
	// hedge was quicker, so the target may be alive.
	onlySilent bool
	// busyUntil is when the target is no longer avoided after a refusal under load, which is no failure and needs no
	// probe.
	busyUntil time.Time
	// drainingUntil is when the target may get requests again after it replied that it is draining. A reply of a new
	// incarnation clears it.
	drainingUntil time.Time
	incarnation   string
}

// New returns a tracker for a VM in the given zone.
func New(zone ident.Zone, clock clockwork.Clock, source catalog.Source, snapshots *snapshot.Holdings) *Tracker {
	return &Tracker{zone: zone, clock: clock, catalog: source, snapshots: snapshots}
}

func (t *Tracker) stateOf(id ident.TargetID) *targetState {
	if s, ok := t.targets.Load(id); ok {
		return s.(*targetState)
	}
	fresh := &targetState{}
	fresh.observed.Store(&observations{})
	s, _ := t.targets.LoadOrStore(id, fresh)
	return s.(*targetState)
}

// InFlight is one leaf request in flight to a target. Exactly one of its methods must be called, once.
type InFlight struct {
	tracker *Tracker
	state   *targetState
	target  *catalog.Target
}

// Begin counts a leaf request to the target as in flight.
func (t *Tracker) Begin(target *catalog.Target) InFlight {
	s := t.stateOf(target.ID)
	s.inFlight.Add(1)
	s.waitingSince.CompareAndSwap(0, t.clock.Now().UnixNano())
	return InFlight{t, s, target}
}

// NotSent removes a request that was never sent, without recording a result.
func (f InFlight) NotSent() { f.state.end(false, time.Time{}) }

// end removes a request in flight. If that request got a reply, the requests still in flight count as waiting only from
// now on, because the reply shows that the target is alive.
func (s *targetState) end(replied bool, now time.Time) {
	switch left := s.inFlight.Add(-1); {
	case left <= 0:
		s.waitingSince.Store(0)
	case replied:
		s.waitingSince.Store(now.UnixNano())
	}
}

// Done records the result of the request, which took elapsed. A reply that belongs to another request says nothing
// about the target and must be passed as a lost request.
func (f InFlight) Done(res *outcome.LeafResult, elapsed time.Duration) {
	now := f.tracker.clock.Now()
	f.state.end(res.Incarnation != "", now)
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	o := *f.state.observed.Load()
	f.tracker.apply(&o, f.target, res, elapsed, now)
	f.state.observed.Store(&o)
}

// apply updates o with the result of a request.
func (t *Tracker) apply(o *observations, target *catalog.Target, res *outcome.LeafResult, elapsed time.Duration, now time.Time) {
	if res.Incarnation != "" {
		if res.Incarnation != o.incarnation {
			o.incarnation, o.drainingUntil = res.Incarnation, time.Time{}
		}
		o.silent, o.cold, o.reportedLoad, o.repliedAt = 0, res.Cold, res.Load, now
	}
	switch sendResultOf(res) {
	case succeeded:
		o.failures = 0
		o.latency = updateEWMA(o.latency, t.latencySample(target, res, elapsed))
	case unanswered:
		// The latency of an abandoned send would have been at least the time waited for it.
		if waited := t.latencySample(target, res, elapsed); waited > o.latency {
			o.latency = updateEWMA(o.latency, waited)
		}
		if o.silent++; o.silent >= silentLimit {
			o.silent, o.onlySilent = 0, o.failures == 0 || o.onlySilent
			o.recordFailure(now)
		}
	case failed:
		o.onlySilent = false
		o.recordFailure(now)
	case overloaded:
		o.busyUntil = now.Add(overloadAvoidance)
	case draining:
		o.failures, o.onlySilent = max(o.failures, 1), false
		o.probeAt = now.Add(drainingAvoidance)
		o.drainingUntil = o.probeAt
	case neutral:
	}
}

// latencySample returns the part of the elapsed time that is attributed to the target. It leaves out the queue, which
// the score counts separately, and the usual round-trip time to the target's zone. The delay of a link that is slower
// than usual therefore counts against its target.
func (t *Tracker) latencySample(target *catalog.Target, res *outcome.LeafResult, elapsed time.Duration) time.Duration {
	return max(elapsed-res.QueueTime-t.zoneRTT(target.Zone), res.ServiceTime, 0)
}

// zoneRTT returns the usual round-trip time to a zone.
func (t *Tracker) zoneRTT(zone ident.Zone) time.Duration {
	if zone == t.zone {
		return 0
	}
	return CrossZoneRTT
}

// updateEWMA returns the EWMA after one more sample; an old value of 0 means that there was no sample before.
func updateEWMA(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(latencyWeight*float64(sample-old))
}

// recordFailure counts a failure and schedules the next probe by exponential backoff.
func (o *observations) recordFailure(now time.Time) {
	wait := min(maxAvoidance, minAvoidance<<min(o.failures, 10))
	o.failures++
	o.probeAt = now.Add(wait)
}

// score returns the expected time, in nanoseconds, of one more request: (in flight + reported load + 1) x latency +
// round-trip time. If the last reply is older than StaleAfter, stale is true, the reported load counts as 0, and the
// latency halves with every further StaleAfter, so that a target that was slow once is tried again. If requests in
// flight have waited without any reply, and their wait without the round-trip time exceeds the latency, it is used
// instead: a target that swallows requests then scores worse at once, not only when its requests are abandoned.
func (t *Tracker) score(target *catalog.Target, s *targetState, now time.Time) (score float64, stale bool) {
	o := s.observed.Load()
	latency, reportedLoad := float64(o.latency), float64(o.reportedLoad)
	if o.latency == 0 {
		latency = float64(unknownLatency)
	}
	age := now.Sub(o.repliedAt)
	if age > StaleAfter {
		stale, reportedLoad = true, 0
		latency *= math.Exp2(-float64(age)/float64(StaleAfter) + 1)
	}
	if since := s.waitingSince.Load(); since != 0 {
		waited := now.Sub(time.Unix(0, since)) - t.zoneRTT(target.Zone)
		latency = max(latency, float64(waited))
	}
	ahead := float64(s.inFlight.Load()) + reportedLoad + 1
	return ahead*latency + float64(t.zoneRTT(target.Zone)), stale
}

// Prune deletes the state of the targets for which keep returns false. It bounds memory when bundles replace targets.
func (t *Tracker) Prune(keep func(ident.TargetID) bool) {
	t.targets.Range(func(key, _ any) bool {
		if !keep(key.(ident.TargetID)) {
			t.targets.Delete(key)
		}
		return true
	})
}

// SameZone reports whether the target is in this VM's zone.
func (t *Tracker) SameZone(target *catalog.Target) bool { return target.Zone == t.zone }
