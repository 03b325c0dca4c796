package dispatch

import "time"

// Costs of choosing a target, as the time that a request is expected to lose there.
const (
	// defaultCrossZoneRTT is used for a target of another zone until its round-trip time is known.
	defaultCrossZoneRTT = 8 * time.Millisecond
	// crossZonePenalty is the cost of traffic between zones in addition to its delay.
	crossZonePenalty = 3 * time.Millisecond
	// zoneOrderStep is the cost of each place in the request's order of zones.
	zoneOrderStep = 2 * time.Millisecond
	// A refusal or a failure loses failureFactor median latencies plus failureCost.
	failureFactor = 4
	failureCost   = 40 * time.Millisecond
	// coldPenalty, backoffPenalty, noConnectionPenalty and leavingPenalty order the targets of last resort: a target of
	// one kind is used only if no target of the kinds before it can take the request. A request waits for a connection
	// rather than go to a leaving target.
	coldPenalty         = 2 * time.Second
	backoffPenalty      = 5 * time.Second
	noConnectionPenalty = 20 * time.Second
	leavingPenalty      = 60 * time.Second
	// silenceSlack and silenceFactor distinguish a pause from an ordinary wait: a target counts as paused if it sent no
	// reply for longer than silenceFactor median latencies + silenceSlack + the round-trip time.
	silenceSlack  = 4 * time.Millisecond
	silenceFactor = 2
)

// Candidate is a target that could run a request.
type Candidate struct {
	Load Load
	// Local reports that the target is in this VM's zone.
	Local bool
	// RanksFirst reports that this VM ranks first for the target among the VMs that share it.
	RanksFirst bool
	// Sharers is how many VMs are assumed to put the same load on the target as this one.
	Sharers int
	// ZoneOrder is the place of the target's zone, from 0, in the order in which the request prefers zones of equal
	// distance, so that its sends to other zones concentrate on few of them.
	ZoneOrder int
	// Slots is how many requests the target runs at once; 0 if unknown.
	Slots int
	// Cold reports that the target is warming up, Leaving that it is shutting down.
	Cold    bool
	Leaving bool
	// FreeConnections is how many more requests this VM can send now without waiting for a connection to the target.
	FreeConnections int
	// Excluded targets were already tried or must not be used.
	Excluded bool
}

// Cost returns the time that a request is expected to need at the candidate, penalties included. median is the median
// latency of the request's route.
func (c *Candidate) Cost(median time.Duration) time.Duration {
	cost := time.Duration(float64(median) * max(0.5, c.Load.Slowness))
	cost += c.zoneCost() + c.queueCost(median)
	if c.Paused(median) {
		cost += max(c.Load.Silence, 2*median)
	}
	cost += time.Duration(c.Load.FailureShare * float64(failureFactor*median+failureCost))
	if c.Cold {
		cost += coldPenalty
	}
	if c.Load.InBackoff || c.Load.Retrying {
		cost += backoffPenalty
	}
	if c.Leaving {
		cost += leavingPenalty
	}
	if c.FreeConnections <= 0 {
		cost += noConnectionPenalty
	}
	return cost
}

// Paused reports whether the target has sent no reply for longer than its work explains.
func (c *Candidate) Paused(median time.Duration) bool {
	return c.Load.Silence > silenceFactor*median+silenceSlack+c.Load.RTT
}

func (c *Candidate) zoneCost() time.Duration {
	order := time.Duration(c.ZoneOrder) * zoneOrderStep
	switch {
	case c.Local:
		return 0
	case c.Load.RTT > 0:
		return c.Load.RTT + crossZonePenalty + order
	}
	return defaultCrossZoneRTT + crossZonePenalty + order
}

// queueCost estimates the wait for a slot, assuming that all VMs that share the target put the same load on it as this
// VM. The VM that ranks first counts its own load only; every other one adds a quarter of the median.
func (c *Candidate) queueCost(median time.Duration) time.Duration {
	if c.Slots <= 0 {
		return 0
	}
	sharers := max(1, c.Sharers)
	if c.RanksFirst {
		sharers = 1
	}
	waiting := c.Load.InFlight*sharers - c.Slots + 1
	cost := time.Duration(0)
	if waiting > 0 {
		cost = median * time.Duration(waiting) / time.Duration(c.Slots)
	}
	if !c.RanksFirst && sharers > 1 {
		cost += median / 4
	}
	return cost
}

// Choose returns the index of the cheapest candidate. It returns -1 if every candidate is excluded or has
// Load.AddressReused set. Among candidates of equal cost it takes the first one from index start on, so that callers
// can spread the load by varying start.
func Choose(candidates []Candidate, median time.Duration, start int) int {
	best, least := -1, time.Duration(0)
	for i := range candidates {
		at := (start + i) % len(candidates)
		c := &candidates[at]
		if c.Excluded || c.Load.AddressReused {
			continue
		}
		if cost := c.Cost(median); best < 0 || cost < least {
			best, least = at, cost
		}
	}
	return best
}
