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
	"teaselbank.example/teaselbank/replyread"
)

// Limits of a target's reply, in bytes.
const (
	maxReplyBytes = 4 << 20
	// maxBufferedReplies bounds the bytes of all replies that are being read. It keeps targets that send without end within
	// the memory of a small VM.
	maxBufferedReplies = 32 << 20
	maxHeaderBytes     = 64 << 10
)

// Timeouts of the transport.
const (
	defaultDialTimeout = 250 * time.Millisecond
	idleTimeout        = 90 * time.Second
)

// Client sends leaf requests to targets over HTTP/1.1 and is safe for concurrent use. It never sends a request twice:
// each request is a POST without GetBody and without an Idempotency-Key header, so that net/http does not resend it
// when a reused connection breaks, and redirects are not followed. Cancelling the context of a send closes its
// connection, which shows the target that the request was cancelled. A request to CancelPath would need a second
// connection, of which targets accept only few, and could be lost.
type Client struct {
	http      *http.Client
	transport *http.Transport
	bodies    *replyread.Budget
}

// Options configures a Client.
type Options struct {
	// ConnectionsPerTarget bounds the open connections to one address; 0 sets no limit.
	ConnectionsPerTarget int
	// DialTimeout bounds an attempt to connect; 0 selects the default of 250 ms. It does not apply to Dial.
	DialTimeout time.Duration
	// Dial replaces the client's own dialer if it is not nil.
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
		// An HTTP/2 transport would resend a request after a refused stream or GOAWAY.
		Protocols:              http1Only(),
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	// Following a redirect would send the request a second time.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &http.Client{Transport: t, CheckRedirect: noRedirect}, transport: t, bodies: replyread.NewBudget(maxBufferedReplies)}
}

func http1Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends one leaf request to the target at the address, a host and port, and returns its result. The time left until
// the context's deadline is passed on to the target.
func (c *Client) Send(ctx context.Context, address string, r outcome.LeafRequest) outcome.LeafResult {
	deadline, ok := ctx.Deadline()
	remaining := time.Until(deadline)
	if ok && remaining <= 0 {
		return outcome.NotRunResult(outcome.ReasonDeadline, "deadline passed before the request was sent")
	}
	if ctx.Err() != nil {
		return outcome.NotRunResult(outcome.ReasonCancelled, "cancelled before the request was sent")
	}
	body, err := json.Marshal(Request{
		RequestID: string(r.ID), Service: string(r.Service), Shard: string(r.Shard), Snapshot: string(r.Snapshot),
		RemainingMicros: remaining.Microseconds(), NonIdempotent: r.NonIdempotent, Query: r.Query,
	})
	if err != nil {
		return outcome.NotRunResult(outcome.ReasonMalformedReply, fmt.Sprintf("query is not valid JSON: %v", err))
	}
	return c.post(ctx, address, newOnceBody(body, deadline), int64(len(body)), r)
}

func (c *Client) post(ctx context.Context, address string, body *onceBody, length int64, r outcome.LeafRequest) outcome.LeafResult {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+LeafPath, body)
	if err != nil {
		return outcome.NotRunResult(outcome.ReasonMalformedReply, err.Error())
	}
	req.ContentLength = length
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return sendFailure(err, body.stop())
	}
	defer func() { _ = resp.Body.Close() }()
	return readReply(resp, c.bodies, r)
}

// sendFailure returns the result of a send that got no reply. bodyRead reports whether net/http read any byte of the body
// for sending; if it read none, the target cannot have run the request.
func sendFailure(err error, bodyRead bool) outcome.LeafResult {
	reason := failureReason(err)
	if bodyRead {
		return outcome.UnknownResult(reason, err.Error())
	}
	var op *net.OpError
	if reason == outcome.ReasonConnectionLost && errors.As(err, &op) && op.Op == "dial" {
		reason = outcome.ReasonDialFailed
	}
	return outcome.NotRunResult(reason, err.Error())
}

func failureReason(err error) outcome.Reason {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errDeadlinePassed):
		return outcome.ReasonDeadline
	case errors.Is(err, context.Canceled):
		return outcome.ReasonCancelled
	default:
		return outcome.ReasonConnectionLost
	}
}
