package opsapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/decisionlog"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
)

type fixture struct {
	inForce *config.InForce
	view    *membership.View
	plan    *placement.Plan
}

func (f *fixture) Current() *config.InForce { return f.inForce }
func (f *fixture) View() *membership.View   { return f.view }
func (f *fixture) Plan() *placement.Plan    { return f.plan }

func newFixture() *fixture {
	self := membership.Member{ID: "vm-1", Zone: "lupeni", State: membership.Alive}
	peer := membership.Member{ID: "vm-2", Zone: "petrosani", Address: "10.0.0.2:1", State: membership.Alive, Sequence: 3,
		Incarnation: ident.Incarnation{Token: "abc", Started: time.Unix(5, 0).UTC()}, Since: time.Unix(9, 0).UTC(), Indirect: true}
	b := &bundle.Bundle{Version: 8,
		Zones: []bundle.Zone{{ID: "petrosani", State: bundle.ZoneIn}, {ID: "lupeni", State: bundle.ZoneOut}},
		Services: []bundle.Service{{ID: "dispecerat", Slots: 6, Targets: []bundle.Target{
			{ID: "t1", Zone: "petrosani", State: bundle.TargetServing},
			{ID: "t2", Zone: "lupeni", State: bundle.TargetLeaving}},
			Snapshots: []bundle.Snapshot{{ID: "s", Shards: []bundle.Shard{{ID: "a", Replicas: []ident.TargetID{"t1"}}}}}}}}
	f := &fixture{inForce: &config.InForce{Verified: &bundle.Verified{Bundle: b}}}
	f.view = membership.NewView(self, []membership.Member{peer}, 4, time.Unix(9, 0))
	f.plan = placement.NewPlan(f.view, b)
	return f
}

func (f *fixture) get(t *testing.T, path string, into any) int {
	t.Helper()
	api := newAPI(f, config.NewStore(clockwork.NewFakeClock(), bundle.Keyring{}), f, f, lifecycle.New(),
		prometheus.NewRegistry(), decisionlog.New(nil, 1))
	w := httptest.NewRecorder()
	api.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), into), w.Body.String())
	return w.Code
}

func reasons(e Explanation) []outcome.Reason {
	var list []outcome.Reason
	for _, c := range e.Causes {
		list = append(list, c.Reason)
	}
	return list
}

// Guards against an explanation that omits a cause in the bundle, the plan or the view, or reports one that does not
// exist.
func TestExplainNamesEveryCause(t *testing.T) {
	f := newFixture()
	var e Explanation
	require.Equal(t, http.StatusOK, f.get(t, "/v1/explain?target=t1", &e))
	require.True(t, e.GetsWork, e.Causes)
	require.Equal(t, []string{"vm-2"}, e.Owners)

	e = Explanation{}
	f.get(t, "/v1/explain?target=t2", &e)
	require.False(t, e.GetsWork)
	require.Equal(t, []outcome.Reason{outcome.ReasonTargetLeaving, outcome.ReasonZoneOut, outcome.ReasonNoReplica}, reasons(e))

	e = Explanation{}
	f.get(t, "/v1/explain?zone=lupeni", &e)
	require.Equal(t, []outcome.Reason{outcome.ReasonZoneOut, outcome.ReasonNoReplica}, reasons(e))
	require.Equal(t, http.StatusNotFound, f.get(t, "/v1/explain?zone=x", &e))
	require.Equal(t, http.StatusBadRequest, f.get(t, "/v1/explain", &e))

	dead, _ := f.view.Lookup("vm-2")
	dead.State = membership.Dead
	f.view = membership.NewView(f.view.Self, []membership.Member{dead}, 5, time.Unix(10, 0))
	f.view.Stale = true
	e = Explanation{}
	f.get(t, "/v1/explain?target=t1", &e)
	require.Equal(t, []outcome.Reason{outcome.ReasonStaleView, outcome.ReasonPeerUnreachable}, reasons(e))

	f.inForce = nil
	e = Explanation{}
	f.get(t, "/v1/explain?target=t1", &e)
	require.Equal(t, []outcome.Reason{outcome.ReasonStaleView, outcome.ReasonNoBundle}, reasons(e))
}

// Guards against a status without the incarnations that distinguish two processes of one VM.
func TestStatusNamesPeersWithIncarnation(t *testing.T) {
	f := newFixture()
	var s Status
	require.Equal(t, http.StatusOK, f.get(t, "/v1/status", &s))
	require.Len(t, s.Peers, 2)
	require.Equal(t, PeerStatus{VM: "vm-2", Zone: "petrosani", Address: "10.0.0.2:1", State: "alive", Incarnation: "abc",
		Started: time.Unix(5, 0).UTC(), Sequence: 3, Since: time.Unix(9, 0).UTC(), Indirect: true, Usable: true}, s.Peers[1])
	require.Len(t, s.Targets, 2)
}
