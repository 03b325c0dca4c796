package wire_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
)

func serve(t *testing.T, id ident.VMID) *membership.Node {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	self := membership.Member{ID: id, Zone: "a", Address: server.Listener.Addr().String(), State: membership.Alive,
		Incarnation: ident.NewIncarnation(time.Unix(1_700_000_000, 5))}
	node := membership.NewNode(membership.Options{Self: self, Clock: clockwork.NewFakeClock(),
		Rand: rand.New(rand.NewPCG(1, 1)), Transport: wire.NewTransport(wire.NewHTTPClient())})
	mux.Handle(wire.NewHandler(node, new(wire.Traffic)))
	server.Start()
	t.Cleanup(server.Close)
	return node
}

// Guards against data that the handlers or the messages lose: identity, incarnation, state and updates in probes, the
// result of an indirect probe, and the announcement of a leave.
func TestProbeIndirectProbeAndLeaveOverSockets(t *testing.T) {
	a, b, c := serve(t, "vm-a"), serve(t, "vm-b"), serve(t, "vm-c")
	self := func(n *membership.Node) membership.Member { return n.View().Self }
	transport := wire.NewTransport(wire.NewHTTPClient())

	replies := make(chan membership.ProbeReply, 1)
	transport.Probe(self(b), membership.ProbeRequest{From: self(a), Updates: []membership.Member{self(c)}}, time.Minute,
		func(r membership.ProbeReply, err error) {
			require.NoError(t, err)
			replies <- r
		})
	reply := <-replies
	require.Equal(t, self(b).Incarnation.Token, reply.Self.Incarnation.Token)
	require.True(t, self(b).Incarnation.Started.Equal(reply.Self.Incarnation.Started))
	require.Len(t, reply.Updates, 2, "the reply to a probe without an expected incarnation must hold all members")

	reached := make(chan membership.IndirectReply, 1)
	transport.IndirectProbe(self(b), self(a), self(c), time.Minute, func(r membership.IndirectReply, err error) {
		require.NoError(t, err)
		reached <- r
	})
	require.True(t, (<-reached).Reachable)

	a.HandleProbe(membership.ProbeRequest{From: self(b)})
	left := make(chan struct{})
	a.Leave(func(int) { close(left) })
	<-left
	m, ok := b.View().Lookup("vm-a")
	require.True(t, ok)
	require.Equal(t, membership.Leaving, m.State)
}
