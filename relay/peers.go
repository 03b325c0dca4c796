package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/outcome"
)

// Limits of connections between VMs.
const (
	peerDialTimeout = 500 * time.Millisecond
	peerPingAfter   = 2 * time.Second
	peerPingTimeout = 1 * time.Second
)

// maxRelayTime bounds a relayed request whose context has no deadline; it is the longest deadline a bundle may allow.
const maxRelayTime = time.Minute

// NewPeerHTTPClient returns the HTTP client for the protocol between VMs: HTTP/2 without TLS, one connection a peer.
// A connection that goes silent is found by HTTP/2 pings, because a black hole ends no request by itself. The client
// sends no request twice.
func NewPeerHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: sendOnce{&http.Transport{
		DialContext: (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: peerPingAfter, PingTimeout: peerPingTimeout},
	}}}
}

// sendOnce keeps the transport from sending a request again after a refused stream or GOAWAY: it can do so only if it
// can rewind the body, and connect-go offers that.
type sendOnce struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (s sendOnce) RoundTrip(r *http.Request) (*http.Response, error) {
	once := *r
	once.GetBody = nil
	if r.Body != nil && r.Body != http.NoBody {
		once.Body = onceBody{r.Body}
	}
	return s.next.RoundTrip(&once)
}

// onceBody hides the type of the body, so that nothing derives a way to rewind it.
type onceBody struct{ io.ReadCloser }

// Peers holds one relay client for each peer address.
type Peers struct {
	http    *http.Client
	clients sync.Map // address -> peerv1connect.RelayServiceClient
}

// NewPeers returns an empty set of clients over one HTTP client.
func NewPeers(client *http.Client) *Peers { return &Peers{http: client} }

// Relay returns the relay client of a peer.
func (p *Peers) Relay(address string) peerv1connect.RelayServiceClient {
	if c, ok := p.clients.Load(address); ok {
		return c.(peerv1connect.RelayServiceClient)
	}
	c, _ := p.clients.LoadOrStore(address, peerv1connect.NewRelayServiceClient(p.http, "http://"+address))
	return c.(peerv1connect.RelayServiceClient)
}

// SendLeaf has a peer run a leaf request. It takes no longer than the context allows.
func (p *Peers) SendLeaf(ctx context.Context, address string, req outcome.LeafRequest) outcome.LeafResult {
	ctx, cancel := context.WithTimeout(ctx, maxRelayTime)
	defer cancel()
	// left is set as soon as a connection is handed to the request: from then on bytes may have left.
	var left atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { left.Store(true) },
		WroteHeaders: func() { left.Store(true) },
	})
	resp, err := p.Relay(address).SendLeaf(ctx, connect.NewRequest(ToMessage(ctx, req)))
	if err != nil {
		return failure(err, left.Load())
	}
	res := ResultFromMessage(resp.Msg)
	if res.Status == outcome.LeafOK && res.ID != req.ID {
		return outcome.LeafLost(outcome.ReasonForeign, "the owner answered another request")
	}
	return res
}

// Failure says what a failed call to a peer means: only a dial that failed proves that nothing was sent.
func Failure(err error) outcome.LeafResult {
	var op *net.OpError
	return failure(err, !errors.As(err, &op) || op.Op != "dial")
}

// failure says what a failed call means; left says whether any of it may have left this VM.
func failure(err error, left bool) outcome.LeafResult {
	reason := outcome.ReasonPeerUnreachable
	switch connect.CodeOf(err) {
	case connect.CodeDeadlineExceeded:
		reason = outcome.ReasonDeadline
	case connect.CodeCanceled:
		reason = outcome.ReasonCancelled
	}
	if left {
		return outcome.LeafLost(reason, err.Error())
	}
	return outcome.LeafRefused(reason, err.Error())
}
