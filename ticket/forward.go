package ticket

import (
	"context"

	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
)

// Peer forwards a ticketed request to the VM at an address, a host and port. An error means that no outcome was received;
// the request may still have run.
type Peer interface {
	RunTicket(ctx context.Context, address, token string, body []byte) (Outcome, error)
}

// Router runs a ticketed request on the incarnation that issued its ticket: locally, or forwarded to the issuing VM.
type Router struct {
	Issuer *Issuer
	Viewer membership.Viewer
	Peer   Peer
}

// Run runs the request locally if this incarnation issued the ticket. Otherwise it forwards the request to the issuer if
// the view lists that incarnation as not dead. A failed call has the outcome unknown even if nothing was sent, because an
// earlier copy of the request may have reached the issuer.
func (r *Router) Run(ctx context.Context, token string, body []byte) Outcome {
	c, err := ParseUnverified(token)
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
