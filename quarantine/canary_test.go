package quarantine

import (
	"context"
	"testing"
	"time"

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

// Hedged canaries must not add load when every target is slow, nor widen the reach of a crashing query.
func TestHedgedCanariesStayWithinTheirBounds(t *testing.T) {
	const queries = 100
	sends := make(chan struct{}, 2*queries)
	k, f := alone(func(ctx context.Context, _ outcome.LeafRequest) outcome.LeafResult {
		sends <- struct{}{}
		<-ctx.Done()
		return outcome.LeafLost(outcome.ReasonDeadline, "")
	})
	for i := range queries {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.Check(ctx, string(rune('a'+i)), request, replicas)
		}()
		<-sends
		require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
		f.clock.Advance(hedgeDelay + time.Millisecond)
		cancel()
		<-done
	}
	require.LessOrEqual(t, k.hedges.Load(), int64(queries/canariesPerHedge+1))

	crashing, _ := alone(func(context.Context, outcome.LeafRequest) outcome.LeafResult { return crash })
	require.Equal(t, search.GuardQuarantined, crashing.Check(t.Context(), "fp", request, replicas).Verdict)
	require.Len(t, crashing.table.suspects["fp"].targets, MaxTargets)
}
