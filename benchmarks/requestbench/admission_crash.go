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

// Parameters of the crash benchmark: 8 VMs in 3 zones, the present fleet size, that all receive the crashing request,
// and a shard with 9 replicas, 3 in each zone. Every send crashes the target that receives it.
const (
	crashVMs     = 8
	crashZones   = 3
	crashTargets = 9
	crashRounds  = 10
	// maxCrashedTargets allows quarantine.MaxTargets for each of the 3 zones, because in each zone one VM, the home VM,
	// runs the canaries of the request, which are its trial runs while it is not known to be safe.
	maxCrashedTargets = crashZones * quarantine.MaxTargets
)

func init() { bench.Register("quarantine_crash", crashedTargets) }

// crashedTargets counts the targets that a crashing request reaches when every VM receives it crashRounds times, all
// concurrently. The VMs that run the canaries (one home VM per zone) receive no quarantine messages from each other,
// which is the worst case.
func crashedTargets() ([]bench.Result, error) {
	f := &crashFleet{}
	for n := range crashVMs {
		f.members = append(f.members, membership.Member{ID: ident.VMID(fmt.Sprintf("vm%d", n)), Address: fmt.Sprint(n),
			Zone: ident.Zone(fmt.Sprintf("z%d", n%crashZones)), State: membership.Alive})
	}
	for n := range f.members {
		f.guards = append(f.guards, quarantine.New(clockwork.NewFakeClock(), crashView{f, n}, f, f))
	}
	var callers sync.WaitGroup
	for range crashRounds {
		for n, guard := range f.guards {
			callers.Go(func() { guard.Check(context.Background(), "crash", outcome.LeafRequest{}, f.replicas(n)) })
		}
	}
	callers.Wait()
	return []bench.Result{
		{Name: "crashing_request_targets", Value: float64(len(f.crashed)), Unit: "targets", Bound: maxCrashedTargets, LowerIsBetter: true},
		{Name: "crashing_request_resends", Value: crashRounds * crashVMs, Unit: "requests", Informative: true},
	}, nil
}

// crashFleet is a set of guards, one for each VM, and the targets that their canaries have crashed.
type crashFleet struct {
	members []membership.Member
	guards  []*quarantine.Guard
	mu      sync.Mutex
	crashed []ident.TargetID
}

// replicas returns the targets in the order of preference of VM n: those of its own zone first.
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

// Send implements quarantine.Sender: the request crashes its target.
func (f *crashFleet) Send(_ context.Context, r outcome.LeafRequest) outcome.LeafResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.crashed, r.Target) {
		f.crashed = append(f.crashed, r.Target)
	}
	return outcome.UnknownResult(outcome.ReasonConnectionLost, "the target crashed")
}

// Canary implements quarantine.PeerClient.
func (f *crashFleet) Canary(ctx context.Context, address, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) (search.GuardResult, error) {
	n := slices.IndexFunc(f.members, func(m membership.Member) bool { return m.Address == address })
	return f.guards[n].RunCanary(ctx, fingerprint, canary, replicas), nil
}

// Quarantine implements quarantine.PeerClient; the message is lost.
func (f *crashFleet) Quarantine(context.Context, string, string, time.Duration) {}

// crashView is the membership view of VM n.
type crashView struct {
	f *crashFleet
	n int
}

// View implements membership.Viewer.
func (v crashView) View() *membership.View {
	return membership.NewView(v.f.members[v.n], v.f.members, 1, time.Time{})
}
