// Package quarantine keeps a request that crashes targets from reaching many of them. A query that is not known to be
// safe runs on one shard first, as a canary. A query is identified by its fingerprint, a hash of its service and
// content. In each availability zone one VM, the home of the fingerprint, runs the canaries of that fingerprint;
// rendezvous hashing chooses the home. A fingerprint that crashes targets is quarantined.
package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
	"teaselbank.example/teaselbank/search"
)

// Sender sends one leaf request and returns its result.
type Sender interface {
	Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
}

// PeerClient calls other VMs.
type PeerClient interface {
	// Canary calls RunCanary of the VM at the address, the home of the fingerprint.
	Canary(ctx context.Context, address, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) (search.GuardResult, error)
	// Quarantine notifies the VM at the address that the fingerprint is quarantined for the remaining time.
	Quarantine(ctx context.Context, address, fingerprint string, remaining time.Duration)
}

// Guard implements search.Guard. It checks the fingerprints of the queries that this VM receives from callers, and runs
// the canaries of the fingerprints whose home this VM is.
type Guard struct {
	clock      clockwork.Clock
	viewer     membership.Viewer
	sender     Sender
	peerClient PeerClient
	table      *table

	// canaries counts the canaries that were begun on this VM, and hedges their concurrent second sends.
	canaries atomic.Int64
	hedges   atomic.Int64

	mu sync.Mutex
	// running maps each fingerprint whose canary runs to a channel that is closed when the canary ends.
	running       map[string]chan struct{}
	notifications sync.WaitGroup
}

// New returns a Guard that has no verdict on any fingerprint.
func New(clock clockwork.Clock, viewer membership.Viewer, sender Sender, peerClient PeerClient) *Guard {
	return &Guard{clock: clock, viewer: viewer, sender: sender, peerClient: peerClient, table: newTable(maxSuspects), running: map[string]chan struct{}{}}
}

// Check implements search.Guard. If the home VM cannot be reached, the check fails and no other VM runs the canary.
// Another VM becomes the home only when the membership view no longer lists the unreachable VM as usable, so that
// MaxTargets holds for each zone and home.
func (g *Guard) Check(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) search.GuardResult {
	if res, known := g.knownVerdict(fingerprint); known {
		return res
	}
	home, ok := g.home(fingerprint)
	if !ok {
		return failedResult(outcome.NotRunResult(outcome.ReasonStaleView, "this zone has no usable VM to run the canary"), "")
	}
	if home.ID == g.viewer.View().Self.ID {
		return g.RunCanary(ctx, fingerprint, canary, replicas)
	}
	res, err := g.peerClient.Canary(ctx, home.Address, fingerprint, canary, replicas)
	if err != nil {
		return failedResult(outcome.UnknownResult(outcome.ReasonPeerUnreachable, err.Error()), "")
	}
	switch res.Verdict {
	case search.GuardSafe:
		g.table.markSafe(fingerprint)
	case search.GuardQuarantined:
		g.table.quarantine(fingerprint, TTL, g.clock.Now())
	}
	return res
}

// knownVerdict returns the verdict on a fingerprint that is already known to be safe or quarantined. It returns false
// for any other fingerprint.
func (g *Guard) knownVerdict(fingerprint string) (search.GuardResult, bool) {
	switch {
	case g.table.isQuarantined(fingerprint, g.clock.Now()):
		return search.GuardResult{Verdict: search.GuardQuarantined}, true
	case g.table.isSafe(fingerprint):
		return search.GuardResult{Verdict: search.GuardSafe}, true
	}
	return search.GuardResult{}, false
}

// home returns the VM in this VM's zone that runs the canaries of a fingerprint. It returns false if the zone has no
// usable VM.
func (g *Guard) home(fingerprint string) (membership.Member, bool) {
	view := g.viewer.View()
	ranked := placement.Rank(fingerprint, view.UsableIn(view.Self.Zone))
	if len(ranked) == 0 {
		return membership.Member{}, false
	}
	return ranked[0], true
}

