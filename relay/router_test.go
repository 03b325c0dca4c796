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

// Successor says that the VM handed every target over to vm-b.
func (f localFunc) Successor(ident.TargetID) (ident.VMID, bool) { return "vm-b", true }

func (f localFunc) DoLeaf(_ context.Context, r outcome.LeafRequest) outcome.LeafResult { return f(r) }

// startPeer serves a VM's relay calls and returns its address.
func startPeer(t *testing.T, local Local) string {
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

// fleet is a router on vm-a whose plan and view tests replace.
type fleet struct {
	*Router
	plan   *placement.Plan
	view   *membership.View
	reader *sdkmetric.ManualReader
	// afterCall runs after each leaf request that an owner handled.
	afterCall func()
	calls     map[ident.VMID]int
}

func (f *fleet) Plan() *placement.Plan  { return f.plan }
func (f *fleet) View() *membership.View { return f.view }

// newFleet starts the VMs; each answers with its result.
func newFleet(t *testing.T, answers map[ident.VMID]outcome.LeafResult) *fleet {
	f := &fleet{reader: sdkmetric.NewManualReader(), calls: map[ident.VMID]int{}, view: &membership.View{}, afterCall: func() {}}
	answer := func(vm ident.VMID) Local {
		return localFunc(func(r outcome.LeafRequest) outcome.LeafResult {
			f.calls[vm]++
			f.afterCall()
			res := answers[vm]
			res.ID = r.ID
			return res
		})
	}
	for _, vm := range []ident.VMID{"vm-a", "vm-b", "vm-c"} {
		f.view.Members = append(f.view.Members, membership.Member{ID: vm, Zone: "z", State: membership.Dead, Address: startPeer(t, answer(vm))})
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(f.reader)).Meter("test")
	router, err := NewRouter(Options{Self: "vm-a", Planner: f, Viewer: f, Local: answer("vm-a"), Peers: NewPeers(NewPeerHTTPClient()), Meter: meter})
	require.NoError(t, err)
	f.Router = router
	return f
}

// own makes a VM the only owner of the target.
func (f *fleet) own(vm ident.VMID) {
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
	leaf     = outcome.LeafRequest{ID: "r1", Target: "t1", Kind: outcome.SendFirst}
	answered = outcome.LeafResult{Status: outcome.LeafOK}
	denied   = outcome.LeafRefused(outcome.ReasonNotOwner, "")
)

// Guards against work sent past the owner, and against sends under a view that a pause made stale.
func TestRouterSendsThroughTheOwner(t *testing.T) {
	f := newFleet(t, map[ident.VMID]outcome.LeafResult{"vm-a": answered, "vm-b": answered})
	require.Equal(t, outcome.ReasonNoBundle, f.Send(t.Context(), leaf).Reason)
	f.own("vm-a")
	require.Equal(t, outcome.LeafOK, f.Send(t.Context(), leaf).Status)
	f.own("vm-b")
	require.Equal(t, outcome.LeafOK, f.Send(t.Context(), leaf).Status)
	require.Equal(t, map[ident.VMID]int{"vm-a": 1, "vm-b": 1}, f.calls)
	f.view.Stale = true
	res := f.Send(t.Context(), leaf)
	require.Equal(t, outcome.LeafNotRun, res.Status)
	require.Equal(t, outcome.ReasonStaleView, res.Reason)
	require.EqualValues(t, 2, f.count(t, "relay_leaf_sends"))
	require.EqualValues(t, 2, f.count(t, "relay_leaf_failures"))
}

// Guards against a refusal that ends a request although the plan names a new owner, against endless recomputes, and
// against a second send of a request that is not idempotent.
func TestRouterRecomputesTheOwnerOnce(t *testing.T) {
	f := newFleet(t, map[ident.VMID]outcome.LeafResult{"vm-a": answered, "vm-b": denied, "vm-c": denied})
	f.own("vm-b")
	require.Equal(t, outcome.ReasonNotOwner, f.Send(t.Context(), leaf).Reason)
	require.Equal(t, 1, f.calls["vm-b"], "an unchanged plan names no other owner")
	f.afterCall = func() { f.own("vm-a") }
	require.Equal(t, outcome.LeafOK, f.Send(t.Context(), leaf).Status)
	f.own("vm-b")
	once := leaf
	once.NonIdempotent = true
	require.Equal(t, outcome.ReasonNotOwner, f.Send(t.Context(), once).Reason)
	next := map[ident.VMID]ident.VMID{"vm-b": "vm-c", "vm-c": "vm-b"}
	at := ident.VMID("vm-b")
	f.own(at)
	f.afterCall = func() { at = next[at]; f.own(at) }
	clear(f.calls)
	res := f.Send(t.Context(), leaf)
	require.Equal(t, outcome.ReasonNotOwner, res.Reason)
	require.Equal(t, outcome.LeafNotRun, res.Status)
	require.Equal(t, map[ident.VMID]int{"vm-b": 1, "vm-c": 1}, f.calls)
	require.EqualValues(t, 2, f.count(t, "relay_owner_recomputes"))
}

// Guards against refusals at a previous owner that has handed over before its own view follows.
func TestRouterFollowsAHandover(t *testing.T) {
	f := newFleet(t, map[ident.VMID]outcome.LeafResult{"vm-a": denied, "vm-b": answered})
	f.own("vm-a")
	require.Equal(t, outcome.LeafOK, f.Send(t.Context(), leaf).Status)
	require.Equal(t, map[ident.VMID]int{"vm-a": 1, "vm-b": 1}, f.calls)
}

type reported []ident.VMID

func (r *reported) ReportFailure(id ident.VMID) { *r = append(*r, id) }

// Guards against a lost owner that stays in the view until a probe happens to meet it.
func TestUnreachableOwnerIsReported(t *testing.T) {
	f := newFleet(t, map[ident.VMID]outcome.LeafResult{"vm-b": denied})
	var failures reported
	f.Failures = &failures
	f.own("vm-b")
	require.Equal(t, outcome.ReasonNotOwner, f.Send(t.Context(), leaf).Reason)
	require.Empty(t, failures, "an owner that answers is not lost")
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, gone.Close())
	f.view.Members[1].Address = gone.Addr().String()
	require.Equal(t, outcome.ReasonPeerUnreachable, f.Send(t.Context(), leaf).Reason)
	require.Equal(t, reported{"vm-b"}, failures)
}
