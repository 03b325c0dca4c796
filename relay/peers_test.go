package relay

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"

	"teaselbank.example/teaselbank/outcome"
)

// socketPeer is a peer that reads and writes raw HTTP/2 frames. It counts the requests on all its connections and replies
// with a function that the test gives.
type socketPeer struct {
	address  string
	requests atomic.Int32
	// arrived receives a value for each of the first two requests.
	arrived chan struct{}
}

func startSocketPeer(t *testing.T, reply func(*http2.Framer, uint32) error) *socketPeer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &socketPeer{address: l.Addr().String(), arrived: make(chan struct{}, 64)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, reply)
		}
	}()
	return p
}

func (p *socketPeer) serve(conn net.Conn, reply func(*http2.Framer, uint32) error) {
	defer func() { _ = conn.Close() }()
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	if framer.WriteSettings() != nil {
		return
	}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		if d, ok := frame.(*http2.DataFrame); ok && d.StreamEnded() {
			// The connection is closed from the third request on, so that the test ends even if a client keeps resending.
			resent := p.requests.Add(1) > 2
			if !resent {
				p.arrived <- struct{}{}
			}
			if resent || reply(framer, d.StreamID) != nil {
				return
			}
		}
	}
}

// The HTTP/2 transport must not resend a leaf request on its own, and a request that arrived must not be LeafNotRun.
func TestPeerClientSendsOnce(t *testing.T) {
	replies := map[string]func(*http2.Framer, uint32) error{
		"refused stream": func(f *http2.Framer, id uint32) error { return f.WriteRSTStream(id, http2.ErrCodeRefusedStream) },
		"goaway":         func(f *http2.Framer, _ uint32) error { return f.WriteGoAway(0, http2.ErrCodeNo, nil) },
		"lost":           func(*http2.Framer, uint32) error { return io.EOF },
	}
	for name, reply := range replies {
		t.Run(name, func(t *testing.T) {
			peer := startSocketPeer(t, reply)
			peers := NewPeers(NewPeerHTTPClient())
			for sent := range 2 {
				res := peers.SendLeaf(t.Context(), peer.address, outcome.LeafRequest{ID: "r1", Query: []byte("{}")})
				require.Equal(t, outcome.LeafUnknown, res.Status)
				require.EqualValues(t, sent+1, peer.requests.Load())
			}
		})
	}
}

// A relay call to a peer that never replies must end with its context.
func TestRelayCallEndsWithItsContext(t *testing.T) {
	peer := startSocketPeer(t, func(*http2.Framer, uint32) error { return nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan outcome.LeafResult)
	go func() {
		done <- NewPeers(NewPeerHTTPClient()).SendLeaf(ctx, peer.address, outcome.LeafRequest{ID: "r1"})
	}()
	<-peer.arrived
	cancel()
	res := <-done
	require.Equal(t, outcome.LeafUnknown, res.Status)
	require.Equal(t, outcome.ReasonCancelled, res.Reason)
}

// A request that was provably never sent must be LeafNotRun: after LeafUnknown the caller could not safely retry it.
func TestUnreachablePeerIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	res := NewPeers(NewPeerHTTPClient()).SendLeaf(t.Context(), l.Addr().String(), outcome.LeafRequest{ID: "r1"})
	require.Equal(t, outcome.LeafNotRun, res.Status)
	require.Equal(t, outcome.ReasonPeerUnreachable, res.Reason)
}
