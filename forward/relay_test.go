package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/platform"
	"teaselbank.example/teaselbank/platform/platformtest"
	"teaselbank.example/teaselbank/routing"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
)

// secondVM returns the Service of a further VM in a zone, with the same targets and configuration as w.
func (w *world) secondVM(zone string) *forward.Service {
	s := forward.New(forward.Options{VMID: ident.VMID("vm-" + zone), Zone: ident.Zone(zone), Protocol: platform.Wire{}, Dialer: &net.Dialer{},
		Extra: testExtra, Cold: site.ColdBound{Factor: 1.5, Slack: 1}})
	s.Update(w.snapshot, w.fleet)
	w.t.Cleanup(func() { s.Update(&topology.Snapshot{}, w.fleet) })
	return s
}

// relays relays the requests to one zone through the Service of a VM there, unless fail replaces that.
type relays struct {
	zone  ident.Zone
	to    *forward.Service
	calls atomic.Int64
	fail  func(r *forward.Relay) error
	// script, if set, delivers the results instead.
	script func(r *forward.Relay, deliver func(*forward.RelayBatch))
}

func (r *relays) Available(zone ident.Zone) bool { return zone == r.zone }

func (r *relays) SendAll(ctx context.Context, _ ident.Zone, relay *forward.Relay, deliver func(*forward.RelayBatch)) error {
	r.calls.Add(1)
	if r.fail != nil {
		return r.fail(relay)
	}
	if r.script != nil {
		r.script(relay, deliver)
		return nil
	}
	return r.to.SendAll(ctx, relay, func(b *forward.RelayBatch) error {
		deliver(b)
		return nil
	})
}

// signaturesOf returns the signatures in a response.
func signaturesOf(resp *http.Response) []string {
	return strings.Split(resp.Header.Get(platformtest.HeaderShardSignatures), ", ")
}

// Guards against lost, doubled or misordered records when the replies of several shards return merged, and against a
// relayed shard that gets the request more than once.
func TestRelayedSearchIsComplete(t *testing.T) {
	w := newWorld(t, testExtra)
	local, _ := shards(w, 2, "a")
	var names []string
	names = append(names, local...)
	var remote []*platformtest.Target
	for i := range 5 {
		name := fmt.Sprintf("r%d", i)
		names = append(names, name)
		remote = append(remote, w.leaf(name, "b", platformtest.Records(uint64(200+i), 7, 7)))
	}
	r := scatter(1, names...)
	r.TopRecords = 30
	w.routes(r)
	link := &relays{zone: "b", to: w.secondVM("b")}
	w.service.Relays = link
	resp := w.get("/q/x", "r1", 5*time.Second)
	require.Equal(t, platformtest.Records(204, 203, 202, 201, 200, 101, 100, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 7, 1, 0), body(t, resp))
	require.Equal(t, "0", resp.Header.Get(platformtest.HeaderMissingShards))
	require.Len(t, signaturesOf(resp), len(names))
	require.EqualValues(t, 1, link.calls.Load())
	for _, l := range remote {
		require.Len(t, l.Arrivals(), 1)
	}
}

// Guards against records that count twice or are lost: the hedge of a relayed shard is answered, and then the relay returns
// the reply of the first target, merged with that of another shard.
func TestHedgedAndRelayedShardCountsOnce(t *testing.T) {
	w := newWorld(t, testExtra)
	var names []string
	for i := range 5 {
		name := fmt.Sprintf("r%d", i)
		names = append(names, name)
		w.leaf(name, "b", nil)
	}
	hedged := make(chan struct{})
	w.leaf("r0", "c", platformtest.Records(200)).SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		close(hedged)
		return platformtest.Behaviour{}
	})
	// The target in zone c is leaving, so that it gets the hedge and not the first send.
	w.snapshot.Targets["r0"][1].LeavingSince = time.Now()
	r := scatter(1, names...)
	r.TopRecords, r.Objective = 30, 2*time.Second
	w.routes(r)
	result := func(index int) forward.RelayResult {
		return forward.RelayResult{Index: index, Status: forward.RelayRan, HTTPStatus: http.StatusOK, Signature: fmt.Sprint("s", index)}
	}
	w.service.Relays = &relays{zone: "b", script: func(relay *forward.Relay, deliver func(*forward.RelayBatch)) {
		indexes := map[ident.ServiceID]int{}
		for i, s := range relay.Sends {
			indexes[s.Service] = i
		}
		deliver(&forward.RelayBatch{Results: []forward.RelayResult{result(indexes["r2"]), result(indexes["r3"]), result(indexes["r4"])},
			Records: platformtest.Records(204, 203, 202)})
		<-hedged
		// Usually long enough that the hedge's reply is handled first; the response must be the same if it is not.
		time.Sleep(50 * time.Millisecond)
		deliver(&forward.RelayBatch{Results: []forward.RelayResult{result(indexes["r0"]), result(indexes["r1"])},
			Records: platformtest.Records(201, 200)})
	}}
	resp := w.get("/q/x", "r1", 5*time.Second)
	require.Equal(t, platformtest.Records(204, 203, 202, 201, 200), body(t, resp))
	require.Len(t, signaturesOf(resp), 5)
}

