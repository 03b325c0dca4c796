package distribution

import (
	"context"
	"math"
	"net/http"

	"connectrpc.com/connect"

	"teaselbank.example/teaselbank/bundle"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/membership"
)

// maxMessageBytes bounds a message: a bundle and the fields around it.
const maxMessageBytes = bundle.MaxBytes + 64<<10

// Server answers peers over connect-go.
type Server struct{ d *Distributor }

// NewServer returns the ConfigService of a distributor.
func NewServer(d *Distributor) *Server { return &Server{d} }

// Handler returns the path and the HTTP handler. Messages are not compressed again: payloads already are.
func (s *Server) Handler() (string, http.Handler) {
	return peerv1connect.NewConfigServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(math.MaxInt32))
}

// Fetch returns the bundle in force.
func (s *Server) Fetch(_ context.Context, req *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	resp, err := s.d.HandleFetch(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(resp), nil
}

// Push takes a bundle that a peer offers.
func (s *Server) Push(_ context.Context, req *connect.Request[peerv1.PushRequest]) (*connect.Response[peerv1.PushResponse], error) {
	return connect.NewResponse(s.d.HandlePush(req.Msg)), nil
}

// Client is the Transport over connect-go.
type Client struct{ http *http.Client }

// NewClient returns a transport over the HTTP client for peers.
func NewClient(client *http.Client) *Client { return &Client{client} }

func (c *Client) service(to membership.Member) peerv1connect.ConfigServiceClient {
	return peerv1connect.NewConfigServiceClient(c.http, "http://"+to.Address, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil))
}

// Fetch asks a peer for its bundle.
func (c *Client) Fetch(ctx context.Context, to membership.Member, req *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	resp, err := c.service(to).Fetch(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Push offers a bundle to a peer.
func (c *Client) Push(ctx context.Context, to membership.Member, req *peerv1.PushRequest) (*peerv1.PushResponse, error) {
	resp, err := c.service(to).Push(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
