package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/snapshot"
)

// Criteria describes one send for which Choose selects a replica.
type Criteria struct {
	Service  ident.ServiceID
	Snapshot ident.SnapshotID
	Shard    *catalog.Shard
	Kind     outcome.SendKind
	// Tried lists the targets that the shard's request was already sent to.
	Tried []ident.TargetID
	// AllowProbe allows choosing a target to find out its state: one that failed and is due for a probe, or one for which
	// no recent reply shows whether it holds the snapshot.
	AllowProbe bool
}

// Reason says why a replica was chosen.
type Reason string

// Reasons of a choice.
const (
	// ReasonOnlyCandidate: there was a single candidate of the best rank.
	ReasonOnlyCandidate Reason = "only"
	// ReasonLowerScore: the target had the lower score of two candidates drawn at random.
	ReasonLowerScore Reason = "score"
	// ReasonProbe: the target failed before and was due for a probe.
	ReasonProbe Reason = "probe"
	// ReasonLastResort: every remaining replica has failed or was overloaded recently.
	ReasonLastResort Reason = "last_resort"
)

// Choice is the replica for one send.
type Choice struct {
	Target *catalog.Target
	Reason Reason
	// Stale reports that the last reply of a compared target is older than StaleAfter.
	Stale bool
}

// inlineCandidates is the number of candidates that fit on the stack; more cost a heap allocation.
const inlineCandidates = 8

// rank orders candidates, lower values first; only those of the best rank present are compared by score.
type rank uint8

const (
	// rankProbe: the target failed and is due for a probe.
	rankProbe rank = iota
	rankHealthy
	// rankUnconfirmed: no recent reply shows that the target holds the snapshot, and Criteria.AllowProbe is not set.
	rankUnconfirmed
	// rankReturning: the target's zone is returning to service, and this send is not in the share that the zone gets so
	// far.
	rankReturning
	// rankFailed: the target failed or was overloaded recently.
	rankFailed
	// rankCount stands for no rank.
	rankCount
)

// Choose returns a replica by power of two choices among the best-ranked candidates. It never returns a target that the
// bundle in force excludes from new work. If there is no candidate, the returned reason says why; otherwise the reason
// is ReasonNone.
func (t *Tracker) Choose(c Criteria) (Choice, outcome.Reason) {
	now, current := t.clock.Now(), t.catalog.Current()
	var (
		buf     [inlineCandidates]*catalog.Target
		list    = buf[:0]
		best    = rankCount
		missing = outcome.ReasonNoReplica
	)
	for _, target := range c.Shard.Replicas {
		if slices.Contains(c.Tried, target.ID) {
			continue
		}
		reason := current.ExclusionReason(c.Service, target.ID)
		r := rankCount
		if reason == outcome.ReasonNone {
			admitted := rand.Float64() < current.ReturnProgress(target.Zone, now)
			r, reason = t.rank(target, c, now, admitted)
		}
		if reason == outcome.ReasonNone && r == rankProbe {
			if t.claimProbe(target.ID, now) {
				_, stale := t.score(target, t.stateOf(target.ID), now)
				return Choice{Target: target, Reason: ReasonProbe, Stale: stale}, outcome.ReasonNone
			}
			// Another query claimed the probe first.
			r = rankFailed
		}
		switch {
		case reason != outcome.ReasonNone:
			missing = reason
		case r < best:
			best, list = r, append(list[:0], target)
		case r == best:
			list = append(list, target)
		}
	}
	if len(list) == 0 {
		return Choice{}, missing
	}
	return t.pick(list, best, now), outcome.ReasonNone
}