// Guards against a search that fails because a relay can't be reached, and against sends through the relay and directly
// to more targets than the route allows.
func TestFailedRelay(t *testing.T) {
	for _, c := range []struct {
		name string
		// fail ends the call to the relay; the relay sent the request before if sent is set.
		fail error
		sent bool
	}{
		{"not reached", fmt.Errorf("%w: connection refused", leafconn.ErrNotSent), false},
		{"lost after it sent", errors.New("stream reset"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, testExtra)
			names, leafs := shards(w, 5, "b", "c")
			w.routes(scatter(1, names...))
			other := w.secondVM("b")
			w.service.Relays = &relays{zone: "b", to: other, fail: func(r *forward.Relay) error {
				if c.sent {
					_ = other.SendAll(context.Background(), r, func(*forward.RelayBatch) error { return nil })
				}
				return c.fail
			}}
			resp := w.get("/q/x", "r1", 5*time.Second)
			require.Equal(t, platformtest.Records(104, 103, 102), body(t, resp))
			require.Equal(t, "0", resp.Header.Get(platformtest.HeaderMissingShards))
			for _, list := range leafs {
				sends := len(list[0].Arrivals()) + len(list[1].Arrivals())
				if c.sent {
					require.LessOrEqual(t, sends, 2)
				} else {
					require.Equal(t, 1, sends)
				}
			}
		})
	}
}

// Guards against a relay that goes on after the entry VM has given the request up, because its caller left.
func TestRelayStopsWhenTheCallerLeaves(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 5, "b")
	arrived := make(chan struct{}, len(names))
	for _, list := range leafs {
		list[0].SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
			arrived <- struct{}{}
			return platformtest.Behaviour{ServiceTime: time.Hour}
		})
	}
	w.routes(scatter(1, names...))
	w.service.Relays = &relays{zone: "b", to: w.secondVM("b")}
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /q/x HTTP/1.1\r\nHost: h.example\r\n"+platformtest.HeaderID+": r1\r\n\r\n")
	require.NoError(t, err)
	for range names {
		<-arrived
	}
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool {
		for _, list := range leafs {
			if _, open := list[0].Connections(); open > 0 {
				return false
			}
		}
		return true
	}, 10*time.Second, 5*time.Millisecond)
}

// Guards against a relay that sends new work to a target that is leaving, to one of a zone that is out of service, or to
// one that it does not know.
func TestRelayChecksTargets(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 2, "b")
	out := w.leaf("s2", "c", nil)
	w.routes(scatter(0.1, append(names, "s2")...))
	w.snapshot.ZonesOut["c"] = true
	w.snapshot.Targets["s1"][0].LeavingSince = time.Now()
	relay := &forward.Relay{Request: &leafconn.Request{ID: "r1", Method: http.MethodGet, RequestURI: "/q/x", Host: "h.example",
		Deadline: time.Now().Add(5 * time.Second)}, TopRecords: 3, FlushAfter: time.Second, Sends: []forward.RelaySend{
		{Service: "s0", Target: ident.TargetID(leafs["s0"][0].ID)}, {Service: "s1", Target: ident.TargetID(leafs["s1"][0].ID)},
		{Service: "s2", Target: ident.TargetID(out.ID)}, {Service: "s0", Target: "unknown"}}}
	statuses := map[int]forward.RelayStatus{}
	require.NoError(t, w.secondVM("b").SendAll(context.Background(), relay, func(b *forward.RelayBatch) error {
		for _, r := range b.Results {
			statuses[r.Index] = r.Status
		}
		return nil
	}))
	require.Equal(t, map[int]forward.RelayStatus{0: forward.RelayRan, 1: forward.RelayNotSent, 2: forward.RelayNotSent, 3: forward.RelayNotSent}, statuses)
	require.Empty(t, leafs["s1"][0].Arrivals())
	require.Empty(t, out.Arrivals())
}

