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

// maxMessageBytes bounds a message: a whole bundle and 64 KiB for the other fields.
const maxMessageBytes = bundle.MaxBytes + 64<<10

// Server implements ConfigService over connect-go.
type Server struct{ d *Distributor }

// NewServer returns a server that passes calls to the distributor.
func NewServer(d *Distributor) *Server { return &Server{d} }

// Handler returns the URL path of the service and its HTTP handler. Messages are not compressed, because payloads are
// compressed already.
func (s *Server) Handler() (string, http.Handler) {
	return peerv1connect.NewConfigServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(math.MaxInt32))
}

// Fetch returns the bundle in force, without its data if the caller has it or a newer one.
func (s *Server) Fetch(_ context.Context, req *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	resp, err := s.d.HandleFetch(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(resp), nil
}

// Push offers a peer's bundle to the store and returns the outcome.
func (s *Server) Push(_ context.Context, req *connect.Request[peerv1.PushRequest]) (*connect.Response[peerv1.PushResponse], error) {
	return connect.NewResponse(s.d.HandlePush(req.Msg)), nil
}

// Client implements Transport over connect-go.
type Client struct{ http *http.Client }

// NewClient returns a client that sends calls with the given HTTP client.
func NewClient(client *http.Client) *Client { return &Client{client} }

func (c *Client) service(to membership.Member) peerv1connect.ConfigServiceClient {
	return peerv1connect.NewConfigServiceClient(c.http, "http://"+to.Address, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithAcceptCompression("gzip", nil, nil))
}

// Fetch requests the bundle in force on a peer.
func (c *Client) Fetch(ctx context.Context, to membership.Member, req *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	resp, err := c.service(to).Fetch(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// Push sends a bundle to a peer.
func (c *Client) Push(ctx context.Context, to membership.Member, req *peerv1.PushRequest) (*peerv1.PushResponse, error) {
	resp, err := c.service(to).Push(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
