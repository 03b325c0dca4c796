package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/outcome"
)

// Server serves the relay calls of other VMs.
type Server struct {
	peerv1connect.UnimplementedRelayServiceHandler
	local LocalRunner
	// Tickets runs ticketed requests that other VMs forward. It must be set before the server serves; while it is nil,
	// RunTicket calls fail with CodeUnimplemented.
	Tickets TicketRunner
	// Canaries runs canaries and applies quarantines. It must be set before the server serves; while it is nil, Canary and
	// Quarantine calls fail with CodeUnimplemented.
	Canaries CanaryRunner
}

// NewServer returns a server that runs leaf requests on local.
func NewServer(local LocalRunner) *Server { return &Server{local: local} }

// SendLeaf runs a leaf request for a target that this VM owns.
func (s *Server) SendLeaf(ctx context.Context, req *connect.Request[peerv1.SendLeafRequest]) (*connect.Response[peerv1.SendLeafResponse], error) {
	if req.Msg.GetRemainingUs() <= 0 {
		refused := outcome.NotRunResult(outcome.ReasonDeadline, "the deadline passed before this VM received the request")
		return connect.NewResponse(ResultToMessage(refused)), nil
	}
	// The remaining time in the message becomes a local deadline, so that the clocks of two VMs are never compared.
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.Msg.GetRemainingUs())*time.Microsecond)
	defer cancel()
	res := s.local.DoLeaf(ctx, RequestFromMessage(req.Msg))
	return connect.NewResponse(ResultToMessage(res)), nil
}