// RunCanary runs the canary as the home of the fingerprint. Canaries of one fingerprint run one after the other. If
// this VM is not the home in its own membership view, it refuses the canary: otherwise VMs with different views could
// make two VMs of one zone act as homes.
func (g *Guard) RunCanary(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) search.GuardResult {
	if home, ok := g.home(fingerprint); !ok || home.ID != g.viewer.View().Self.ID {
		return failedResult(outcome.NotRunResult(outcome.ReasonNotOwner, "this VM is not the home of the fingerprint"), "")
	}
	unlock, err := g.lockFingerprint(ctx, fingerprint)
	if err != nil {
		return failedResult(outcome.NotRunResult(outcome.ReasonDeadline, "gave up waiting for another canary of the fingerprint"), "")
	}
	defer unlock()
	if res, known := g.knownVerdict(fingerprint); known {
		return res
	}
	return g.tryReplicas(ctx, fingerprint, canary, replicas)
}

// lockFingerprint waits until no other canary of the fingerprint runs, and blocks others until unlock is called. If the
// context ends first, the error is that of the context.
func (g *Guard) lockFingerprint(ctx context.Context, fingerprint string) (unlock func(), err error) {
	for {
		g.mu.Lock()
		other, busy := g.running[fingerprint]
		if !busy {
			ended := make(chan struct{})
			g.running[fingerprint] = ended
			g.mu.Unlock()
			return func() {
				g.mu.Lock()
				delete(g.running, fingerprint)
				g.mu.Unlock()
				close(ended)
			}, nil
		}
		g.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// releaseIfAdded releases the target if the send added it. A target that was recorded at an earlier send without a
// reply stays recorded.
func (g *Guard) releaseIfAdded(added bool, fingerprint string, target ident.TargetID) {
	if added {
		g.table.release(fingerprint, target)
	}
}

// isCrash reports whether the result looks like a crash: the connection to the target ended without a complete reply.
func isCrash(r outcome.LeafResult) bool {
	return r.Status == outcome.LeafUnknown && (r.Reason == outcome.ReasonConnectionLost || r.Reason == outcome.ReasonTruncatedReply)
}

// targetReplied reports whether the reason shows that the target survived the request, although its reply is of no use.
func targetReplied(r outcome.Reason) bool {
	return r == outcome.ReasonTargetError || r == outcome.ReasonWrongSnapshot || r == outcome.ReasonMalformedReply
}

// failedResult returns a result with the verdict GuardFailed.
func failedResult(r outcome.LeafResult, target ident.TargetID) search.GuardResult {
	return search.GuardResult{Verdict: search.GuardFailed, Leaf: &r, Target: target}
}

// Limits of the notifications to other VMs.
const (
	notifyTimeout     = 2 * time.Second
	notifyConcurrency = 16
)

// notifyPeers sends the quarantine to every other member that is not dead, at most notifyConcurrency at a time. It does
// not wait until the notifications have been sent.
func (g *Guard) notifyPeers(fingerprint string) {
	view := g.viewer.View()
	slots := make(chan struct{}, notifyConcurrency)
	g.notifications.Go(func() {
		for _, m := range view.Members {
			if m.ID == view.Self.ID || m.State == membership.Dead {
				continue
			}
			slots <- struct{}{}
			g.notifications.Go(func() {
				defer func() { <-slots }()
				ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
				defer cancel()
				g.peerClient.Quarantine(ctx, m.Address, fingerprint, TTL)
			})
		}
	})
}

// Quarantine records a quarantine that another home VM decided. The quarantine ends after the remaining time, at most
// TTL; if no time remains, the call has no effect.
func (g *Guard) Quarantine(fingerprint string, remaining time.Duration) {
	if remaining > 0 {
		g.table.quarantine(fingerprint, remaining, g.clock.Now())
	}
}

// Canaries returns how many canaries this VM has begun as a home, and how many of them were hedged.
func (g *Guard) Canaries() (begun, hedged int64) { return g.canaries.Load(), g.hedges.Load() }

// Suspects returns how many fingerprints are quarantined, or have reached targets but have no verdict yet.
func (g *Guard) Suspects() int { return g.table.size() }

// Close waits until the notification of each peer has succeeded, failed or timed out.
func (g *Guard) Close(context.Context) error {
	g.notifications.Wait()
	return nil
}