// rank returns the rank of a candidate. If the candidate cannot serve this send, the returned reason says why;
// otherwise the reason is ReasonNone. admitted is false if the target's zone is returning to service and this send is
// not in the share that the zone gets so far.
func (t *Tracker) rank(target *catalog.Target, c Criteria, now time.Time, admitted bool) (rank, outcome.Reason) {
	o := t.stateOf(target.ID).observed.Load()
	held := t.snapshots.State(target.ID, c.Snapshot)
	extra := c.Kind != outcome.SendFirst
	switch {
	case now.Before(o.drainingUntil):
		return 0, outcome.ReasonTargetDraining
	case held == snapshot.Lacks:
		return 0, outcome.ReasonSnapshotNotHeld
	case extra && o.cold:
		// A target in cold start gets no hedges or retries.
		return 0, outcome.ReasonColdStart
	case !admitted && c.Kind == outcome.SendHedge:
		return 0, outcome.ReasonZoneOut
	case !admitted && o.failures == 0:
		return rankReturning, outcome.ReasonNone
	case o.failures > 0 && c.AllowProbe && admitted && !now.Before(o.probeAt):
		return rankProbe, outcome.ReasonNone
	case o.avoided(now) && c.Kind == outcome.SendHedge && !o.mayBeAlive(now):
		return 0, outcome.ReasonNoReplica
	case o.avoided(now):
		return rankFailed, outcome.ReasonNone
	case held != snapshot.Holds && !c.AllowProbe:
		return rankUnconfirmed, outcome.ReasonNone
	default:
		return rankHealthy, outcome.ReasonNone
	}
}

// avoided reports whether the target has failed since its last success, or has refused a request under load within the
// last overloadAvoidance.
func (o *observations) avoided(now time.Time) bool { return o.failures > 0 || now.Before(o.busyUntil) }

// mayBeAlive reports whether an avoided target is worth a hedge when no other replica is left: its only failures are
// sends without a reply. A short stall of a live target looks the same, because several of its requests at once then
// lose to hedges and are cancelled.
func (o *observations) mayBeAlive(now time.Time) bool {
	return o.onlySilent && !now.Before(o.busyUntil)
}

// claimProbe claims a due probe of the target and schedules the next one; until that one is due, no other caller gets a
// probe. It reports whether the caller got the probe.
func (t *Tracker) claimProbe(id ident.TargetID, now time.Time) bool {
	s := t.stateOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := *s.observed.Load()
	if o.failures == 0 || now.Before(o.probeAt) {
		return false
	}
	o.probeAt = now.Add(min(maxAvoidance, minAvoidance<<min(o.failures, 10)))
	s.observed.Store(&o)
	return true
}

// pick chooses the lower-scored of two random candidates from list, all of which have rank r. list must not be empty.
func (t *Tracker) pick(list []*catalog.Target, r rank, now time.Time) Choice {
	reason := ReasonLowerScore
	switch {
	case r == rankFailed:
		reason = ReasonLastResort
	case len(list) == 1:
		reason = ReasonOnlyCandidate
	}
	i := rand.IntN(len(list))
	first := list[i]
	score, stale := t.score(first, t.stateOf(first.ID), now)
	if len(list) == 1 {
		return Choice{first, reason, stale}
	}
	j := rand.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	second := list[j]
	otherScore, otherStale := t.score(second, t.stateOf(second.ID), now)
	stale = stale || otherStale
	if otherScore < score {
		first = second
	}
	return Choice{first, reason, stale}
}

// ExclusionReason returns why the bundle now in force excludes the target from new work. ReasonNone means that the
// target is not excluded.
func (t *Tracker) ExclusionReason(service ident.ServiceID, target ident.TargetID) outcome.Reason {
	return t.catalog.Current().ExclusionReason(service, target)
}

// Usable reports whether the target may receive new work and has not failed since its last success.
func (t *Tracker) Usable(target *catalog.Target) bool {
	return target.ExclusionReason == outcome.ReasonNone && t.stateOf(target.ID).observed.Load().failures == 0
}

// IsExploratory reports whether a choice finds out the state of its target: by a probe after failures, or because no
// recent reply shows that the target holds the snapshot.
func (t *Tracker) IsExploratory(c Choice, snap ident.SnapshotID) bool {
	return c.Reason == ReasonProbe || t.snapshots.State(c.Target.ID, snap) != snapshot.Holds
}
