package relay

import (
	"net"
	"net/http"
	"sync"
	"time"

	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
)

// Limits of connections between VMs.
const (
	peerDialTimeout = 500 * time.Millisecond
	peerPingAfter   = 2 * time.Second
	peerPingTimeout = 1 * time.Second
)

// NewPeerHTTPClient returns the HTTP client for the protocol between VMs: HTTP/2 without TLS, one connection a peer.
// A connection that goes silent is found by HTTP/2 pings, because a black hole ends no request by itself.
func NewPeerHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: peerPingAfter, PingTimeout: peerPingTimeout},
	}}
}

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
