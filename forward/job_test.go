package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/routing"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
)

// Guards against hedging shards whose replies have arrived but were not read yet, which would waste the budget of extra
// sends: a VM gets no CPU time while the replies of 35 of 36 shards arrive and all hedges fall due. Only the shard
// without a reply is hedged.
func TestReplayRepliesWaitWhileHedgesFallDue(t *testing.T) {
	const shards = 36
	s := New(Options{Extra: site.ExtraBudget{Ratio: 1, Slack: 100, Window: 10 * time.Second}})
	j := &job{s: s, set: &endpointSet{snapshot: &topology.Snapshot{}}, route: &routing.Route{Idempotent: true, MaxTargets: 2}, units: make([]unit, shards),
		results: make(chan unitResult, shards)}
	now := time.Now()
	for i := range j.units {
		j.units[i].hedgeAt = now.Add(-time.Millisecond)
		if i > 0 {
			reply := &leafconn.Reply{Status: 200, Signature: "s", Disposition: leafconn.Ran}
			j.results <- unitResult{unit: i, attempt: &attempt{}, result: leafconn.Result{Reply: reply}}
		}
	}
	j.onTimer(now)
	require.Equal(t, shards-1, j.covered)
	for i := range j.units {
		require.Equal(t, i > 0, !j.units[i].hedgeAt.IsZero(), "shard %d: only the shard without a reply must be considered for a hedge", i)
	}
	require.Equal(t, dispatch.Progress{Shards: shards, MinCovered: 1, Covered: shards - 1}, j.progress())
}
