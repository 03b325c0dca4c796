package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
)

// Guards against a gate that lets a successor start while a third VM may hold the share. Also guards against a released
// share that this VM never takes back, or takes back as warm, although its own plan has not moved the share to the
// successor.
func TestHandoverReleasesOnlyAsSoleHolder(t *testing.T) {
	newBench := func() *testBench { return newTestBench(t, Limits{Slots: 2, ColdSlots: 1, Queue: 4}) }
	b := newBench()
	require.False(t, b.releaseTo("vm-x", false).Released, "the share must not be released while the plan names a third VM")
	require.Equal(t, granted, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)), "the gate must still grant slots after a handover that it did not grant")
	require.Equal(t, HandoverState{Target: "t1", InFlight: 1, Limit: 1, Cold: true, Released: true}, b.releaseTo("vm-x", true))
	require.True(t, b.releaseTo("vm-x", true).Released)
	successor, _ := b.successor()
	require.Equal(t, ident.VMID("vm-x"), successor)
	b.warm(time.Millisecond)
	require.False(t, b.releaseTo("vm-y", true).Released, "the share must not be released to a second VM, because vm-x may hold it")
	require.Equal(t, outcome.ReasonNotOwner, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
	b.clock.Advance(TakeoverDelay)
	b.endDelay()
	b.reply(ok("i1"), time.Millisecond)
	require.Equal(t, granted, b.decision(b.submitLeaf(outcome.SendFirst, time.Second)))
	require.True(t, b.cold.cold)

	b = newBench()
	b.release()
	b.takeOver(b.limits, nil)
	require.False(t, b.releaseTo("vm-x", true).Released, "the share must not be released while an unknown previous owner may still send")
	b.release()
	b.takeOver(b.limits, []ident.VMID{"vm-p"})
	require.False(t, b.releaseTo("vm-x", true).Released, "the share must not be released while its previous owner vm-p may still send")
	b.release()
	require.False(t, b.releaseTo("vm-x", true).Released, "the share must not be released if the takeover from vm-p never ended")
}

// Guards against a handover that loses a field in transit, or that reports success when the peer is unreachable.
func TestHandoverOverTheWire(t *testing.T) {
	sim := newSimulation(t.Context(), 1, 6, 2, 25)
	sim.applyView(0, 1, membership.Dead)
	gate := (*sim.sets[0].gates.Load())["t1"]
	gate.endDelay()
	gate.owner.stage, gate.running, gate.cold.incarnation = owned, 3, "i7"
	path, h := peerv1connect.NewGateServiceHandler(NewServer(sim.sets[0]))
	mux := http.NewServeMux()
	mux.Handle(path, h)
	server := httptest.NewServer(mux)
	client := NewClient(server.Client())
	address := server.Listener.Addr().String()
	states, err := client.Handover(t.Context(), address, "vm-x", []ident.TargetID{"t1", "t2"})
	require.NoError(t, err)
	require.Equal(t, []HandoverState{{Target: "t1", InFlight: 3, Limit: 2, Cold: true, Incarnation: "i7", Released: true}}, states)
	require.Equal(t, Totals{Owned: 1, Cold: 1, TakingOver: 1, Running: 3}, sim.sets[0].Totals())
	server.Close()
	_, err = client.Handover(context.Background(), address, "vm-x", []ident.TargetID{"t1"})
	require.Error(t, err)
}

type fixedView struct{ view *membership.View }

func (f fixedView) View() *membership.View { return f.view }

// Guards against work being sent to a zone that is out, to an unknown zone, to a leaving target or under a stale view,
// and against a later bundle that resets the ramp-up of a zone's return.
func TestPolicy(t *testing.T) {
	now := time.Unix(1000, 0)
	view := &membership.View{}
	p := NewPolicy(fixedView{view})
	b := &bundle.Bundle{
		Zones: []bundle.Zone{{ID: "z", State: bundle.ZoneOut, ReturnSeconds: 100}},
		Services: []bundle.Service{{Targets: []bundle.Target{{ID: "in-z", Zone: "z", State: bundle.TargetServing},
			{ID: "leaving", Zone: "z", State: bundle.TargetLeaving}, {ID: "nowhere", Zone: "y", State: bundle.TargetServing}}}},
	}
	check := func(target ident.TargetID, share float64, reason outcome.Reason) {
		t.Helper()
		s, r := p.Permit(target, now)
		require.Equal(t, reason, r)
		require.InDelta(t, share, s, 1e-9)
	}
	check("in-z", 0, outcome.ReasonTargetUnknown)
	p.Update(b, now)
	check("in-z", 0, outcome.ReasonZoneOut)
	check("nowhere", 0, outcome.ReasonZoneOut)
	b.Zones[0].State = bundle.ZoneIn
	p.Update(b, now)
	check("leaving", 0, outcome.ReasonTargetLeaving)
	check("in-z", 0, outcome.ReasonNone)
	now = now.Add(50 * time.Second)
	p.Update(b, now)
	check("in-z", 0.5, outcome.ReasonNone)
	now = now.Add(50 * time.Second)
	check("in-z", 1, outcome.ReasonNone)
	view.Stale = true
	check("in-z", 0, outcome.ReasonStaleView)
}
