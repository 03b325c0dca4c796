package coordinator

import (
	"math"
	"sync"
	"time"
)

const (
	// sendTimePerCore is the time that a VM with a whole core is expected to need to send a search to one shard.
	sendTimePerCore = 60 * time.Microsecond
	// paceGain is the weight of one search in the moving average of a VM's pace; paceHalfLife is the time in which what was
	// observed loses half of its weight against the expectation if the VM runs no searches.
	paceGain     = 0.25
	paceHalfLife = 4 * time.Second
	// milliCore is the unit of a VM's capacity.
	milliCore = 1000
)

// Pace estimates how long this VM needs to send a search to one shard. It rises when the VM has too little processor time
// for its searches. It is safe for concurrent use.
type Pace struct {
	expected time.Duration

	mu       sync.Mutex
	observed time.Duration
	at       time.Time
}

// NewPace returns the pace of a VM with a capacity in thousandths of a core; 0 stands for an unknown capacity.
func NewPace(capacity int) *Pace {
	if capacity <= 0 {
		capacity = milliCore
	}
	expected := sendTimePerCore * milliCore / time.Duration(capacity)
	return &Pace{expected: expected, observed: expected}
}

// Observe records a search that was sent to a number of shards in the time took.
func (p *Pace) Observe(now time.Time, shards int, took time.Duration) {
	if shards <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.estimate(now)
	p.observed = current + time.Duration(paceGain*float64(took/time.Duration(shards)-current))
	p.at = now
}

// Estimate returns the time that sending to one shard is expected to take now.
func (p *Pace) Estimate(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimate(now)
}

func (p *Pace) estimate(now time.Time) time.Duration {
	if p.at.IsZero() {
		return p.expected
	}
	weight := math.Exp2(-float64(now.Sub(p.at)) / float64(paceHalfLife))
	return p.expected + time.Duration(weight*float64(p.observed-p.expected))
}

// WorthHandingOver reports whether a search ends earlier at a coordinator that needs offered to send to one shard than at
// this VM, which needs own.
func WorthHandingOver(own, offered time.Duration) bool { return offered < own }
