// Package quarantine keeps a request that crashes targets from reaching many of them. A query that is not known to be
// safe runs on one shard first, through the home of its fingerprint, and one that crashes targets is quarantined.
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

// Sender runs one leaf request.
type Sender interface {
	Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
}

// Peer calls other VMs.
type Peer interface {
	// Canary asks the home at the address to run the canary.
	Canary(ctx context.Context, address, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) (search.GuardResult, error)
	// Quarantine tells the VM at the address of a quarantined fingerprint.
	Quarantine(ctx context.Context, address, fingerprint string, remaining time.Duration)
}

// Keeper checks fingerprints as an entry VM and runs canaries as a home.
type Keeper struct {
	clock  clockwork.Clock
	viewer membership.Viewer
	sender Sender
	peer   Peer
	table  *table

	// canaries and hedges count the canaries that were begun here, and the second sends among them.
	canaries atomic.Int64
	hedges   atomic.Int64

	mu      sync.Mutex
	running map[string]chan struct{}
	told    sync.WaitGroup
}

// New returns a keeper that knows no fingerprint.
func New(clock clockwork.Clock, viewer membership.Viewer, sender Sender, peer Peer) *Keeper {
	return &Keeper{clock: clock, viewer: viewer, sender: sender, peer: peer, table: newTable(maxSuspects), running: map[string]chan struct{}{}}
}

// Check implements search.Guard. If the home cannot be reached the check fails, and no other VM runs the canary: the
// next home takes over only when the view drops this one, which keeps the bound of MaxTargets for each zone and home.
func (k *Keeper) Check(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) search.GuardResult {
	if res, known := k.known(fingerprint); known {
		return res
	}
	home, ok := k.home(fingerprint)
	if !ok {
		return failed(outcome.LeafRefused(outcome.ReasonStaleView, "the zone has no usable VM"), "")
	}
	if home.ID == k.viewer.View().Self.ID {
		return k.RunCanary(ctx, fingerprint, canary, replicas)
	}
	res, err := k.peer.Canary(ctx, home.Address, fingerprint, canary, replicas)
	if err != nil {
		return failed(outcome.LeafLost(outcome.ReasonPeerUnreachable, err.Error()), "")
	}
	switch res.Verdict {
	case search.GuardSafe:
		k.table.passed(fingerprint)
	case search.GuardQuarantined:
		k.table.quarantine(fingerprint, TTL, k.clock.Now())
	}
	return res
}

func (k *Keeper) known(fingerprint string) (search.GuardResult, bool) {
	switch {
	case k.table.isQuarantined(fingerprint, k.clock.Now()):
		return search.GuardResult{Verdict: search.GuardQuarantined}, true
	case k.table.isSafe(fingerprint):
		return search.GuardResult{Verdict: search.GuardSafe}, true
	}
	return search.GuardResult{}, false
}

// home returns the VM of this VM's zone that runs the canaries of a fingerprint.
func (k *Keeper) home(fingerprint string) (membership.Member, bool) {
	view := k.viewer.View()
	ranked := placement.Rank(fingerprint, view.UsableIn(view.Self.Zone))
	if len(ranked) == 0 {
		return membership.Member{}, false
	}
	return ranked[0], true
}

// RunCanary runs the canary as the home of the fingerprint. Canaries of one fingerprint run one after the other, and
// a VM that is not the home in its own view refuses, so that two views of one zone do not make two homes.
func (k *Keeper) RunCanary(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) search.GuardResult {
	if home, ok := k.home(fingerprint); !ok || home.ID != k.viewer.View().Self.ID {
		return failed(outcome.LeafRefused(outcome.ReasonNotOwner, "this VM is not the home of the fingerprint"), "")
	}
	end, err := k.begin(ctx, fingerprint)
	if err != nil {
		return failed(outcome.LeafRefused(outcome.ReasonDeadline, "another canary of the fingerprint runs"), "")
	}
	defer end()
	if res, known := k.known(fingerprint); known {
		return res
	}
	return k.try(ctx, fingerprint, canary, replicas)
}

// begin waits until no other canary of the fingerprint runs.
func (k *Keeper) begin(ctx context.Context, fingerprint string) (end func(), err error) {
	for {
		k.mu.Lock()
		other, busy := k.running[fingerprint]
		if !busy {
			mine := make(chan struct{})
			k.running[fingerprint] = mine
			k.mu.Unlock()
			return func() {
				k.mu.Lock()
				delete(k.running, fingerprint)
				k.mu.Unlock()
				close(mine)
			}, nil
		}
		k.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// release keeps the charge of an earlier send that got no reply.
func (k *Keeper) release(fresh bool, fingerprint string, target ident.TargetID) {
	if fresh {
		k.table.release(fingerprint, target)
	}
}

// isCrash reports whether the connection to the target ended without a whole reply.
func isCrash(r outcome.LeafResult) bool {
	return r.Status == outcome.LeafUnknown && (r.Reason == outcome.ReasonConnectionLost || r.Reason == outcome.ReasonTruncated)
}

// answered reports whether the target survived the request, although its answer is of no use.
func answered(r outcome.Reason) bool {
	return r == outcome.ReasonTargetError || r == outcome.ReasonWrongSnapshot || r == outcome.ReasonMalformed
}

func failed(r outcome.LeafResult, target ident.TargetID) search.GuardResult {
	return search.GuardResult{Verdict: search.GuardFailed, Leaf: &r, Target: target}
}

// Limits of telling peers.
const (
	tellTimeout = 2 * time.Second
	tellers     = 16
)

// tell sends the quarantine to every other member, a bounded number at a time.
func (k *Keeper) tell(fingerprint string) {
	view := k.viewer.View()
	slots := make(chan struct{}, tellers)
	k.told.Go(func() {
		for _, m := range view.Members {
			if m.ID == view.Self.ID || m.State == membership.Dead {
				continue
			}
			slots <- struct{}{}
			k.told.Go(func() {
				defer func() { <-slots }()
				ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
				defer cancel()
				k.peer.Quarantine(ctx, m.Address, fingerprint, TTL)
			})
		}
	})
}

// Quarantine takes over the decision of another home.
func (k *Keeper) Quarantine(fingerprint string, remaining time.Duration) {
	if remaining > 0 {
		k.table.quarantine(fingerprint, remaining, k.clock.Now())
	}
}

// Canaries returns how many canaries this VM began as a home, and how many of them were hedged.
func (k *Keeper) Canaries() (begun, hedged int64) { return k.canaries.Load(), k.hedges.Load() }

// Suspects returns how many fingerprints are quarantined or without a verdict.
func (k *Keeper) Suspects() int { return k.table.size() }

// Close waits until every peer was told or given up.
func (k *Keeper) Close(context.Context) error {
	k.told.Wait()
	return nil
}
