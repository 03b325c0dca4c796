// Package dispatch decides where requests go, when one more target is asked, when an answer is given and when a
// request is refused. The decisions take what was observed and the time, and do no input or output, so that loads can
// be replayed against them.
package dispatch

import (
	"math"
	"sync"
	"time"
)

// Weights of what is learnt from the replies of one target.
const (
	// speedGain is the weight of one reply in the estimate of a target's relative slowness.
	speedGain = 0.25
	// maxSlowness bounds what one reply says, so that a pause is not taken for a slow target.
	maxSlowness = 12.0
	// slownessHalfLife is how fast a slow target that gets no requests is taken to recover, so that it is tried again.
	slownessHalfLife = 3 * time.Second
	// troubleGain is the weight of one send in the estimate of how often a target refuses or fails; troubleHalfLife is
	// how fast a target that gets no requests is taken to be sound again.
	troubleGain     = 0.15
	troubleHalfLife = 5 * time.Second
	// downFailures is how many failures in a row, without any answer, make a target known to be down.
	downFailures = 2
	// minAvoid and maxAvoid bound how long a failing target is left alone before one request tries it.
	minAvoid = 200 * time.Millisecond
	maxAvoid = 4 * time.Second
)

// Verdict is how a send ended, as far as it tells of the target.
type Verdict int

// Verdicts on sends.
const (
	// Replied is a whole answer of the right target that is no failure.
	Replied Verdict = iota
	// Failed is a failure of the target or its connection.
	Failed
	// Full is a refusal because the target has no room.
	Full
	// Wrong means that another process has the address.
	Wrong
	// Unheard is a send that was given up before it ended.
	Unheard
)

// Tracker observes one target through the sends of this VM.
type Tracker struct {
	mu        sync.Mutex
	inFlight  []time.Time
	lastReply time.Time
	slowness  float64
	slowAt    time.Time
	lastRatio float64
	failures  int
	avoid     time.Time
	wrong     bool
	trouble   float64
	troubleAt time.Time
	rtt       time.Duration
}

// NewTracker returns the tracker of a target of which nothing is known.
func NewTracker() *Tracker { return &Tracker{slowness: 1} }

// Begin notes a send.
func (t *Tracker) Begin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight = append(t.inFlight, now)
}

// End notes how a send that began at the given time ended. expected is what a warm, unloaded target of ordinary speed
// would have taken, without the network.
func (t *Tracker) End(began, now time.Time, v Verdict, expected time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(began)
	switch v {
	case Replied:
		t.lastReply, t.failures, t.avoid = now, 0, time.Time{}
		t.learn(now, now.Sub(began), expected)
		t.noteTrouble(now, 0)
	case Full:
		t.lastReply = now
		t.noteTrouble(now, 1)
		t.avoid = now.Add(minAvoid / 4)
	case Wrong:
		t.wrong = true
	case Failed:
		t.noteTrouble(now, 1)
		t.fail(now)
	case Unheard:
		if now.Sub(began) > 2*expected {
			t.learn(now, now.Sub(began), expected)
		}
	}
}

func (t *Tracker) remove(began time.Time) {
	for i, at := range t.inFlight {
		if at.Equal(began) {
			t.inFlight = append(t.inFlight[:i], t.inFlight[i+1:]...)
			return
		}
	}
}

func (t *Tracker) learn(now time.Time, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowness, max(0.2, float64(took-t.rtt)/float64(expected)))
	// One slow reply is a pause or a large piece of work; a slow target shows in two replies in a row.
	ratio, t.lastRatio = min(ratio, max(1, t.lastRatio)), ratio
	t.slowness = t.faded(now) + speedGain*(ratio-t.faded(now))
	t.slowAt = now
}

// faded returns the slowness now; it nears 1 while nothing is heard.
func (t *Tracker) faded(now time.Time) float64 {
	return 1 + decay(t.slowness-1, now, t.slowAt, slownessHalfLife)
}

func (t *Tracker) noteTrouble(now time.Time, bad float64) {
	old := decay(t.trouble, now, t.troubleAt, troubleHalfLife)
	t.trouble, t.troubleAt = old+troubleGain*(bad-old), now
}

// decay returns what is left of a value that was set at a time.
func decay(value float64, now, set time.Time, halfLife time.Duration) float64 {
	if value == 0 || set.IsZero() {
		return value
	}
	return value * math.Exp2(-float64(now.Sub(set))/float64(halfLife))
}

func (t *Tracker) fail(now time.Time) {
	t.failures++
	wait := minAvoid << min(t.failures-1, 8)
	t.avoid = now.Add(min(wait, maxAvoid))
}

// Dialed notes the end of an attempt to connect.
func (t *Tracker) Dialed(now time.Time, took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.fail(now)
		return
	}
	if t.rtt == 0 || took < t.rtt {
		t.rtt = took
	}
	if t.failures > 0 {
		t.avoid = time.Time{}
	}
}

// Load is what is known of a target at one moment.
type Load struct {
	InFlight int
	// Silence is how long the target has left a request unanswered without answering any other.
	Silence time.Duration
	// Slowness is how many times longer than usual the target takes.
	Slowness float64
	// Trouble is the share of recent sends that the target refused or failed, from 0 to 1.
	Trouble float64
	// Down reports that the target failed several times in a row, and is left alone or being tried.
	Down bool
	// Avoid reports that the target failed and is left alone; Trying that one request is trying it.
	Avoid  bool
	Trying bool
	// Wrong reports that another process has the target's address.
	Wrong bool
	// RTT is the least time that a connection took to open; 0 if unknown.
	RTT time.Duration
}

// Look returns what is known now.
func (t *Tracker) Look(now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Load{InFlight: len(t.inFlight), Slowness: t.faded(now), Wrong: t.wrong, RTT: t.rtt,
		Trouble: decay(t.trouble, now, t.troubleAt, troubleHalfLife), Down: t.failures >= downFailures && (now.Before(t.avoid) || len(t.inFlight) > 0),
		Avoid: now.Before(t.avoid), Trying: t.failures > 0 && len(t.inFlight) > 0}
	if len(t.inFlight) > 0 {
		since := t.inFlight[0]
		if t.lastReply.After(since) {
			since = t.lastReply
		}
		l.Silence = now.Sub(since)
	}
	return l
}
