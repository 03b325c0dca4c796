package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/outcome"
)

// Server answers peers' relay calls.
type Server struct {
	peerv1connect.UnimplementedRelayServiceHandler
	local Local
	// Tickets runs forwarded tickets; it is set before the server serves.
	Tickets TicketRunner
	// Canaries answers for fingerprints whose home is this VM; it is set before the server serves.
	Canaries CanaryRunner
}

// NewServer returns a server that runs leaf requests on this VM's gates.
func NewServer(local Local) *Server { return &Server{local: local} }

// SendLeaf runs a leaf request of a target that this VM owns.
func (s *Server) SendLeaf(ctx context.Context, req *connect.Request[peerv1.SendLeafRequest]) (*connect.Response[peerv1.SendLeafResponse], error) {
	if req.Msg.GetRemainingUs() <= 0 {
		refused := outcome.LeafRefused(outcome.ReasonDeadline, "the deadline passed on the way")
		return connect.NewResponse(ResultToMessage(refused)), nil
	}
	// The sender's remaining time is restated as a local deadline, so clocks of two VMs are never compared.
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.Msg.GetRemainingUs())*time.Microsecond)
	defer cancel()
	res := s.local.DoLeaf(ctx, FromMessage(req.Msg))
	return connect.NewResponse(ResultToMessage(res)), nil
}
