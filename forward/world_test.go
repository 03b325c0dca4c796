package forward_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/platform"
	"teaselbank.example/teaselbank/platform/platformtest"
	"teaselbank.example/teaselbank/routing"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
)

// world is a Service on one VM in zone a, with stand-in targets that it reaches over real sockets.
type world struct {
	t        testing.TB
	service  *forward.Service
	front    *httptest.Server
	leafs    map[string]*platformtest.Target
	snapshot *topology.Snapshot
	fleet    forward.FleetView

	mu        sync.Mutex
	summaries []forward.Summary
	// limitChanges are the limits that Options.LimitChanged was called with.
	limitChanges []float64
}

func (w *world) limits() []float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.limitChanges)
}

// testExtra allows enough extra sends that the budget matters only in tests that set their own.
var testExtra = site.ExtraBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 1000}

func newWorld(t testing.TB, extra site.ExtraBudget) *world {
	w := &world{t: t, leafs: map[string]*platformtest.Target{}, fleet: forward.FleetView{All: 1, InZone: map[ident.Zone]int{"a": 1}, Peers: []ident.VMID{"vm-a"}, Members: []ident.VMID{"vm-a"}},
		snapshot: &topology.Snapshot{Targets: map[ident.ServiceID][]*topology.Target{}, ZonesOut: map[ident.Zone]bool{}}}
	w.service = forward.New(forward.Options{VMID: "vm-a", Zone: "a", Protocol: platform.Wire{}, Dialer: &net.Dialer{}, Extra: extra,
		Cold: site.ColdBound{Factor: 1.5, Slack: 1},
		LimitChanged: func(_ *topology.Target, perSecond float64) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.limitChanges = append(w.limitChanges, perSecond)
		},
		Report: func(s *forward.Summary) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.summaries = append(w.summaries, *s)
		}})
	w.front = httptest.NewServer(w.service)
	t.Cleanup(func() {
		w.front.Close()
		w.service.Update(&topology.Snapshot{}, w.fleet)
		for _, l := range w.leafs {
			l.Close()
		}
	})
	return w
}

// leaf starts a target of a service in a zone.
func (w *world) leaf(service, zone string, body []byte) *platformtest.Target {
	w.t.Helper()
	id := fmt.Sprintf("%s-%s-%d", service, zone, len(w.leafs))
	l, err := platformtest.NewTarget(id, body)
	require.NoError(w.t, err)
	w.leafs[id] = l
	s := ident.ServiceID(service)
	w.snapshot.Targets[s] = append(w.snapshot.Targets[s], &topology.Target{ID: ident.TargetID(id), Service: s, Address: l.Address,
		Zone: ident.Zone(zone), Slots: 8})
	return l
}

// routes publishes the routes with every service that has a target.
func (w *world) routes(routes ...*routing.Route) {
	services := map[ident.ServiceID]routing.Service{}
	for s := range w.snapshot.Targets {
		services[s] = routing.Service{ID: s, MaxConnections: 64}
	}
	w.snapshot.Table = routing.NewTable(1, routes, services, routing.Limits{MaxBodyBytes: 1 << 16})
	w.publish()
}

func (w *world) publish() { w.service.Update(w.snapshot, w.fleet) }

// get sends a request to the Service as a caller does.
func (w *world) get(path, id string, deadline time.Duration) *http.Response {
	w.t.Helper()
	req, err := http.NewRequest(http.MethodGet, w.front.URL+path, nil)
	require.NoError(w.t, err)
	req.Host = "h.example"
	req.Header.Set(platformtest.HeaderID, id)
	req.Header.Set(platformtest.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(w.t, err)
	return resp
}

// single returns a route to one service.
func single(service string) *routing.Route {
	return &routing.Route{Name: service, Host: "h.example", Prefix: "/" + service + "/", Idempotent: true, MaxTargets: 2,
		Split: []routing.WeightedService{{Service: ident.ServiceID(service), Weight: 1}}, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond}
}

// scatter returns a route over the given shards.
func scatter(minCoverage float64, shards ...string) *routing.Route {
	r := &routing.Route{Name: "scatter", Host: "h.example", Prefix: "/q/", Idempotent: true, MaxTargets: 2, TopRecords: 3,
		MinCoverage: minCoverage, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond}
	for _, s := range shards {
		r.Shards = append(r.Shards, ident.ServiceID(s))
	}
	return r
}
