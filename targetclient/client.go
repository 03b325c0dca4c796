package targetclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"teaselbank.example/teaselbank/outcome"
)

// Bounds of a target's reply.
const (
	maxReplyBytes  = 4 << 20
	maxHeaderBytes = 64 << 10
)

// Default limits of the transport.
const (
	defaultDialTimeout = 250 * time.Millisecond
	idleTimeout        = 90 * time.Second
)

// Client sends leaf requests to targets. It never sends one twice: a request carries no GetBody and no
// Idempotency-Key header and is a POST, so that net/http does not resend it on a reused connection, and redirects
// are not followed. Cancelling the context closes the connection, by which the target notices: a message to CancelPath
// would need a second connection, of which targets accept few, and could be lost.
type Client struct {
	http      *http.Client
	transport *http.Transport
}

// Options bound the client.
type Options struct {
	// ConnectionsPerTarget bounds open connections to one address.
	ConnectionsPerTarget int
	DialTimeout          time.Duration
	// Dial opens connections instead of the client's own dialer, if set.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New returns a client.
func New(o Options) *Client {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	t := &http.Transport{
		DialContext:         o.Dial,
		MaxConnsPerHost:     o.ConnectionsPerTarget,
		MaxIdleConnsPerHost: o.ConnectionsPerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// HTTP/2 resends after a refused stream or GOAWAY.
		Protocols:              http1Only(),
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	// A followed redirect would be a second send.
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &http.Client{Transport: t, CheckRedirect: stay}, transport: t}
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// Close drops idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send runs one leaf request at the target's address. The context's deadline is passed on.
func (c *Client) Send(ctx context.Context, address string, r outcome.LeafRequest) outcome.LeafResult {
	deadline, ok := ctx.Deadline()
	remaining := time.Until(deadline)
	if ok && remaining <= 0 {
		return outcome.LeafRefused(outcome.ReasonDeadline, "deadline passed before the send")
	}
	if ctx.Err() != nil {
		return outcome.LeafRefused(outcome.ReasonCancelled, "cancelled before the send")
	}
	body, err := json.Marshal(Request{
		RequestID: string(r.ID), Service: string(r.Service), Shard: string(r.Shard), Snapshot: string(r.Snapshot),
		RemainingMicros: remaining.Microseconds(), NonIdempotent: r.NonIdempotent, Query: r.Query,
	})
	if err != nil {
		return outcome.LeafRefused(outcome.ReasonMalformed, fmt.Sprintf("query is not JSON: %v", err))
	}
	return c.post(ctx, address, newOnceBody(body, deadline), int64(len(body)), r)
}

func (c *Client) post(ctx context.Context, address string, body *onceBody, length int64, r outcome.LeafRequest) outcome.LeafResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+LeafPath, body)
	if err != nil {
		return outcome.LeafRefused(outcome.ReasonMalformed, err.Error())
	}
	req.ContentLength = length
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return sendFailure(err, body.seal())
	}
	defer func() { _ = resp.Body.Close() }()
	return readReply(resp, r)
}

// sendFailure judges a send that got no reply. A target cannot have run a request of which it got no byte of the body.
func sendFailure(err error, left bool) outcome.LeafResult {
	reason := failureReason(err)
	if left {
		return outcome.LeafLost(reason, err.Error())
	}
	var op *net.OpError
	if reason == outcome.ReasonConnectionLost && errors.As(err, &op) && op.Op == "dial" {
		reason = outcome.ReasonDialFailed
	}
	return outcome.LeafRefused(reason, err.Error())
}

func failureReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errBodyLate):
		return outcome.ReasonDeadline
	case errors.Is(err, context.Canceled):
		return outcome.ReasonCancelled
	default:
		return outcome.ReasonConnectionLost
	}
}
