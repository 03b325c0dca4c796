package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/peerhttp"
)

// Timeouts of connections between VMs.
const (
	peerDialTimeout = 500 * time.Millisecond
	// peerPingAfter is how long nothing is received on a connection before a ping is sent.
	peerPingAfter   = 2 * time.Second
	peerPingTimeout = 1 * time.Second
)

// maxRelayTime bounds a relayed request whose context has no deadline. It equals the longest deadline that a bundle may
// allow.
const maxRelayTime = time.Minute

// NewPeerHTTPClient returns the HTTP client for calls between VMs: HTTP/2 without TLS, one connection per peer. HTTP/2
// pings detect a connection whose packets are silently dropped, on which a request would otherwise never fail. The client
// never sends a request twice.
func NewPeerHTTPClient() *http.Client {
	return peerhttp.NewClient(peerhttp.Options{Dial: (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		PingAfter: peerPingAfter, PingTimeout: peerPingTimeout, SendOnce: true})
}

// Peers holds one relay client for each peer address. It is safe for concurrent use.
type Peers struct {
	http    *http.Client
	clients sync.Map // address -> peerv1connect.RelayServiceClient
}

// NewPeers returns an empty set of relay clients that share an HTTP client.
func NewPeers(client *http.Client) *Peers { return &Peers{http: client} }

// Client returns the relay client of the peer at the address, a host and port.
func (p *Peers) Client(address string) peerv1connect.RelayServiceClient {
	if c, ok := p.clients.Load(address); ok {
		return c.(peerv1connect.RelayServiceClient)
	}
	c, _ := p.clients.LoadOrStore(address, peerv1connect.NewRelayServiceClient(p.http, "http://"+address))
	return c.(peerv1connect.RelayServiceClient)
}

// SendLeaf sends a leaf request to the peer that owns its target and returns the result. It returns once the context
// ends, and after maxRelayTime at the latest.
func (p *Peers) SendLeaf(ctx context.Context, address string, req outcome.LeafRequest) outcome.LeafResult {
	ctx, cancel := context.WithTimeout(ctx, maxRelayTime)
	defer cancel()
	// maybeSent is set as soon as the request gets a connection: from then on bytes may have been written to it.
	var maybeSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { maybeSent.Store(true) },
		WroteHeaders: func() { maybeSent.Store(true) },
	})
	resp, err := p.Client(address).SendLeaf(ctx, connect.NewRequest(RequestToMessage(ctx, req)))
	if err != nil {
		return failedCall(err, maybeSent.Load())
	}
	res := ResultFromMessage(resp.Msg)
	if res.Status == outcome.LeafOK && res.ID != req.ID {
		return outcome.UnknownResult(outcome.ReasonForeignReply, "the owner sent the reply to another request")
	}
	return res
}

// FailedCallResult returns the result of a call to a peer that failed with err. Only a failed dial proves that nothing
// was sent.
func FailedCallResult(err error) outcome.LeafResult {
	var op *net.OpError
	return failedCall(err, !errors.As(err, &op) || op.Op != "dial")
}

// failedCall returns the result of a call that failed with err. maybeSent reports whether any byte of the request may
// have been sent.
func failedCall(err error, maybeSent bool) outcome.LeafResult {
	reason := outcome.ReasonPeerUnreachable
	switch connect.CodeOf(err) {
	case connect.CodeDeadlineExceeded:
		reason = outcome.ReasonDeadline
	case connect.CodeCanceled:
		reason = outcome.ReasonCancelled
	}
	if maybeSent {
		return outcome.UnknownResult(reason, err.Error())
	}
	return outcome.NotRunResult(reason, err.Error())
}
