package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/ticket"
)

// TicketRunner runs the requests of tickets that this incarnation issued, at most once each. A ticket names the one
// process incarnation that may run a non-idempotent request.
type TicketRunner interface {
	Run(ctx context.Context, token string, body []byte) ticket.Outcome
}

// RunTicket runs a ticketed request that another VM forwarded.
func (s *Server) RunTicket(ctx context.Context, req *connect.Request[peerv1.RunTicketRequest]) (*connect.Response[peerv1.RunTicketResponse], error) {
	if s.Tickets == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.Msg.GetRemainingUs())*time.Microsecond)
	defer cancel()
	o := s.Tickets.Run(ctx, string(req.Msg.GetTicket()), req.Msg.GetBody())
	return connect.NewResponse(&peerv1.RunTicketResponse{Outcome: string(o.Kind), Reason: string(o.Reason), Body: o.Body, Recorded: o.Recorded}), nil
}

// RunTicket forwards a ticketed request to the VM at the address, which issued the ticket. A request that the transport
// sends twice does no harm, because the issuer runs the request of a ticket at most once.
func (p *Peers) RunTicket(ctx context.Context, address, token string, body []byte) (ticket.Outcome, error) {
	m := &peerv1.RunTicketRequest{Ticket: []byte(token), Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		m.RemainingUs = time.Until(deadline).Microseconds()
	}
	resp, err := p.Client(address).RunTicket(ctx, connect.NewRequest(m))
	if err != nil {
		return ticket.Outcome{}, err
	}
	o := ticket.Outcome{Kind: outcome.Kind(resp.Msg.GetOutcome()), Reason: outcome.Reason(resp.Msg.GetReason()),
		Body: resp.Msg.GetBody(), Recorded: resp.Msg.GetRecorded()}
	if o.Kind != outcome.Complete && o.Kind != outcome.NotRun {
		// Any other value, as from a newer peer, becomes Unknown, which asserts nothing about whether the request ran.
		o.Kind, o.Body = outcome.Unknown, nil
	}
	return o, nil
}
