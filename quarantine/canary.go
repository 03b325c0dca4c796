package quarantine

import (
	"context"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/search"
)

// Limits of hedged canaries. A hedge is a second, concurrent send of a canary to another replica. All other leaf
// requests of the query wait for the canary, so a straggler would delay the whole query.
const (
	// hedgeDelay is several times the usual 2 to 4 ms in which a target replies, and a fraction of a straggler's time.
	hedgeDelay = 15 * time.Millisecond
	// canariesPerHedge limits hedges to 5% of the canaries, plus one, also when every target is slow.
	canariesPerHedge = 20
)

// attempt is one send of a canary.
type attempt struct {
	id     ident.RequestID
	target ident.TargetID
	// added reports that this attempt added the target to the targets recorded for the fingerprint.
	added  bool
	result outcome.LeafResult
}

// trial runs the canary of one fingerprint on one replica after the other. If a replica is slow, a second one may run
// the canary concurrently.
type trial struct {
	*Guard
	fingerprint string
	canary      outcome.LeafRequest
	// replicas lists the replicas that were not tried yet, in order of preference.
	replicas []ident.TargetID
	// running counts the sends in flight.
	running int
	done    chan attempt
	last    search.GuardResult
}

// tryReplicas sends the canary to the replicas in turn. It returns when a replica has replied, the fingerprint is
// quarantined, no replica is left, or the only send in flight ended without a reply or a sign of a crash.
func (g *Guard) tryReplicas(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) search.GuardResult {
	ctx, cancel := context.WithCancel(ctx)
	// If a hedge replies first, the other send is cancelled at its target.
	defer cancel()
	t := &trial{Guard: g, fingerprint: fingerprint, canary: canary, replicas: replicas, done: make(chan attempt, len(replicas)),
		last: failedResult(outcome.NotRunResult(outcome.ReasonNoReplica, "no replica may receive the canary"), "")}
	g.canaries.Add(1)
	t.send(ctx)
	slow := g.clock.After(hedgeDelay)
	for t.running > 0 {
		select {
		case <-slow:
			if g.mayHedge() && t.send(ctx) {
				g.hedges.Add(1)
			}
		case a := <-t.done:
			t.running--
			if t.handleResult(a) {
				return t.last
			}
			if t.running == 0 {
				t.send(ctx)
			}
		}
	}
	return t.last
}

// mayHedge reports whether canariesPerHedge allows one more hedge.
func (g *Guard) mayHedge() bool { return g.hedges.Load() <= g.canaries.Load()/canariesPerHedge }

// send starts a send of the canary to the next replica that the table lets the fingerprint reach. It returns false if
// there is no such replica, or the context has ended.
func (t *trial) send(ctx context.Context) bool {
	for len(t.replicas) > 0 && ctx.Err() == nil {
		target := t.replicas[0]
		t.replicas = t.replicas[1:]
		added, ok := t.table.reserve(t.fingerprint, target, t.clock.Now())
		if !ok {
			continue
		}
		canary := t.canary
		canary.ID, canary.Target, canary.Kind = ident.NewRequestID(), target, outcome.SendCanary
		t.running++
		go func() { t.done <- attempt{canary.ID, target, added, t.sender.Send(ctx, canary)} }()
		return true
	}
	return false
}

// handleResult records the result of one send and reports whether the trial is over.
func (t *trial) handleResult(a attempt) bool {
	if a.result.ID == a.id {
		// Each send has its own request ID, but the searcher accepts only a reply with the ID of its own request.
		a.result.ID = t.canary.ID
	}
	t.last = failedResult(a.result, a.target)
	switch {
	case a.result.Status == outcome.LeafOK:
		t.table.markSafe(t.fingerprint)
		t.last.Verdict = search.GuardSafe
		return true
	case isCrash(a.result):
		if !t.table.recordCrash(t.fingerprint, t.clock.Now()) {
			return false
		}
		t.notifyPeers(t.fingerprint)
		t.last.Verdict = search.GuardQuarantined
		return true
	case a.result.Status == outcome.LeafNotRun:
		t.releaseIfAdded(a.added, t.fingerprint, a.target)
		return false
	case targetReplied(a.result.Reason):
		t.releaseIfAdded(a.added, t.fingerprint, a.target)
		return true
	default:
		// There was neither a reply nor a sign of a crash, so the target stays recorded for the fingerprint. Once
		// MaxTargets targets are recorded, later canaries of the fingerprint are sent only to those.
		return t.running == 0
	}
}
