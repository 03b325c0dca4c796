package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/platform/platformtest"
)

// states returns a behaviour with a limit in requests a second.
func states(perSecond string) func(platformtest.Arrival) platformtest.Behaviour {
	return func(platformtest.Arrival) platformtest.Behaviour {
		return platformtest.Behaviour{Header: http.Header{platformtest.HeaderRateLimit: {perSecond}}}
	}
}

// requireStatus sends requests and requires the status of each response.
func (w *world) requireStatus(status, requests int, path string) {
	w.t.Helper()
	for i := range requests {
		resp := w.get(path, fmt.Sprintf("%s-%d", path, i), 2*time.Second)
		require.NoError(w.t, resp.Body.Close())
		require.Equal(w.t, status, resp.StatusCode, "request %d", i)
	}
}

// Guards against a target that gets more requests than the limit that it states, although another replica could serve them.
func TestRequestsBeyondALimitGoToAnotherTarget(t *testing.T) {
	w := newWorld(t, testExtra)
	limited, other := w.leaf("s", "a", []byte("x")), w.leaf("s", "b", []byte("x"))
	w.routes(single("s"))
	limited.SetBehaviour(states("0.01"))
	w.requireStatus(http.StatusOK, 20, "/s/1")
	require.LessOrEqual(t, len(limited.Arrivals()), 1)
	require.GreaterOrEqual(t, len(other.Arrivals()), 19)
}

// Guards against requests that wait until their deadline, or run, although no target takes one more: they are refused at
// once, and the refusal states when to come back.
func TestRequestBeyondTheLimitsOfAllTargetsIsRefused(t *testing.T) {
	w := newWorld(t, testExtra)
	leafs := []*platformtest.Target{w.leaf("s", "a", []byte("x")), w.leaf("s", "b", []byte("x"))}
	w.routes(single("s"))
	for _, l := range leafs {
		l.SetBehaviour(states("0.01"))
	}
	w.requireStatus(http.StatusOK, 2, "/s/1")
	began := time.Now()
	resp := w.get("/s/1", "refused", 30*time.Second)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Less(t, time.Since(began), 10*time.Second)
	require.Equal(t, 2, len(leafs[0].Arrivals())+len(leafs[1].Arrivals()))
}

// Guards against a search that sends to the other shards although too many shards are beyond their limits, and against one
// that fails although enough are not.
func TestSearchBeyondLimits(t *testing.T) {
	w := newWorld(t, testExtra)
	limited, other := w.leaf("p", "a", platformtest.Records(1)), w.leaf("q", "a", platformtest.Records(2))
	partial := scatter(0.5, "p", "q")
	partial.Prefix = "/partial/"
	w.routes(scatter(1, "p", "q"), partial)
	limited.SetBehaviour(states("0.01"))
	w.requireStatus(http.StatusOK, 1, "/q/1")
	w.requireStatus(http.StatusServiceUnavailable, 3, "/q/2")
	require.Len(t, other.Arrivals(), 1)
	w.requireStatus(http.StatusOK, 3, "/partial/1")
	require.Len(t, limited.Arrivals(), 1)
	require.Len(t, other.Arrivals(), 4)
}

// Guards against hedges to targets that take no more requests.
func TestNoHedgeBeyondALimit(t *testing.T) {
	w := newWorld(t, testExtra)
	slow, limited := w.leaf("p", "a", platformtest.Records(1)), w.leaf("p", "b", platformtest.Records(1))
	w.routes(scatter(1, "p"))
	limited.SetBehaviour(states("0.01"))
	slow.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		return platformtest.Behaviour{ServiceTime: 200 * time.Millisecond}
	})
	w.requireStatus(http.StatusOK, 4, "/q/1")
	require.LessOrEqual(t, len(limited.Arrivals()), 1)
}

