package gate

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
)

// Server implements the GateService RPCs that other VMs call.
type Server struct{ set *Set }

// NewServer returns a Server that hands over the gates of a Set.
func NewServer(set *Set) *Server { return &Server{set: set} }

// Handover stops granting slots of the named targets and returns the states of their gates.
func (s *Server) Handover(_ context.Context, req *connect.Request[peerv1.HandoverRequest]) (*connect.Response[peerv1.HandoverResponse], error) {
	ids := make([]ident.TargetID, len(req.Msg.GetTargetIds()))
	for i, id := range req.Msg.GetTargetIds() {
		ids[i] = ident.TargetID(id)
	}
	resp := &peerv1.HandoverResponse{}
	for _, st := range s.set.ReleaseTo(ident.VMID(req.Msg.GetFrom()), ids) {
		resp.Gates = append(resp.Gates, &peerv1.GateState{
			TargetId: string(st.Target), InFlight: uint32(st.InFlight), Limit: uint32(st.Limit), Cold: st.Cold,
			TargetIncarnation: st.Incarnation, Released: st.Released,
		})
	}
	return connect.NewResponse(resp), nil
}

// Client calls the GateService of previous owners. It implements HandoverClient.
type Client struct {
	http    *http.Client
	clients sync.Map // address -> peerv1connect.GateServiceClient
}

// NewClient returns a Client that uses the HTTP client for calls between VMs.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// Handover implements HandoverClient.
func (c *Client) Handover(ctx context.Context, address string, from ident.VMID, targets []ident.TargetID) ([]HandoverState, error) {
	ids := make([]string, len(targets))
	for i, id := range targets {
		ids[i] = string(id)
	}
	resp, err := c.serviceClient(address).Handover(ctx, connect.NewRequest(&peerv1.HandoverRequest{From: string(from), TargetIds: ids}))
	if err != nil {
		return nil, fmt.Errorf("request handover from %s: %w", address, err)
	}
	states := make([]HandoverState, 0, len(resp.Msg.GetGates()))
	for _, s := range resp.Msg.GetGates() {
		states = append(states, HandoverState{Target: ident.TargetID(s.GetTargetId()), InFlight: int(s.GetInFlight()),
			Limit: int(s.GetLimit()), Cold: s.GetCold(), Incarnation: s.GetTargetIncarnation(), Released: s.GetReleased()})
	}
	return states, nil
}

// serviceClient returns the cached RPC client for the VM at address, and creates it at the first call.
func (c *Client) serviceClient(address string) peerv1connect.GateServiceClient {
	if g, ok := c.clients.Load(address); ok {
		return g.(peerv1connect.GateServiceClient)
	}
	g, _ := c.clients.LoadOrStore(address, peerv1connect.NewGateServiceClient(c.http, "http://"+address))
	return g.(peerv1connect.GateServiceClient)
}
