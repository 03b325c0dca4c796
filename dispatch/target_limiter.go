package dispatch

import (
	"sync"
	"time"
)

// Parts of a target's limit. A target that states a limit of L requests a second must get at most 6 L + 5 of them in any 4
// seconds from all VMs together. In 4 seconds the VMs with a share send (4 x limitUse + limitBurstPart) x L + limitBurst at
// most, and the others two.
const (
	// limitUse is how much of the limit the rates of all VMs add up to. It exceeds 1 because most VMs leave a part of their
	// share unused: callers are spread over the VMs unevenly.
	limitUse = 1.25
	// limitBurstPart x L + limitBurst is what all VMs may have saved up together.
	limitBurstPart = 0.5
	limitBurst     = 3
	// trialTurn is the length of the turns in which VMs without a share send one request each to find out whether the limit
	// still holds.
	trialTurn = 4 * time.Second

	// mainSendersPart is the part of the shares for the VMs that send most requests to the target, if there are others.
	mainSendersPart = 0.85
	// localWeight is the share of a VM in the target's zone relative to one in another zone; coordinatorLocalWeight applies
	// between coordinators, because those of the target's zone also send for the other zones.
	localWeight            = 3
	coordinatorLocalWeight = 10
	// remoteBurstPart is the part of the burst that the VMs of other zones may take, one request each.
	remoteBurstPart = 0.5
)

// LimitSenders describes the VMs that share a target's limit, as seen by one of them.
type LimitSenders struct {
	Fleet FleetSize
	// Local reports that this VM is in the target's zone.
	Local bool
	// Rank is this VM's place, from 0, among those of its kind: main senders, in the target's zone before others, or the
	// rest. If there are more VMs than the limit allows requests at once, those that rank first share it.
	Rank int
}

// LimitShare is one VM's share of a target's limit.
type LimitShare struct {
	// PerSecond is the rate of requests, Burst the greatest number at once; both are 0 for a VM without a share.
	PerSecond, Burst float64
	// Turn, from 0, is when a VM without a share may send a request: once in this one of each Turns turns.
	Turn, Turns int
}

// main reports whether this VM is one of those that send most requests to the target: coordinators where there are any, else
// all VMs of the target's zone and, in a fleet without coordinators, of the others.
func (s LimitSenders) main() bool {
	if s.Local && s.Fleet.CoordinatorsInZone > 0 || !s.Local && s.Fleet.Coordinators > 0 {
		return s.Fleet.Coordinator
	}
	return true
}

// mainSenders returns how many VMs of the target's zone and of the others are main senders, and the weight of the former.
func (s LimitSenders) mainSenders() (local, remote int, weight float64) {
	f := s.Fleet
	local, remote, weight = max(0, f.InZone), max(0, f.All-f.InZone), localWeight
	if f.CoordinatorsInZone > 0 {
		local, weight = f.CoordinatorsInZone, coordinatorLocalWeight
	}
	if f.Coordinators > 0 {
		remote = max(0, f.Coordinators-f.CoordinatorsInZone)
	}
	if s.main() && s.Local {
		local = max(1, local)
	} else if s.main() {
		remote = max(1, remote)
	}
	return local, remote, weight
}

// Share returns this VM's share of a limit in requests a second. The shares of all VMs with the same view keep the bound on
// the target.
//
// Load pattern: targets of many shards state limits of a half of their load. The fleet may not write anything that others
// read, so each VM counts its own requests only; what the limited targets may not take goes to the other replicas.
func (s LimitSenders) Share(limit float64) LimitShare {
	local, remote, weight := s.mainSenders()
	others, turn := max(0, s.Fleet.All-local-remote), s.Rank
	rate, burst := limitUse*limit, limitBurstPart*limit+limitBurst
	switch {
	case !s.main():
		rate, burst = (1-mainSendersPart)*rate, (1-mainSendersPart)*burst
		turn += local + remote
		local, remote, weight = others, 0, 1
	case others > 0:
		rate, burst = mainSendersPart*rate, mainSendersPart*burst
	}
	if local > 0 {
		remote = min(remote, int(remoteBurstPart*burst))
	}
	senders := min(local+remote, int(burst))
	if s.Rank >= senders {
		return LimitShare{Turn: turn, Turns: max(1, s.Fleet.All)}
	}
	if senders < local+remote {
		return LimitShare{PerSecond: rate / float64(senders), Burst: 1}
	}
	mine := 1.0
	if s.Local || !s.main() {
		mine = weight
	}
	part := mine / (weight*float64(local) + float64(remote))
	// Each VM needs a burst of one request; the weights divide the rest.
	return LimitShare{PerSecond: rate * part, Burst: 1 + (burst-float64(senders))*part}
}

// TargetLimiter limits this VM's requests to one target to its share of the limit that the target states. It is safe for
// concurrent use.
type TargetLimiter struct {
	StatedLimit

	mu sync.Mutex
	// tokens is the number of requests that may be sent at the time refilled.
	tokens   float64
	refilled time.Time
	// triedIn is the last turn that was used.
	triedIn int
}

// CanSend reports whether a request may be sent now, with spare further ones left. share is this VM's share of a limit.
func (l *TargetLimiter) CanSend(now time.Time, share func(limit float64) LimitShare, spare float64) bool {
	limit, since := l.current()
	if limit == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := share(limit)
	l.refill(now, s)
	return l.tokens >= 1+spare || spare == 0 && s.isTurn(now.Sub(since), l.triedIn)
}

// Take reports whether a request may be sent now and, if so, counts it.
func (l *TargetLimiter) Take(now time.Time, share func(limit float64) LimitShare) bool {
	limit, since := l.current()
	if limit == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := share(limit)
	l.refill(now, s)
	switch {
	case l.tokens >= 1:
		l.tokens--
	case s.isTurn(now.Sub(since), l.triedIn):
		l.triedIn = turn(now.Sub(since))
	default:
		return false
	}
	return true
}

// Return gives back a request that Take counted but that was not sent.
func (l *TargetLimiter) Return() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens++
}

// refill adds what the share allows since the last call. A limit that is new to this VM starts with nothing saved up.
func (l *TargetLimiter) refill(now time.Time, s LimitShare) {
	if l.refilled.IsZero() {
		l.refilled = now
	}
	l.tokens = min(s.Burst, l.tokens+s.PerSecond*max(0, now.Sub(l.refilled).Seconds()))
	l.refilled = now
}

// turn returns the number of turns in the time since a limit was first stated.
func turn(elapsed time.Duration) int { return int(elapsed / trialTurn) }

// isTurn reports whether it is the turn of a VM without a share, and not the turn in which it has sent a request already.
func (s LimitShare) isTurn(elapsed time.Duration, triedIn int) bool {
	now := turn(elapsed)
	return s.Burst == 0 && now > 0 && now != triedIn && now%s.Turns == s.Turn%s.Turns
}