// coordinators runs searches on the Service of another VM, unless fail is set.
type coordinators struct {
	to   *forward.Service
	fail error
	// onRun, if set, is called first.
	onRun func(s *forward.Search)
}

func (c *coordinators) Run(ctx context.Context, s *forward.Search) (*forward.SearchReply, error) {
	if c.onRun != nil {
		c.onRun(s)
	}
	if c.fail != nil {
		return nil, c.fail
	}
	reply, err := c.to.RunSearch(ctx, s)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", forward.ErrNotStarted, err)
	}
	return reply, nil
}

// Guards against a response that changes on its way from the coordinator, and against a search that both VMs run.
func TestCoordinatorRunsTheSearch(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 4, "a")
	w.routes(scatter(1, names...))
	other := w.secondVM("a")
	w.service.Coordinators = &coordinators{to: other}
	resp := w.get("/q/x", "r1", time.Second)
	require.Equal(t, platformtest.Records(103, 102, 101), body(t, resp))
	require.Len(t, signaturesOf(resp), 4)
	requests, _ := other.Counts()
	require.EqualValues(t, 1, requests)
	for _, list := range leafs {
		require.Len(t, list[0].Arrivals(), 1)
	}
	require.Eventually(t, func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(w.summaries) == 1 }, 10*time.Second, time.Millisecond)
	require.EqualValues(t, "vm-a", w.summaries[0].Coordinator)
}

// Guards against a search that fails although no VM has started it.
func TestSearchThatNoCoordinatorStartsRunsHere(t *testing.T) {
	w := newWorld(t, testExtra)
	names, _ := shards(w, 4, "a")
	w.routes(scatter(1, names...))
	w.service.Coordinators = &coordinators{fail: forward.ErrNotStarted}
	resp := w.get("/q/x", "r1", time.Second)
	require.Equal(t, platformtest.Records(103, 102, 101), body(t, resp))
}

// Guards against a second run on more targets than the route allows after a coordinator was lost, and against a "not run"
// that is not true.
func TestSearchOfALostCoordinatorIsNotRunAgain(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 4, "a")
	w.routes(scatter(1, names...))
	w.service.Coordinators = &coordinators{fail: errors.New("connection reset")}
	resp := w.get("/q/x", "r1", time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	for _, list := range leafs {
		require.Empty(t, list[0].Arrivals())
	}
}

// Guards against a search that runs under another version of the configuration than that of the entry VM: its answer
// could show an older configuration than the entry VM has already shown.
func TestCoordinatorOfAnotherVersionStartsNothing(t *testing.T) {
	w := newWorld(t, testExtra)
	names, leafs := shards(w, 2, "a")
	w.routes(scatter(1, names...))
	_, err := w.secondVM("a").RunSearch(context.Background(), &forward.Search{Version: 2, Arrived: time.Now(), Request: &leafconn.Request{ID: "r1",
		Method: http.MethodGet, RequestURI: "/q/x", Host: "h.example", Deadline: time.Now().Add(time.Second)}})
	require.Error(t, err)
	for _, list := range leafs {
		require.Empty(t, list[0].Arrivals())
	}
}

// Guards against a search that a small VM runs itself because the coordinators have applied a newer configuration some
// milliseconds earlier.
func TestSearchWaitsForTheVersionOfTheCoordinators(t *testing.T) {
	w := newWorld(t, testExtra)
	names, _ := shards(w, 4, "a")
	w.routes(scatter(1, names...))
	newer := &topology.Snapshot{Targets: w.snapshot.Targets, ZonesOut: w.snapshot.ZonesOut, Table: routing.NewTable(2, []*routing.Route{scatter(1, names...)},
		w.snapshot.Table.Services, routing.Limits{})}
	other := w.secondVM("a")
	other.Update(newer, w.fleet)
	link := &coordinators{to: other, fail: &forward.NewerVersionError{Version: 2}}
	w.service.Coordinators = link
	link.onRun = func(s *forward.Search) {
		if s.Version == 1 {
			w.service.Update(newer, w.fleet)
			return
		}
		link.fail = nil
	}
	resp := w.get("/q/x", "r1", time.Second)
	require.Equal(t, platformtest.Records(103, 102, 101), body(t, resp))
	requests, _ := other.Counts()
	require.EqualValues(t, 1, requests, "the coordinator must run the search")

	link.fail, link.onRun = &forward.NewerVersionError{Version: 3}, nil
	resp = w.get("/q/x", "r2", time.Second)
	require.Equal(t, platformtest.Records(103, 102, 101), body(t, resp), "a version that does not arrive must not fail the search")
}
