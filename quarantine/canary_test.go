package quarantine

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/search"
)

type senderFunc func(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult

func (f senderFunc) Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	return f(ctx, r)
}

// alone returns a keeper that is the home of every fingerprint.
func alone(s senderFunc) (*Keeper, *fleet) {
	f := newFleet(outcome.LeafResult{})
	f.members = f.members[:1]
	return New(f.clock, view{f, 0}, s, f), f
}

func whole(r outcome.LeafRequest) outcome.LeafResult {
	return outcome.LeafResult{Status: outcome.LeafOK, ID: r.ID, Shard: r.Shard}
}

var request = outcome.LeafRequest{ID: "searcher", Shard: "s1"}

// A canary whose reply does not carry the searcher's identity counts as foreign, and its shard is sent again.
func TestCanaryReplyCarriesTheSearchersIdentity(t *testing.T) {
	var sent ident.RequestID
	k, _ := alone(func(_ context.Context, r outcome.LeafRequest) outcome.LeafResult {
		sent = r.ID
		return whole(r)
	})
	res := k.Check(t.Context(), "fp", request, replicas)
	require.Equal(t, search.GuardSafe, res.Verdict)
	require.Equal(t, request.ID, res.Leaf.ID)
	require.NotEqual(t, request.ID, sent)
}

// A straggler must not delay the fan-out that waits for the canary; the loser is cancelled.
func TestSlowCanaryIsHedged(t *testing.T) {
	cancelled := make(chan struct{})
	k, f := alone(func(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
		if r.Target != replicas[0] {
			return whole(r)
		}
		<-ctx.Done()
		close(cancelled)
		return outcome.LeafLost(outcome.ReasonCancelled, "")
	})
	done := make(chan search.GuardResult)
	go func() { done <- k.Check(context.Background(), "fp", request, replicas) }()
	require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
	f.clock.Advance(hedgeDelay)
	res := <-done
	require.Equal(t, search.GuardSafe, res.Verdict)
	require.Equal(t, replicas[1], res.Target)
	<-cancelled
}

// Hedged canaries must not add load when every target is slow. The hedge and the late reply become ready together, so
// several rounds are run: without the budget, half of them would send twice.
func TestSlowCanariesAreHedgedWithinTheirBudget(t *testing.T) {
	const queries, rounds = 100, 20
	k, f := alone(nil)
	for range queries {
		k.canaries.Add(1)
		if k.mayHedge() {
			k.hedges.Add(1)
		}
	}
	require.LessOrEqual(t, k.hedges.Load(), int64(queries/canariesPerHedge+1))

	sends := make(chan outcome.LeafRequest, 2*rounds)
	reply := make(chan struct{})
	k.sender = senderFunc(func(_ context.Context, r outcome.LeafRequest) outcome.LeafResult {
		sends <- r
		<-reply
		return outcome.LeafLost(outcome.ReasonDeadline, "")
	})
	for round := range rounds {
		k.hedges.Store(queries)
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.Check(context.Background(), string(rune('a'+round)), request, replicas)
		}()
		require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
		f.clock.Advance(hedgeDelay)
		reply <- struct{}{}
		select {
		case <-done:
		case reply <- struct{}{}:
			<-done
		}
	}
	require.Len(t, sends, rounds)
}

// A crashing query must not reach more targets because its canary was tried on a second one.
func TestCrashingCanaryStopsAtTheBound(t *testing.T) {
	k, _ := alone(func(context.Context, outcome.LeafRequest) outcome.LeafResult { return crash })
	require.Equal(t, search.GuardQuarantined, k.Check(t.Context(), "fp", request, replicas).Verdict)
	require.Len(t, k.table.suspects["fp"].targets, MaxTargets)
}
