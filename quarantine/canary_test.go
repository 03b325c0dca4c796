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

// newSingleVM returns the Guard of the only VM, which is the home of every fingerprint, and its fleet.
func newSingleVM(s senderFunc) (*Guard, *fleet) {
	f := newFleet(outcome.LeafResult{})
	f.members = f.members[:1]
	return New(f.clock, view{f, 0}, s, f), f
}

func completeReply(r outcome.LeafRequest) outcome.LeafResult {
	return outcome.LeafResult{Status: outcome.LeafOK, ID: r.ID, Shard: r.Shard}
}

var request = outcome.LeafRequest{ID: "searcher", Shard: "s1"}

// The canary's reply must have the request ID of the searcher's request. Otherwise the searcher classifies it as foreign
// and sends the shard again.
func TestCanaryReplyHasTheSearchersRequestID(t *testing.T) {
	var sent ident.RequestID
	g, _ := newSingleVM(func(_ context.Context, r outcome.LeafRequest) outcome.LeafResult {
		sent = r.ID
		return completeReply(r)
	})
	res := g.Check(t.Context(), "fp", request, replicas)
	require.Equal(t, search.GuardSafe, res.Verdict)
	require.Equal(t, request.ID, res.Leaf.ID)
	require.NotEqual(t, request.ID, sent)
}

// A straggler must not delay the fan-out that waits for the canary, and must be cancelled when its hedge replies.
func TestSlowCanaryIsHedged(t *testing.T) {
	cancelled := make(chan struct{})
	g, f := newSingleVM(func(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
		if r.Target != replicas[0] {
			return completeReply(r)
		}
		<-ctx.Done()
		close(cancelled)
		return outcome.UnknownResult(outcome.ReasonCancelled, "")
	})
	done := make(chan search.GuardResult)
	go func() { done <- g.Check(context.Background(), "fp", request, replicas) }()
	require.NoError(t, f.clock.BlockUntilContext(t.Context(), 1))
	f.clock.Advance(hedgeDelay)
	res := <-done
	require.Equal(t, search.GuardSafe, res.Verdict)
	require.Equal(t, replicas[1], res.Target)
	<-cancelled
}

// Hedged canaries must not exceed their budget when every target is slow. In each round the hedge timer and the late
// reply become ready at the same time, and either may be handled first. Without the budget about half of the rounds
// would therefore send twice, so one round would not be enough.
func TestSlowCanariesAreHedgedWithinTheirBudget(t *testing.T) {
	const queries, rounds = 100, 20
	g, f := newSingleVM(nil)
	for range queries {
		g.canaries.Add(1)
		if g.mayHedge() {
			g.hedges.Add(1)
		}
	}
	require.LessOrEqual(t, g.hedges.Load(), int64(queries/canariesPerHedge+1))

	sends := make(chan outcome.LeafRequest, 2*rounds)
	reply := make(chan struct{})
	g.sender = senderFunc(func(_ context.Context, r outcome.LeafRequest) outcome.LeafResult {
		sends <- r
		<-reply
		return outcome.UnknownResult(outcome.ReasonDeadline, "")
	})
	for round := range rounds {
		g.hedges.Store(queries)
		done := make(chan struct{})
		go func() {
			defer close(done)
			g.Check(context.Background(), string(rune('a'+round)), request, replicas)
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

// A canary that crashes its first target is tried on another one, but must not reach more than MaxTargets targets.
func TestCrashingCanaryStopsAtTheBound(t *testing.T) {
	g, _ := newSingleVM(func(context.Context, outcome.LeafRequest) outcome.LeafResult { return crashResult })
	require.Equal(t, search.GuardQuarantined, g.Check(t.Context(), "fp", request, replicas).Verdict)
	require.Len(t, g.table.suspects["fp"].targets, MaxTargets)
}
