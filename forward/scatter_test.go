package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/platform/platformtest"
	"teaselbank.example/teaselbank/routing"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
)

// shards starts one target for each of n shards in each zone. The targets of a shard hold the same records.
func shards(w *world, n int, zones ...string) (names []string, leafs map[string][]*platformtest.Target) {
	leafs = map[string][]*platformtest.Target{}
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		names = append(names, name)
		for _, zone := range zones {
			leafs[name] = append(leafs[name], w.leaf(name, zone, platformtest.Records(uint64(i), uint64(100+i), 7)))
		}
	}
	return names, leafs
}

// Guards against wrong records, wrong order, lost duplicates and wrong signatures in a complete response.
func TestScatterComplete(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 4, "a")
	r := scatter(1, names...)
	r.TopRecords = 6
	w.routes(r)
	resp := w.get("/q/x", "r1", time.Second)
	require.Equal(t, platformtest.Records(103, 102, 101, 100, 7, 7), body(t, resp))
	require.Equal(t, "0", resp.Header.Get(platformtest.HeaderMissingShards))
	got := strings.Split(resp.Header.Get(platformtest.HeaderShardSignatures), ", ")
	var want []string
	for _, name := range names {
		want = append(want, platformtest.Signature(leafs[name][0].ID, "r1"))
	}
	require.ElementsMatch(t, want, got)
}

// Guards against a response that waits beyond the objective for a shard that the minimum coverage does not need,
// against a response that does not report that shard as missing, and against a response that is sent before the
// objective although the shard may still reply.
func TestScatterPartialAtObjective(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 4, "a")
	leafs["s2"][0].SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		return platformtest.Behaviour{ServiceTime: time.Hour}
	})
	w.routes(scatter(0.75, names...))
	began := time.Now()
	resp := w.get("/q/x", "r1", 20*time.Second)
	require.Equal(t, platformtest.Records(103, 101, 100), body(t, resp))
	require.Equal(t, "1", resp.Header.Get(platformtest.HeaderMissingShards))
	require.GreaterOrEqual(t, time.Since(began), 200*time.Millisecond)
}

// Guards against counting a shard as covered when its target failed, and against success below the minimum coverage.
func TestScatterFailedShardIsNotCovered(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 4, "a")
	for _, name := range []string{"s0", "s1"} {
		leafs[name][0].SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour { return platformtest.Behaviour{Status: 500} })
	}
	w.routes(scatter(0.75, names...))
	resp := w.get("/q/x", "r1", 5*time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Empty(t, resp.Header.Get(platformtest.HeaderShardSignatures))
}

// Guards against a request delayed by a paused target while another target of the shard is free, and against more sends
// for one shard than the route allows.
func TestScatterHedges(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 3, "a", "b", "c")
	leafs["s1"][0].SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		return platformtest.Behaviour{ServiceTime: time.Hour}
	})
	r := scatter(1, names...)
	r.Objective = 10 * time.Second
	w.routes(r)
	resp := w.get("/q/x", "r1", 20*time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "0", resp.Header.Get(platformtest.HeaderMissingShards))
	sent := 0
	for _, l := range leafs["s1"] {
		sent += len(l.Arrivals())
	}
	require.Equal(t, 2, sent)
}

// Guards against more hedges and retries than the budget of extra sends allows.
func TestScatterKeepsBudget(t *testing.T) {
	w := newWorld(t, site.ExtraBudget{Ratio: 0, Window: time.Minute, Slack: 4})
	names, leafs := shards(w, 1, "a", "b", "c")
	for _, l := range leafs["s0"] {
		l.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour { return platformtest.Behaviour{Status: 500} })
	}
	w.routes(scatter(1, names...))
	const requests = 20
	for i := range requests {
		_ = body(t, w.get("/q/x", fmt.Sprint(i), time.Second))
	}
	sent := 0
	for _, l := range leafs["s0"] {
		sent += len(l.Arrivals())
	}
	require.LessOrEqual(t, sent, requests+4)
	require.Greater(t, sent, 0)
}

