package membersbench

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
)

// loopbackProbes is the number of probes sent over loopback.
const loopbackProbes = 3000

// packetHeaderBytes is the calculated size of the TCP and IP headers of a call over a new connection: 3 packets to open
// it, 8 with data or acknowledgements and 4 to close it, with 52 to 60 bytes of headers each. The bytes of these
// headers cannot be counted at the socket.
const packetHeaderBytes = 800

// callCost is the cost of one call over a new connection at both ends, without the bytes of the encoded messages.
type callCost struct {
	framing float64 // bytes, both directions
	cpu     float64 // ms, client and server
}

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes on all connections it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

// measureCalls sends probes over loopback with the daemon's own client and handler, and returns the mean cost of a
// probe.
func measureCalls() (callCost, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return callCost{}, fmt.Errorf("listen on loopback: %w", err)
	}
	var bytes atomic.Int64
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	server := &http.Server{Handler: mux, Protocols: protocols}
	client := wire.NewHTTPClient()
	transport := wire.NewTransport(client)
	self := membership.Member{ID: "vm-peer", Zone: "zone-1", Address: inner.Addr().String(), State: membership.Alive,
		Incarnation: ident.NewIncarnation(time.Now())}
	node := membership.NewNode(membership.Options{Self: self, Clock: clockwork.NewRealClock(),
		Rand: rand.New(rand.NewPCG(1, 1)), Transport: transport})
	mux.Handle(wire.NewHandler(node, new(wire.Traffic)))
	go func() { _ = server.Serve(countingListener{inner, &bytes}) }()
	defer func() { _ = server.Close() }()

	from := self
	from.ID, from.Incarnation = "vm-from", ident.NewIncarnation(time.Now())
	req := membership.ProbeRequest{From: from, ExpectedIncarnation: self.Incarnation.Token}
	payload, err := probeOnce(transport, self, req)
	if err != nil {
		return callCost{}, err
	}
	firstBytes, firstCPU := bytes.Load(), cpuTime()
	for range loopbackProbes {
		// In a fleet each probe goes to a random peer, to which a connection is seldom open.
		client.CloseIdleConnections()
		if _, err := probeOnce(transport, self, req); err != nil {
			return callCost{}, err
		}
	}
	return callCost{framing: float64(bytes.Load()-firstBytes)/loopbackProbes - float64(payload) + packetHeaderBytes,
		cpu: float64((cpuTime() - firstCPU).Microseconds()) / 1000 / loopbackProbes}, nil
}

// probeOnce sends a probe and returns the encoded size of the request and the reply in bytes.
func probeOnce(t *wire.Transport, to membership.Member, req membership.ProbeRequest) (int, error) {
	type probeResult struct {
		reply membership.ProbeReply
		err   error
	}
	done := make(chan probeResult, 1)
	t.Probe(to, req, 10*time.Second, func(r membership.ProbeReply, err error) { done <- probeResult{r, err} })
	r := <-done
	if r.err != nil {
		return 0, fmt.Errorf("probe over loopback: %w", r.err)
	}
	return proto.Size(wire.ProbeRequest(req)) + proto.Size(wire.ProbeReply(r.reply)), nil
}
