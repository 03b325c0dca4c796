package relay

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
)

type localFunc func(outcome.LeafRequest) outcome.LeafResult

// Successor reports that the VM handed every target over to vm-b.
func (f localFunc) Successor(ident.TargetID) (ident.VMID, bool) { return "vm-b", true }

func (f localFunc) DoLeaf(_ context.Context, r outcome.LeafRequest) outcome.LeafResult { return f(r) }

// startPeer starts a server for the relay calls to a VM and returns its address.
func startPeer(t *testing.T, local LocalRunner) string {
	path, h := peerv1connect.NewRelayServiceHandler(NewServer(local))
	mux := http.NewServeMux()
	mux.Handle(path, h)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// fleet is a router on vm-a, with a plan and a membership view that tests replace.
type fleet struct {
	*Router
	plan   *placement.Plan
	view   *membership.View
	reader *sdkmetric.ManualReader
	// afterCall runs at each leaf request that reaches a VM.
	afterCall func()
	// calls counts the leaf requests by the VM that they reached.
	calls map[ident.VMID]int
}

func (f *fleet) Plan() *placement.Plan  { return f.plan }
func (f *fleet) View() *membership.View { return f.view }

// newFleet starts vm-a, vm-b and vm-c; each returns its entry in results for every leaf request.
func newFleet(t *testing.T, results map[ident.VMID]outcome.LeafResult) *fleet {
	f := &fleet{reader: sdkmetric.NewManualReader(), calls: map[ident.VMID]int{}, view: &membership.View{}, afterCall: func() {}}
	localFor := func(vm ident.VMID) LocalRunner {
		return localFunc(func(r outcome.LeafRequest) outcome.LeafResult {
			f.calls[vm]++
			f.afterCall()
			res := results[vm]
			res.ID = r.ID
			return res
		})
	}
	for _, vm := range []ident.VMID{"vm-a", "vm-b", "vm-c"} {
		f.view.Members = append(f.view.Members, membership.Member{ID: vm, Zone: "z", State: membership.Dead, Address: startPeer(t, localFor(vm))})
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(f.reader)).Meter("test")
	router, err := NewRouter(Options{Self: "vm-a", Planner: f, Viewer: f, Local: localFor("vm-a"), Peers: NewPeers(NewPeerHTTPClient()), Meter: meter})
	require.NoError(t, err)
	f.Router = router
	return f
}

// setOwner makes a VM the only owner of the target.
func (f *fleet) setOwner(vm ident.VMID) {
	view := &membership.View{Members: []membership.Member{{ID: vm, Zone: "z", State: membership.Alive}}}
	f.plan = placement.NewPlan(view, &bundle.Bundle{Services: []bundle.Service{{Slots: 2, ColdSlots: 1, Connections: 25,
		Targets: []bundle.Target{{ID: "t1", Zone: "z"}}}}})
}

func (f *fleet) count(t *testing.T, name string) (sum int64) {
	var data metricdata.ResourceMetrics
	require.NoError(t, f.reader.Collect(t.Context(), &data))
	for _, scope := range data.ScopeMetrics {
		for _, m := range scope.Metrics {
			if m.Name == name {
				for _, p := range m.Data.(metricdata.Sum[int64]).DataPoints {
					sum += p.Value
				}
			}
		}
	}
	return sum
}

var (
	leafReq        = outcome.LeafRequest{ID: "r1", Target: "t1", Kind: outcome.SendFirst}
	okResult       = outcome.LeafResult{Status: outcome.LeafOK}
	notOwnerResult = outcome.NotRunResult(outcome.ReasonNotOwner, "")
)

// The router must send only through the owner of the target, and must refuse to send without a plan or while its view is
// stale after a pause.
func TestRouterSendsThroughTheOwner(t *testing.T) {
	f := newFleet(t, map[ident.VMID]outcome.LeafResult{"vm-a": okResult, "vm-b": okResult})
	require.Equal(t, outcome.ReasonNoBundle, f.Send(t.Context(), leafReq).Reason)
	f.setOwner("vm-a")
	require.Equal(t, outcome.LeafOK, f.Send(t.Context(), leafReq).Status)
	f.setOwner("vm-b")
	require.Equal(t, outcome.LeafOK, f.Send(t.Context(), leafReq).Status)
	require.Equal(t, map[ident.VMID]int{"vm-a": 1, "vm-b": 1}, f.calls)
	f.view.Stale = true
	res := f.Send(t.Context(), leafReq)
	require.Equal(t, outcome.LeafNotRun, res.Status)
	require.Equal(t, outcome.ReasonStaleView, res.Reason)
	require.EqualValues(t, 2, f.count(t, "relay_leaf_sends"))
	require.EqualValues(t, 2, f.count(t, "relay_leaf_failures"))
}

// When a VM replies that it is not the owner, the router must recompute the owner and send to a new one, but only once,
// and not at all for a request that is not idempotent.
func TestRouterRecomputesTheOwnerOnce(t *testing.T) {
	f := newFleet(t, map[ident.VMID]outcome.LeafResult{"vm-a": okResult, "vm-b": notOwnerResult, "vm-c": notOwnerResult})
	f.setOwner("vm-b")
	require.Equal(t, outcome.ReasonNotOwner, f.Send(t.Context(), leafReq).Reason)
	require.Equal(t, 1, f.calls["vm-b"], "the request must be sent only once if the plan names no other owner")
	f.afterCall = func() { f.setOwner("vm-a") }
	require.Equal(t, outcome.LeafOK, f.Send(t.Context(), leafReq).Status)
	f.setOwner("vm-b")
	nonIdempotent := leafReq
	nonIdempotent.NonIdempotent = true
	require.Equal(t, outcome.ReasonNotOwner, f.Send(t.Context(), nonIdempotent).Reason)
	next := map[ident.VMID]ident.VMID{"vm-b": "vm-c", "vm-c": "vm-b"}
	at := ident.VMID("vm-b")
	f.setOwner(at)
	f.afterCall = func() { at = next[at]; f.setOwner(at) }
	clear(f.calls)
	res := f.Send(t.Context(), leafReq)
	require.Equal(t, outcome.ReasonNotOwner, res.Reason)
	require.Equal(t, outcome.LeafNotRun, res.Status)
	require.Equal(t, map[ident.VMID]int{"vm-b": 1, "vm-c": 1}, f.calls)
	require.EqualValues(t, 2, f.count(t, "relay_owner_recomputes"))
}

// A previous owner that has handed a target over must send to the new owner even before its own plan names it.
func TestRouterFollowsAHandover(t *testing.T) {
	f := newFleet(t, map[ident.VMID]outcome.LeafResult{"vm-a": notOwnerResult, "vm-b": okResult})
	f.setOwner("vm-a")
	require.Equal(t, outcome.LeafOK, f.Send(t.Context(), leafReq).Status)
	require.Equal(t, map[ident.VMID]int{"vm-a": 1, "vm-b": 1}, f.calls)
}

type reported []ident.VMID

func (r *reported) ReportFailure(id ident.VMID) { *r = append(*r, id) }

// An unreachable owner must be reported to membership, so that it does not stay in the view until the next probe.
func TestUnreachableOwnerIsReported(t *testing.T) {
	f := newFleet(t, map[ident.VMID]outcome.LeafResult{"vm-b": notOwnerResult})
	var failures reported
	f.Failures = &failures
	f.setOwner("vm-b")
	require.Equal(t, outcome.ReasonNotOwner, f.Send(t.Context(), leafReq).Reason)
	require.Empty(t, failures, "an owner that replies must not be reported")
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	f.view.Members[1].Address = gone.Addr().String()
	require.Equal(t, outcome.ReasonPeerUnreachable, f.Send(t.Context(), leafReq).Reason)
	require.Equal(t, reported{"vm-b"}, failures)
}