// Guards against mixing two configurations in one response: a request keeps the shards of the configuration it began
// with, even if a newer one with other shards is applied meanwhile.
func TestScatterKeepsItsConfiguration(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 3, "a")
	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	leafs["s2"][0].SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		arrived <- struct{}{}
		<-release
		return platformtest.Behaviour{}
	})
	r := scatter(1, names...)
	r.Objective = 10 * time.Second
	w.routes(r)
	done := make(chan *http.Response, 1)
	go func() { done <- w.get("/q/x", "r1", 20*time.Second) }()
	<-arrived
	next := scatter(1, "s0", "s1")
	w.snapshot = &topology.Snapshot{Targets: w.snapshot.Targets, ZonesOut: w.snapshot.ZonesOut,
		Table: routing.NewTable(2, []*routing.Route{next}, w.snapshot.Table.Services, routing.Limits{})}
	w.publish()
	close(release)
	resp := <-done
	_ = body(t, resp)
	require.Len(t, strings.Split(resp.Header.Get(platformtest.HeaderShardSignatures), ", "), 3)
	resp = w.get("/q/x", "r2", time.Second)
	_ = body(t, resp)
	require.Len(t, strings.Split(resp.Header.Get(platformtest.HeaderShardSignatures), ", "), 2)
}

// Guards against sending a request although too few shards have a target, and against a refusal without Retry-After.
func TestUnservableScatterIsRefused(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 2, "a")
	w.routes(scatter(1, append(names, "nobody")...))
	resp := w.get("/q/x", "r1", 10*time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Empty(t, leafs["s0"][0].Arrivals(), "a request that cannot reach its minimum coverage must not be sent to any shard")
}

// Guards against failing a request whose targets lost their replies although a retry would get a reply, and against
// using more targets for one shard than the route allows.
func TestLossyTargetsAreRetried(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 1, "a", "b", "c")
	w.routes(scatter(1, names...))
	_ = body(t, w.get("/q/x", "r0", 5*time.Second))
	before := len(leafs["s0"][0].Arrivals())
	require.Equal(t, 1, before, "the target in the VM's own zone must serve the first request, so that a connection to it is open")
	var mu sync.Mutex
	lost := map[string]bool{}
	for _, l := range leafs["s0"] {
		l.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
			mu.Lock()
			defer mu.Unlock()
			if lost[l.ID] {
				return platformtest.Behaviour{}
			}
			lost[l.ID] = true
			return platformtest.Behaviour{Raw: func(net.Conn, platformtest.Arrival) {}}
		})
	}
	resp := w.get("/q/x", "r1", 5*time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	sent, targets := -before, 0
	for _, l := range leafs["s0"] {
		n := len(l.Arrivals())
		sent += n
		if n > 0 {
			targets++
		}
	}
	require.Equal(t, 3, sent)
	require.Equal(t, 2, targets, "the request must go to the two targets of the shard that the route allows")
}

// Guards against charging the budget for extra sends that are never made because no target is left.
func TestExtraSendWithoutTargetIsRefunded(t *testing.T) {
	w := newWorld(t, site.ExtraBudget{Ratio: 0, Window: time.Minute, Slack: 3})
	names, leafs := shards(w, 2, "a")
	for _, l := range leafs["s0"] {
		l.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
			return platformtest.Behaviour{ServiceTime: time.Hour}
		})
	}
	r := scatter(0.5, names...)
	r.Objective = 100 * time.Millisecond
	w.routes(r)
	for i := range 3 {
		_ = body(t, w.get("/q/x", fmt.Sprint(i), 5*time.Second))
	}
	for _, l := range leafs["s0"] {
		l.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour { return platformtest.Behaviour{Status: 500} })
	}
	_ = body(t, w.get("/q/x", "last", 5*time.Second))
	require.Len(t, leafs["s0"][0].Arrivals(), 3+3, "hedges without a target must not use up the budget for two extra sends")
}

// Guards against first searches over a new set of shards that wait for a new connection to each of them: the targets
// register before the configuration names their services.
func TestShardsAreConnectedBeforeTheyAreNamed(t *testing.T) {
	w := newWorld(t, testExtra)
	names, _ := shards(w, 2, "a")
	w.routes(scatter(1, names...))
	table := w.snapshot.Table
	next, leafs := []string{"n0", "n1"}, []*platformtest.Target{}
	for _, name := range next {
		leafs = append(leafs, w.leaf(name, "a", platformtest.Records(5)))
	}
	other := w.leaf("n0", "b", nil)
	w.snapshot.Table = table
	w.publish()
	require.Eventually(t, func() bool {
		w.service.Maintain(time.Now())
		_, first := leafs[0].Connections()
		_, second := leafs[1].Connections()
		return first == 1 && second == 1
	}, 10*time.Second, 5*time.Millisecond)
	w.routes(scatter(1, next...))
	resp := w.get("/q/x", "r1", 5*time.Second)
	require.Equal(t, platformtest.Records(5, 5), body(t, resp))
	for _, l := range leafs {
		require.Len(t, l.Arrivals(), 1)
	}
	accepted, _ := other.Connections()
	require.Zero(t, accepted, "only targets of the own zone are connected in advance")
	require.Equal(t, 404, w.get("/n0/x", "r2", time.Second).StatusCode)
}
