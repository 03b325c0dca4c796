package ticket

import (
	"context"

	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
)

// Peer forwards a ticketed request to the VM at an address.
type Peer interface {
	RunTicket(ctx context.Context, address, token string, body []byte) (Outcome, error)
}

// Router takes a ticketed request to the incarnation that issued its ticket.
type Router struct {
	Issuer *Issuer
	Viewer membership.Viewer
	Peer   Peer
}

// Run runs the request here if this incarnation issued the ticket, and otherwise at the issuer if that is a known
// member. A failed call is unknown even if nothing was sent: an earlier copy may have reached the issuer.
func (r *Router) Run(ctx context.Context, token string, body []byte) Outcome {
	c, err := Parse(token)
	if err != nil {
		return notRun(outcome.ReasonTicketInvalid)
	}
	if r.Issuer.Issued(c) {
		return r.Issuer.Run(ctx, token, body)
	}
	member, ok := r.Viewer.View().Lookup(c.VM)
	if !ok || member.State == membership.Dead || member.Incarnation.Token != c.Incarnation {
		return UnknownOutcome(outcome.ReasonIssuerGone)
	}
	o, err := r.Peer.RunTicket(ctx, member.Address, token, body)
	switch {
	case err == nil:
		return o
	case ctx.Err() != nil:
		return UnknownOutcome(outcome.ReasonDeadline)
	default:
		return UnknownOutcome(outcome.ReasonPeerUnreachable)
	}
}
