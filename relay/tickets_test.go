package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/search"
	"teaselbank.example/teaselbank/ticket"
)

// testPeer stands for a peer's ticket issuer and canary runner: it returns set results and records its arguments.
type testPeer struct {
	outcome     ticket.Outcome
	guard       search.GuardResult
	token       string
	leaf        outcome.LeafRequest
	replicas    []ident.TargetID
	quarantined map[string]time.Duration
}

func (p *testPeer) Run(_ context.Context, token string, _ []byte) ticket.Outcome {
	p.token = token
	return p.outcome
}

func (p *testPeer) RunCanary(_ context.Context, _ string, leaf outcome.LeafRequest, replicas []ident.TargetID) search.GuardResult {
	p.leaf, p.replicas = leaf, replicas
	return p.guard
}

func (p *testPeer) Quarantine(fingerprint string, remaining time.Duration) {
	p.quarantined[fingerprint] = remaining
}

func servePeer(t *testing.T, p *testPeer) (peers *Peers, address string) {
	server := NewServer(nil)
	if p != nil {
		server.Tickets, server.Canaries = p, p
	}
	_, handler := peerv1connect.NewRelayServiceHandler(server)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	s := httptest.NewUnstartedServer(handler)
	s.Config.Protocols = protocols
	s.Start()
	t.Cleanup(s.Close)
	return NewPeers(NewPeerHTTPClient()), strings.TrimPrefix(s.URL, "http://")
}

// Ticket outcomes must not change when they are sent between two VMs, and an unknown outcome of a newer peer must be
// decoded as Unknown.
func TestTicketOutcomesBetweenVMs(t *testing.T) {
	p := &testPeer{}
	peers, address := servePeer(t, p)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, o := range []ticket.Outcome{{Kind: outcome.Complete, Body: []byte("1"), Recorded: true},
		{Kind: outcome.NotRun, Reason: outcome.ReasonTicketExpired}, ticket.UnknownOutcome(outcome.ReasonTicketInProgress)} {
		p.outcome = o
		got, err := peers.RunTicket(ctx, address, "token", []byte("2"))
		require.NoError(t, err)
		assert.Equal(t, o, got)
		assert.Equal(t, "token", p.token)
	}
	p.outcome = ticket.Outcome{Kind: "finished", Body: []byte("1")}
	got, err := peers.RunTicket(ctx, address, "token", nil)
	require.NoError(t, err)
	assert.Equal(t, outcome.Unknown, got.Kind)
}

// Verdicts, canary results and quarantines must not change when they are sent between two VMs, and an unknown verdict
// must be decoded as GuardFailed.
func TestCanariesBetweenVMs(t *testing.T) {
	leaf := outcome.LeafResult{Status: outcome.LeafOK, ID: "r1", Shard: "s1", Snapshot: "v1", Body: []byte("{}"), Held: []ident.SnapshotID{"v1"}}
	p := &testPeer{quarantined: map[string]time.Duration{}, guard: search.GuardResult{Verdict: search.GuardSafe, Leaf: &leaf, Target: "t2"}}
	peers, address := servePeer(t, p)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	canary := outcome.LeafRequest{ID: "r1", Service: "dispecerat", Shard: "s1", Snapshot: "v1", Query: []byte("{}"), Kind: outcome.SendCanary}
	got, err := peers.Canary(ctx, address, "fp", canary, []ident.TargetID{"t1", "t2"})
	require.NoError(t, err)
	assert.Equal(t, p.guard, got)
	assert.Equal(t, canary, p.leaf)
	assert.Equal(t, []ident.TargetID{"t1", "t2"}, p.replicas)
	p.guard = search.GuardResult{Verdict: "perhaps"}
	got, err = peers.Canary(ctx, address, "fp", canary, nil)
	require.NoError(t, err)
	assert.Equal(t, search.GuardFailed, got.Verdict)
	peers.Quarantine(ctx, address, "fp", time.Minute)
	assert.Equal(t, time.Minute, p.quarantined["fp"])
}

// A VM that is called before its plug-ins are set must refuse the call and not panic.
func TestCallsWithoutPluginsAreRefused(t *testing.T) {
	peers, address := servePeer(t, nil)
	_, err := peers.RunTicket(t.Context(), address, "token", nil)
	require.Error(t, err)
	_, err = peers.Canary(t.Context(), address, "fp", outcome.LeafRequest{}, nil)
	require.Error(t, err)
}
