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

// fleet has 8 VMs in 3 zones. All their sends to targets end with result.
type fleet struct {
	clock   *clockwork.FakeClock
	members []membership.Member
	guards  []*Guard
	// dropNotifications drops the notifications of quarantined fingerprints. down holds the addresses of the VMs that
	// cannot be called.
	dropNotifications bool
	down              map[string]bool

	mu      sync.Mutex
	result  outcome.LeafResult
	reached []ident.TargetID
	sends   int
}

var crashResult = outcome.UnknownResult(outcome.ReasonConnectionLost, "")

func newFleet(result outcome.LeafResult) *fleet {
	f := &fleet{clock: clockwork.NewFakeClock(), down: map[string]bool{}, result: result}
	for n := range 8 {
		f.members = append(f.members, membership.Member{ID: ident.VMID(fmt.Sprintf("vm%d", n)), Address: fmt.Sprint(n),
			Zone: ident.Zone(fmt.Sprintf("z%d", n%3)), State: membership.Alive})
	}
	for n := range f.members {
		f.guards = append(f.guards, New(f.clock, view{f, n}, f, f))
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

func (f *fleet) guardAt(address string) *Guard {
	return f.guards[slices.IndexFunc(f.members, func(m membership.Member) bool { return m.Address == address })]
}

func (f *fleet) Canary(ctx context.Context, address, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) (search.GuardResult, error) {
	if f.down[address] {
		return search.GuardResult{}, errors.New("dial failed")
	}
	return f.guardAt(address).RunCanary(ctx, fingerprint, canary, replicas), nil
}

func (f *fleet) Quarantine(_ context.Context, address, fingerprint string, remaining time.Duration) {
	if !f.dropNotifications {
		f.guardAt(address).Quarantine(fingerprint, remaining)
	}
}

// resend sends the request through VM number n; each VM prefers another replica.
func (f *fleet) resend(n int) search.GuardResult {
	order := append(slices.Clone(replicas[n:]), replicas[:n]...)
	return f.guards[n].Check(context.Background(), "fp", outcome.LeafRequest{Shard: "s1"}, order)
}

func (f *fleet) waitForNotifications() {
	for _, g := range f.guards {
		_ = g.Close(context.Background())
	}
}

// A request that crashes every target it reaches must reach few of them, even if it is resent through every VM
// concurrently and no home receives the notifications of the others.
func TestCrashingRequestReachesFewTargets(t *testing.T) {
	f := newFleet(crashResult)
	f.dropNotifications = true
	var callers sync.WaitGroup
	for range 3 {
		for n := range f.guards {
			callers.Go(func() { f.resend(n) })
		}
	}
	callers.Wait()
	f.waitForNotifications()
	// The homes of two zones may try the same target, so only the number of sends is exact.
	assert.LessOrEqual(t, len(f.reached), 3*MaxTargets)
	assert.Equal(t, 3*MaxTargets, f.sends)
}

// A fingerprint that one zone has quarantined must not be tried in another zone, and the quarantine must end after TTL.
func TestQuarantineReachesAllZonesAndEnds(t *testing.T) {
	f := newFleet(crashResult)
	assert.Equal(t, search.GuardQuarantined, f.resend(0).Verdict)
	f.waitForNotifications()
	for n := range f.guards {
		assert.Equal(t, search.GuardQuarantined, f.resend(n).Verdict)
	}
	assert.Len(t, f.reached, MaxTargets)
	f.clock.Advance(TTL)
	f.result = outcome.LeafResult{Status: outcome.LeafOK}
	assert.Equal(t, search.GuardSafe, f.resend(0).Verdict)
}

// A safe query must run only one canary, whose result is returned so that its shard is not sent again; a repetition of
// the query must run none.
func TestSafeFingerprintRunsOneCanary(t *testing.T) {
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

// While a home is unreachable, no second VM of its zone may act as the home: the two VMs together could send the canary
// to more than MaxTargets targets.
func TestUnreachableHomeFailsTheCheck(t *testing.T) {
	f := newFleet(crashResult)
	home, _ := f.guards[0].home("fp")
	f.down[home.Address] = true
	for n, m := range f.members {
		if m.Zone == home.Zone && m.ID != home.ID {
			assert.Equal(t, search.GuardFailed, f.resend(n).Verdict)
			assert.Equal(t, search.GuardFailed, f.guards[n].RunCanary(context.Background(), "fp", outcome.LeafRequest{}, replicas).Verdict)
		}
	}
	assert.Empty(t, f.reached)
}

// Through one home a fingerprint must never reach a third target within TTL, whatever the order of crashes, passed
// deadlines, unreachable peers and refusals.
func TestHomeNeverExceedsItsTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(crashResult)
		home, _ := f.guards[0].home("fp")
		g := f.guardAt(home.Address)
		results := []outcome.LeafResult{crashResult, outcome.UnknownResult(outcome.ReasonDeadline, ""), outcome.UnknownResult(outcome.ReasonPeerUnreachable, ""),
			outcome.NotRunResult(outcome.ReasonDialFailed, "")}
		for range rapid.IntRange(1, 12).Draw(t, "resends") {
			f.result = rapid.SampledFrom(results).Draw(t, "result")
			g.RunCanary(context.Background(), "fp", outcome.LeafRequest{}, rapid.Permutation(replicas).Draw(t, "order"))
			require.LessOrEqual(t, len(f.reached), MaxTargets)
		}
		f.waitForNotifications()
	})
}

// Other fingerprints must not evict a suspect: a full table must accept no new one until an entry expires.
func TestFullTableAcceptsNoNewFingerprint(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tab := newTable(1)
	_, ok := tab.reserve("a", "t0", clock.Now())
	require.True(t, ok)
	_, ok = tab.reserve("b", "t0", clock.Now())
	assert.False(t, ok)
	_, ok = tab.reserve("b", "t0", clock.Now().Add(TTL))
	assert.True(t, ok)
}
