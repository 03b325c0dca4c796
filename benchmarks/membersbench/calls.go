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

// measuredCalls is how many probes are sent over loopback.
const measuredCalls = 3000

// packetHeaders is the calculated size of the TCP and IP headers of a call over a new connection: 3 packets to open
// it, 8 with data or acknowledgements and 4 to close it, of 52 to 60 bytes. Sockets do not show them.
const packetHeaders = 800

// callCost is what one call over a new connection costs both ends beyond the encoded messages.
type callCost struct {
	framing float64 // bytes, both directions
	cpu     float64 // ms, both ends
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what is received.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what is sent.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept wraps each connection.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.bytes}, nil
}

// measureCalls sends probes over loopback with the daemon's own client and handler.
func measureCalls() (callCost, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return callCost{}, fmt.Errorf("listen: %w", err)
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
	for range measuredCalls {
		// A probe goes to a random peer, so it seldom finds a connection.
		client.CloseIdleConnections()
		if _, err := probeOnce(transport, self, req); err != nil {
			return callCost{}, err
		}
	}
	return callCost{framing: float64(bytes.Load()-firstBytes)/measuredCalls - float64(payload) + packetHeaders,
		cpu: float64((cpuTime() - firstCPU).Microseconds()) / 1000 / measuredCalls}, nil
}

// probeOnce returns the encoded bytes of a probe and its answer.
func probeOnce(t *wire.Transport, to membership.Member, req membership.ProbeRequest) (int, error) {
	type result struct {
		reply membership.ProbeReply
		err   error
	}
	done := make(chan result, 1)
	t.Probe(to, req, 10*time.Second, func(r membership.ProbeReply, err error) { done <- result{r, err} })
	r := <-done
	if r.err != nil {
		return 0, fmt.Errorf("probe over loopback: %w", r.err)
	}
	return proto.Size(wire.ProbeRequest(req)) + proto.Size(wire.ProbeReply(r.reply)), nil
}
