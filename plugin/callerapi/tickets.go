package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gin-gonic/gin"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/ticket"
)

// TicketIssuer issues tickets, with which callers submit non-idempotent requests that must run at most once. A refusal
// is a *ticket.RefusedError.
type TicketIssuer interface {
	Issue(service ident.ServiceID, shard ident.ShardID) (string, ticket.Claims, error)
}

// TicketRunner runs the request of a ticket, whichever VM issued the ticket.
type TicketRunner interface {
	Run(ctx context.Context, token string, body []byte) ticket.Outcome
}

// TicketRequest is the JSON body of POST /v1/tickets.
type TicketRequest struct {
	Service string `json:"service"`
	// Shard is the shard that runs the request. It may be omitted if the newest snapshot of the service has only one.
	Shard string `json:"shard"`
}

// TicketResponse is the JSON response to POST /v1/tickets.
type TicketResponse struct {
	Ticket string `json:"ticket"`
	Shard  string `json:"shard"`
	// ValidMillis is the lifetime of the ticket in milliseconds.
	ValidMillis int64 `json:"valid_millis"`
}

// RunRequest is the JSON body of POST /v1/requests.
type RunRequest struct {
	Ticket string `json:"ticket"`
	// Body is passed to the target unchanged. A resend of the ticket must repeat it byte for byte.
	Body           json.RawMessage `json:"body"`
	DeadlineMillis int             `json:"deadline_millis"`
}

// RunResponse is the JSON response to POST /v1/requests.
type RunResponse struct {
	Outcome outcome.Kind   `json:"outcome"`
	Reason  outcome.Reason `json:"reason,omitempty"`
	// Recorded reports that the outcome is that of an earlier submission of the ticket.
	Recorded bool            `json:"recorded"`
	Body     json.RawMessage `json:"body,omitempty"`
	Error    *FieldError     `json:"error,omitempty"`
}

func (a *API) issueTicket(c *gin.Context) {
	end, ok := a.state.Begin()
	if !ok {
		refuse(c, outcome.ReasonDraining)
		return
	}
	defer end()
	var req TicketRequest
	if err := decode(c.Request, &req); err != nil {
		badRequest(c, err)
		return
	}
	token, claims, err := a.issuer.Issue(ident.ServiceID(req.Service), ident.ShardID(req.Shard))
	var refused *ticket.RefusedError
	switch {
	case err == nil:
		c.JSON(http.StatusOK, TicketResponse{Ticket: token, Shard: string(claims.Shard), ValidMillis: ticket.Lifetime.Milliseconds()})
	case errors.As(err, &refused) && refused.Field != "":
		badRequest(c, &FieldError{refused.Field, refused.Problem})
	case refused != nil:
		refuse(c, refused.Reason)
	default:
		refuse(c, outcome.ReasonTicketInvalid)
	}
}

// runRequest handles POST /v1/requests. A request that this VM refuses without running the ticket has the outcome
// unknown instead of not_run, because an earlier submission of the same ticket may have run.
func (a *API) runRequest(c *gin.Context) {
	end, ok := a.state.Begin()
	if !ok {
		c.JSON(http.StatusServiceUnavailable, RunResponse{Outcome: outcome.Unknown, Reason: outcome.ReasonDraining})
		return
	}
	defer end()
	var req RunRequest
	if err := decode(c.Request, &req); err != nil {
		badRunRequest(c, err)
		return
	}
	current := a.source.Current()
	if current == nil {
		c.JSON(http.StatusServiceUnavailable, RunResponse{Outcome: outcome.Unknown, Reason: outcome.ReasonNoBundle})
		return
	}
	deadline, err := deadlineOf(req.DeadlineMillis, &current.Bundle.Policy)
	if err == nil && (len(req.Body) == 0 || bytes.Equal(req.Body, []byte("null"))) {
		err = &FieldError{"body", "must be a JSON value"}
	}
	if err != nil {
		badRunRequest(c, err)
		return
	}
	ctx, cancel := a.requestContext(c, deadline)
	defer cancel()
	writeOutcome(c, a.runner.Run(ctx, req.Ticket, req.Body))
}

func badRunRequest(c *gin.Context, err error) {
	var field *FieldError
	if !errors.As(err, &field) {
		field = &FieldError{"body", err.Error()}
	}
	c.JSON(http.StatusBadRequest, RunResponse{Outcome: outcome.Unknown, Error: field})
}

func writeOutcome(c *gin.Context, o ticket.Outcome) {
	status, resp := statusOf(o.Kind), RunResponse{Outcome: o.Kind, Reason: o.Reason, Recorded: o.Recorded, Body: o.Body}
	switch o.Reason {
	case outcome.ReasonTicketInvalid:
		status, resp.Error = http.StatusBadRequest, &FieldError{"ticket", "is not a ticket of its issuer"}
	case outcome.ReasonDifferentBody:
		status, resp.Error = http.StatusConflict, &FieldError{"body", "differs from the body first sent with this ticket"}
	}
	c.JSON(status, resp)
}
