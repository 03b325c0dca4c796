// Package peerhttp makes the HTTP clients for calls between VMs: HTTP/2 without TLS, one connection per peer.
package peerhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Options configures a client. A zero time stands for no limit, or for no pings.
type Options struct {
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// IdleTimeout is how long a connection without calls stays open.
	IdleTimeout time.Duration
	// PingAfter is how long nothing is received on a connection before a ping is sent, and PingTimeout how long its reply
	// may take. Pings detect a connection whose packets are silently dropped.
	PingAfter, PingTimeout time.Duration
	// SendOnce keeps the client from sending a request again after a refused stream or GOAWAY.
	SendOnce bool
}

// maxHeaderBytes bounds the header of a peer's response.
const maxHeaderBytes = 64 << 10

// NewClient returns a client with connections of its own.
func NewClient(o Options) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{DialContext: o.Dial, Protocols: protocols, IdleConnTimeout: o.IdleTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{SendPingTimeout: o.PingAfter, PingTimeout: o.PingTimeout}}
	if o.SendOnce {
		return &http.Client{Transport: sendOnce{transport}}
	}
	return &http.Client{Transport: transport}
}

// sendOnce keeps the transport from resending a request after a refused stream or GOAWAY. The transport resends only if
// it can rewind the body, which the GetBody function that connect-go sets would allow.
type sendOnce struct{ next *http.Transport }

// RoundTrip implements http.RoundTripper.
func (s sendOnce) RoundTrip(r *http.Request) (*http.Response, error) {
	once := *r
	once.GetBody = nil
	if r.Body != nil && r.Body != http.NoBody {
		once.Body = onceBody{r.Body}
	}
	return s.next.RoundTrip(&once)
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (s sendOnce) CloseIdleConnections() { s.next.CloseIdleConnections() }

// onceBody hides the concrete type of a request body, so that net/http cannot derive a way to rewind it.
type onceBody struct{ io.ReadCloser }
