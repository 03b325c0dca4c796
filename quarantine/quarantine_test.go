package quarantine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/search"
)

var replicas = []ident.TargetID{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"}

// fleet is 8 VMs in 3 zones in front of targets that end as result says.
type fleet struct {
	clock   *clockwork.FakeClock
	members []membership.Member
	keepers []*Keeper
	// lossy drops what homes tell their peers; down VMs cannot be called.
	lossy bool
	down  map[string]bool

	mu      sync.Mutex
	result  outcome.LeafResult
	reached []ident.TargetID
	sends   int
}

var crash = outcome.LeafLost(outcome.ReasonConnectionLost, "")

func newFleet(result outcome.LeafResult) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), down: map[string]bool{}, result: result}
	for n := range 8 {
		f.members = append(f.members, membership.Member{ID: ident.VMID(fmt.Sprintf("vm%d", n)), Address: fmt.Sprint(n),
			Zone: ident.Zone(fmt.Sprintf("z%d", n%3)), State: membership.Alive})
	}
	for n := range f.members {
		f.keepers = append(f.keepers, New(f.clock, view{f, n}, f, f))
	}
	return f
}

type view struct {
	f *fleet
	n int
}

func (v view) View() *membership.View {
	return membership.NewView(v.f.members[v.n], v.f.members, 1, v.f.clock.Now())
}

func (f *fleet) Send(_ context.Context, r outcome.LeafRequest) outcome.LeafResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends++
	if f.result.Status != outcome.LeafNotRun && !slices.Contains(f.reached, r.Target) {
		f.reached = append(f.reached, r.Target)
	}
	return f.result
}

func (f *fleet) keeper(address string) *Keeper {
	return f.keepers[slices.IndexFunc(f.members, func(m membership.Member) bool { return m.Address == address })]
}

func (f *fleet) Canary(ctx context.Context, address, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) (search.GuardResult, error) {
	if f.down[address] {
		return search.GuardResult{}, errors.New("dial failed")
	}
	return f.keeper(address).RunCanary(ctx, fingerprint, canary, replicas), nil
}

func (f *fleet) Quarantine(_ context.Context, address, fingerprint string, remaining time.Duration) {
	if !f.lossy {
		f.keeper(address).Quarantine(fingerprint, remaining)
	}
}

// resend sends the request through a VM; each entry VM prefers another replica.
func (f *fleet) resend(n int) search.GuardResult {
	order := append(slices.Clone(replicas[n:]), replicas[:n]...)
	return f.keepers[n].Check(context.Background(), "fp", outcome.LeafRequest{Shard: "s1"}, order)
}

func (f *fleet) settle() {
	for _, k := range f.keepers {
		_ = k.Close(context.Background())
	}
}

// Guards against a request that crashes every target that runs it and is resent through every VM, also at once and
// while no home hears of the others.
func TestCrashingRequestReachesFewTargets(t *testing.T) {
	f := newFleet(crash)
	f.lossy = true
	var callers sync.WaitGroup
	for range 3 {
		for n := range f.keepers {
			callers.Go(func() { f.resend(n) })
		}
	}
	callers.Wait()
	f.settle()
	// Homes of two zones may try the same target, so only the sends are an exact number.
	assert.LessOrEqual(t, len(f.reached), 3*MaxTargets)
	assert.Equal(t, 3*MaxTargets, f.sends)
}

// Guards against a zone that tries for itself what another zone has quarantined, and a quarantine that never ends.
func TestQuarantineIsToldAndEnds(t *testing.T) {
	f := newFleet(crash)
	assert.Equal(t, search.GuardQuarantined, f.resend(0).Verdict)
	f.settle()
	for n := range f.keepers {
		assert.Equal(t, search.GuardQuarantined, f.resend(n).Verdict)
	}
	assert.Len(t, f.reached, MaxTargets)
	f.clock.Advance(TTL)
	f.result = outcome.LeafResult{Status: outcome.LeafOK}
	assert.Equal(t, search.GuardSafe, f.resend(0).Verdict)
}

// Guards against a canary for each repetition of a safe query, and a second send of the canary's shard.
func TestSafeFingerprintPaysOneCanary(t *testing.T) {
	f := newFleet(outcome.LeafResult{Status: outcome.LeafOK})
	first := f.resend(0)
	require.Equal(t, search.GuardSafe, first.Verdict)
	require.NotNil(t, first.Leaf)
	assert.Equal(t, ident.TargetID("t0"), first.Target)
	again := f.resend(0)
	assert.Equal(t, search.GuardSafe, again.Verdict)
	assert.Nil(t, again.Leaf)
	assert.Equal(t, 1, f.sends)
}

// Guards against a second home while the first is unreachable: both together could reach more than MaxTargets.
func TestUnreachableHomeFailsTheCheck(t *testing.T) {
	f := newFleet(crash)
	home, _ := f.keepers[0].home("fp")
	f.down[home.Address] = true
	for n, m := range f.members {
		if m.Zone == home.Zone && m.ID != home.ID {
			assert.Equal(t, search.GuardFailed, f.resend(n).Verdict)
			assert.Equal(t, search.GuardFailed, f.keepers[n].RunCanary(context.Background(), "fp", outcome.LeafRequest{}, replicas).Verdict)
		}
	}
	assert.Empty(t, f.reached)
}

// Guards against a third target in any order of crashes, lost deadlines, refusals and errors within one quarantine time.
func TestHomeNeverExceedsItsTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(crash)
		home, _ := f.keepers[0].home("fp")
		k := f.keeper(home.Address)
		results := []outcome.LeafResult{crash, outcome.LeafLost(outcome.ReasonDeadline, ""), outcome.LeafLost(outcome.ReasonPeerUnreachable, ""),
			outcome.LeafRefused(outcome.ReasonDialFailed, "")}
		for range rapid.IntRange(1, 12).Draw(t, "resends") {
			f.result = rapid.SampledFrom(results).Draw(t, "result")
			k.RunCanary(context.Background(), "fp", outcome.LeafRequest{}, rapid.Permutation(replicas).Draw(t, "order"))
			require.LessOrEqual(t, len(f.reached), MaxTargets)
		}
		f.settle()
	})
}

// Guards against eviction of a suspect by other fingerprints.
func TestFullTableTriesNothingNew(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tab := newTable(1)
	_, ok := tab.charge("a", "t0", clock.Now())
	require.True(t, ok)
	_, ok = tab.charge("b", "t0", clock.Now())
	assert.False(t, ok)
	_, ok = tab.charge("b", "t0", clock.Now().Add(TTL))
	assert.True(t, ok)
}
