package requestbench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/quarantine"
	"teaselbank.example/teaselbank/search"
)

// The fleet of today: 8 entry VMs in 3 zones. The shard has 9 replicas, 3 in each zone, and every send crashes one.
const (
	crashVMs     = 8
	crashZones   = 3
	crashTargets = 9
	crashRounds  = 10
	// maxCrashedTargets is MaxTargets of the homes of 3 zones.
	maxCrashedTargets = crashZones * quarantine.MaxTargets
)

func init() { bench.Register("quarantine_crash", crashedTargets) }

// crashedTargets resends a crashing request through every VM at once, several times, while homes are not told of each
// other's quarantines, which is the worst case.
func crashedTargets() ([]bench.Result, error) {
	f := &crashFleet{}
	for n := range crashVMs {
		f.members = append(f.members, membership.Member{ID: ident.VMID(fmt.Sprintf("vm%d", n)), Address: fmt.Sprint(n),
			Zone: ident.Zone(fmt.Sprintf("z%d", n%crashZones)), State: membership.Alive})
	}
	for n := range f.members {
		f.keepers = append(f.keepers, quarantine.New(clockwork.NewFakeClock(), crashView{f, n}, f, f))
	}
	var callers sync.WaitGroup
	for range crashRounds {
		for n, k := range f.keepers {
			callers.Go(func() { k.Check(context.Background(), "crash", outcome.LeafRequest{}, f.replicas(n)) })
		}
	}
	callers.Wait()
	return []bench.Result{
		{Name: "crashing_request_targets", Value: float64(len(f.reached)), Unit: "targets", Bound: maxCrashedTargets, Less: true},
		{Name: "crashing_request_resends", Value: crashRounds * crashVMs, Unit: "requests", Informative: true},
	}, nil
}

type crashFleet struct {
	members []membership.Member
	keepers []*quarantine.Guard
	mu      sync.Mutex
	reached []ident.TargetID
}

// replicas lists the targets in the order of the VM's preference: its own zone first.
func (f *crashFleet) replicas(n int) []ident.TargetID {
	var near, far []ident.TargetID
	for t := range crashTargets {
		id := ident.TargetID(fmt.Sprintf("t%d", t))
		if t%crashZones == n%crashZones {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	return append(near, far...)
}

// Send crashes the target.
func (f *crashFleet) Send(_ context.Context, r outcome.LeafRequest) outcome.LeafResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.reached, r.Target) {
		f.reached = append(f.reached, r.Target)
	}
	return outcome.UnknownResult(outcome.ReasonConnectionLost, "the target crashed")
}

// Canary calls the home at the address.
func (f *crashFleet) Canary(ctx context.Context, address, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) (search.GuardResult, error) {
	n := slices.IndexFunc(f.members, func(m membership.Member) bool { return m.Address == address })
	return f.keepers[n].RunCanary(ctx, fingerprint, canary, replicas), nil
}

// Quarantine loses the message.
func (f *crashFleet) Quarantine(context.Context, string, string, time.Duration) {}

type crashView struct {
	f *crashFleet
	n int
}

// View returns the view of one VM.
func (v crashView) View() *membership.View {
	return membership.NewView(v.f.members[v.n], v.f.members, 1, time.Time{})
}