// Guards against a limit that no longer holds because a reply of another kind lacks it, and against one that outlasts its
// statement.
func TestLimitEndsWithSuccessfulRepliesOnly(t *testing.T) {
	w := newWorld(t, testExtra)
	limited, other := w.leaf("s", "a", []byte("x")), w.leaf("s", "b", []byte("x"))
	w.routes(single("s"))
	limited.SetBehaviour(states("1000"))
	w.requireStatus(http.StatusOK, 1, "/s/1")
	limited.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		return platformtest.Behaviour{NotRun: true, Status: 503}
	})
	w.requireStatus(http.StatusOK, 4, "/s/2")
	require.InDelta(t, 1000, w.limits()[0], 0)
	require.Len(t, w.limits(), 1, "a refusal must not end the limit")
	limited.SetBehaviour(nil)
	other.Close()
	require.Eventually(t, func() bool {
		resp := w.get("/s/3", fmt.Sprint(time.Now().UnixNano()), 2*time.Second)
		require.NoError(t, resp.Body.Close())
		return len(w.limits()) == 2
	}, 20*time.Second, 10*time.Millisecond)
	require.Zero(t, w.limits()[1])
}

// Guards against a relay that sends more than its share of a limit for the VMs of other zones, and against one that does not
// tell them why.
func TestRelayKeepsWithinALimit(t *testing.T) {
	w := newWorld(t, testExtra)
	limited := w.leaf("p", "a", platformtest.Records(1))
	w.routes(scatter(1, "p"))
	limited.SetBehaviour(states("0.01"))
	var results []forward.RelayResult
	for i := range 3 {
		r := &forward.Relay{Request: &leafconn.Request{ID: fmt.Sprint(i), Method: http.MethodGet, RequestURI: "/q/1", Host: "h.example", Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second)},
			Sends: []forward.RelaySend{{Service: "p", Target: w.snapshot.Targets["p"][0].ID}}, TopRecords: 1, FlushAfter: time.Second}
		require.NoError(t, w.service.SendAll(context.Background(), r, func(b *forward.RelayBatch) error {
			results = append(results, b.Results...)
			return nil
		}))
	}
	require.Len(t, results, 3)
	require.Equal(t, forward.RelayRan, results[0].Status)
	for _, r := range results {
		require.InDelta(t, 0.01, r.RateLimit, 0)
	}
	require.Equal(t, forward.RelayNotSent, results[1].Status)
	require.Equal(t, forward.RelayNotSent, results[2].Status)
	require.Len(t, limited.Arrivals(), 1)
}

// Guards against a relayed send that waits for the hedge delay although its relay has no share of the target's limit left.
func TestRelayWithoutAShareSaysSoAtOnce(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 5, "b", "c")
	r := scatter(1, names...)
	r.Objective, r.Timeout = time.Minute, time.Minute
	w.routes(r)
	leafs[names[0]][0].SetBehaviour(states("0.01"))
	// Another target replies only after the shard beyond the limit was sent elsewhere.
	resent := make(chan struct{}, 3)
	leafs[names[0]][1].SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		resent <- struct{}{}
		return platformtest.Behaviour{}
	})
	leafs[names[1]][0].SetBehaviour(func(a platformtest.Arrival) platformtest.Behaviour {
		if a.ID != "0" {
			select {
			case <-resent:
			case <-t.Context().Done():
			}
		}
		return platformtest.Behaviour{}
	})
	// A leaving target gets sends only if the other one takes none.
	for _, name := range names {
		w.snapshot.Targets[ident.ServiceID(name)][1].LeavingSince = time.Now()
	}
	w.publish()
	relay := w.secondVM("b")
	w.service.Relays = &relays{zone: "b", to: relay}
	for i := range 3 {
		resp := w.get("/q/1", fmt.Sprint(i), 5*time.Second)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode, "search %d", i)
		require.Equal(t, "0", resp.Header.Get(platformtest.HeaderMissingShards))
	}
	require.Len(t, leafs[names[0]][0].Arrivals(), 1)
	require.Len(t, leafs[names[0]][1].Arrivals(), 2)
}
