package quarantine

import (
	"context"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/search"
)

// Limits of hedged canaries. The whole fan-out waits for the canary, so one straggler would delay all of it.
const (
	// hedgeDelay is several times the usual 2 to 4 ms of a target, and a fraction of a straggler's time.
	hedgeDelay = 15 * time.Millisecond
	// canariesPerHedge keeps hedges within 5% of the canaries, also when every target is slow.
	canariesPerHedge = 20
)

// attempt is one send of a canary.
type attempt struct {
	id     ident.RequestID
	target ident.TargetID
	fresh  bool
	result outcome.LeafResult
}

// trial runs the canary of one fingerprint on one replica after the other, and on a second one at the same time if
// the first is slow.
type trial struct {
	*Keeper
	fingerprint string
	canary      outcome.LeafRequest
	replicas    []ident.TargetID
	running     int
	done        chan attempt
	last        search.GuardResult
}

// try returns when a replica has answered, the fingerprint is quarantined, or no replica is left.
func (k *Keeper) try(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) search.GuardResult {
	ctx, cancel := context.WithCancel(ctx)
	// A canary that lost against its hedge is cancelled at its target.
	defer cancel()
	t := &trial{Keeper: k, fingerprint: fingerprint, canary: canary, replicas: replicas, done: make(chan attempt, len(replicas)),
		last: failed(outcome.LeafRefused(outcome.ReasonNoReplica, "no replica may receive the canary"), "")}
	k.canaries.Add(1)
	t.send(ctx)
	slow := k.clock.After(hedgeDelay)
	for t.running > 0 {
		select {
		case <-slow:
			if k.mayHedge() && t.send(ctx) {
				k.hedges.Add(1)
			}
		case a := <-t.done:
			t.running--
			if t.settle(a) {
				return t.last
			}
			if t.running == 0 {
				t.send(ctx)
			}
		}
	}
	return t.last
}

// mayHedge reports whether one more hedge stays within the share of canaries.
func (k *Keeper) mayHedge() bool { return k.hedges.Load() <= k.canaries.Load()/canariesPerHedge }

// send starts the canary on the next replica that may be charged, if there is one.
func (t *trial) send(ctx context.Context) bool {
	for len(t.replicas) > 0 && ctx.Err() == nil {
		target := t.replicas[0]
		t.replicas = t.replicas[1:]
		fresh, ok := t.table.charge(t.fingerprint, target, t.clock.Now())
		if !ok {
			continue
		}
		canary := t.canary
		canary.ID, canary.Target, canary.Kind = ident.NewRequestID(), target, outcome.SendCanary
		t.running++
		go func() { t.done <- attempt{canary.ID, target, fresh, t.sender.Send(ctx, canary)} }()
		return true
	}
	return false
}

// settle takes one result and reports whether the trial is over.
func (t *trial) settle(a attempt) bool {
	if a.result.ID == a.id {
		// The searcher knows its own request only; each send of it has an identity of its own.
		a.result.ID = t.canary.ID
	}
	t.last = failed(a.result, a.target)
	switch {
	case a.result.Status == outcome.LeafOK:
		t.table.passed(t.fingerprint)
		t.last.Verdict = search.GuardSafe
		return true
	case isCrash(a.result):
		if !t.table.crashed(t.fingerprint, t.clock.Now()) {
			return false
		}
		t.tell(t.fingerprint)
		t.last.Verdict = search.GuardQuarantined
		return true
	case a.result.Status == outcome.LeafNotRun:
		t.release(a.fresh, t.fingerprint, a.target)
		return false
	case answered(a.result.Reason):
		t.release(a.fresh, t.fingerprint, a.target)
		return true
	default:
		// No reply and no sign of a crash: the target stays charged, and only the charged ones are tried again.
		return t.running == 0
	}
}
