// Package dispatch chooses the target of each request and decides when to hedge or retry it, when to respond and when to
// give up. The decisions depend only on the observations and times passed in and do no I/O, so that tests can replay
// loads against them.
package dispatch

import (
	"math"
	"sync"
	"time"
)

// Parameters of the estimates for one target.
const (
	// slownessGain is the weight of one reply in the moving average of a target's relative slowness.
	slownessGain = 0.25
	// maxSlowness limits the slowness taken from one reply, so that a pause does not make the target look slow.
	maxSlowness = 12.0
	// slownessHalfLife is the time in which the slowness above 1 of a target without replies halves, so that a slow target
	// is tried again.
	slownessHalfLife = 3 * time.Second
	// failureGain is the weight of one send in the moving average of the share of sends that a target refuses or fails;
	// failureHalfLife is the time in which that share halves for a target without sends, so that the target is tried again.
	failureGain     = 0.15
	failureHalfLife = 5 * time.Second
	// downFailures is how many failures in a row, without a reply in between, mark a target as down.
	downFailures = 2
	// minBackoff and maxBackoff bound how long a failing target is avoided before one request tries it again.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// SendResult is the result of a send as far as it concerns the state of the target.
type SendResult int

// Results of sends.
const (
	// Replied is a complete reply of the right target that is not a failure.
	Replied SendResult = iota
	// Failed is a failure of the target or its connection.
	Failed
	// Refused is a refusal because the target has no free capacity.
	Refused
	// WrongProcess means that another process has the target's address.
	WrongProcess
	// Abandoned is a send that was given up before its result was known.
	Abandoned
)

// Tracker estimates the state of one target from the sends of this VM. It is safe for concurrent use.
type Tracker struct {
	mu             sync.Mutex
	inFlight       []time.Time
	lastReply      time.Time
	slowness       float64
	slownessAt     time.Time
	lastRatio      float64
	failures       int
	backoffUntil   time.Time
	addressReused  bool
	failureShare   float64
	failureShareAt time.Time
	rtt            time.Duration
}

// NewTracker returns the tracker of a target without any sends yet.
func NewTracker() *Tracker { return &Tracker{slowness: 1} }

// Begin records a send that begins now.
func (t *Tracker) Begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight = append(t.inFlight, now)
}

// End records the end of the send that Begin recorded at began. expected is the latency of a warm, unloaded target of
// ordinary speed, without the network round trip.
func (t *Tracker) End(began, now time.Time, result SendResult, expected time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeInFlight(began)
	switch result {
	case Replied:
		t.lastReply, t.failures, t.backoffUntil = now, 0, time.Time{}
		t.updateSlowness(now, now.Sub(began), expected)
		t.updateFailureShare(now, 0)
	case Refused:
		t.lastReply = now
		t.updateFailureShare(now, 1)
		t.backoffUntil = now.Add(minBackoff / 4)
	case WrongProcess:
		t.addressReused = true
	case Failed:
		t.updateFailureShare(now, 1)
		t.countFailure(now)
	case Abandoned:
		if now.Sub(began) > 2*expected {
			t.updateSlowness(now, now.Sub(began), expected)
		}
	}
}

func (t *Tracker) removeInFlight(began time.Time) {
	for i, at := range t.inFlight {
		if at.Equal(began) {
			t.inFlight = append(t.inFlight[:i], t.inFlight[i+1:]...)
			return
		}
	}
}

func (t *Tracker) updateSlowness(now time.Time, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowness, max(0.2, float64(took-t.rtt)/float64(expected)))
	// A single slow reply may be a pause or an expensive request; only two slow replies in a row indicate a slow target.
	ratio, t.lastRatio = min(ratio, max(1, t.lastRatio)), ratio
	t.slowness = t.currentSlowness(now) + slownessGain*(ratio-t.currentSlowness(now))
	t.slownessAt = now
}

// currentSlowness returns the slowness now; without replies it decays towards 1.
func (t *Tracker) currentSlowness(now time.Time) float64 {
	return 1 + decay(t.slowness-1, now, t.slownessAt, slownessHalfLife)
}

// updateFailureShare adds a send to the moving average; outcome is 1 for a failure or refusal and 0 for a reply.
func (t *Tracker) updateFailureShare(now time.Time, outcome float64) {
	old := decay(t.failureShare, now, t.failureShareAt, failureHalfLife)
	t.failureShare, t.failureShareAt = old+failureGain*(outcome-old), now
}

// decay returns what remains now of a value that was set at the time set and halves every halfLife.
func decay(value float64, now, set time.Time, halfLife time.Duration) float64 {
	if value == 0 || set.IsZero() {
		return value
	}
	return value * math.Exp2(-float64(now.Sub(set))/float64(halfLife))
}

func (t *Tracker) countFailure(now time.Time) {
	t.failures++
	backoff := minBackoff << min(t.failures-1, 8)
	t.backoffUntil = now.Add(min(backoff, maxBackoff))
}

// Dialed records the end of an attempt to connect. A failed attempt counts as a failure of the target; a successful one
// ends the backoff that followed failures.
func (t *Tracker) Dialed(now time.Time, took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.countFailure(now)
		return
	}
	if t.rtt == 0 || took < t.rtt {
		t.rtt = took
	}
	if t.failures > 0 {
		t.backoffUntil = time.Time{}
	}
}

// Load is the estimated state of a target at one moment.
type Load struct {
	// InFlight is the number of this VM's requests in flight to the target.
	InFlight int
	// Silence is the time since the target's last reply or since the oldest request in flight was sent, whichever is
	// later. It is 0 if no request is in flight.
	Silence time.Duration
	// Slowness is the target's latency relative to the expected one; 1 is ordinary speed.
	Slowness float64
	// FailureShare is the share of recent sends that the target refused or failed, from 0 to 1.
	FailureShare float64
	// Down reports that the target failed several times in a row, and either is in backoff or has a request in flight.
	Down bool
	// InBackoff reports that the target is in backoff after a failure or refusal; Retrying reports that a request is in
	// flight to a target that failed and has not replied since.
	InBackoff bool
	Retrying  bool
	// AddressReused reports that another process has the target's address.
	AddressReused bool
	// RTT is the shortest time that a connection took to open; 0 if unknown.
	RTT time.Duration
}

// Load returns the state of the target now.
func (t *Tracker) Load(now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Load{InFlight: len(t.inFlight), Slowness: t.currentSlowness(now), AddressReused: t.addressReused, RTT: t.rtt,
		FailureShare: decay(t.failureShare, now, t.failureShareAt, failureHalfLife), Down: t.failures >= downFailures && (now.Before(t.backoffUntil) || len(t.inFlight) > 0),
		InBackoff: now.Before(t.backoffUntil), Retrying: t.failures > 0 && len(t.inFlight) > 0}
	if len(t.inFlight) > 0 {
		since := t.inFlight[0]
		if t.lastReply.After(since) {
			since = t.lastReply
		}
		l.Silence = now.Sub(since)
	}
	return l
}
