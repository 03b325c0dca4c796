package targetclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// maxReplyBytes bounds a target's reply.
const maxReplyBytes = 4 << 20

// Default limits of the transport.
const (
	defaultDialTimeout = 250 * time.Millisecond
	idleTimeout        = 90 * time.Second
)

// Client sends leaf requests to targets. It never sends one twice: a request carries no GetBody and no
// Idempotency-Key header and is a POST, so that net/http does not resend it on a reused connection.
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
		DialContext:           o.Dial,
		MaxConnsPerHost:       o.ConnectionsPerTarget,
		MaxIdleConnsPerHost:   o.ConnectionsPerTarget,
		IdleConnTimeout:       idleTimeout,
		DisableCompression:    true,
		ForceAttemptHTTP2:     false,
		ResponseHeaderTimeout: 0,
	}
	return &Client{http: &http.Client{Transport: t}, transport: t}
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
	return c.post(ctx, address, body, r)
}

func (c *Client) post(ctx context.Context, address string, body []byte, r outcome.LeafRequest) outcome.LeafResult {
	// left is set as soon as a connection is handed to the request: from then on bytes may have left.
	var left atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { left.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost,
		"http://"+address+LeafPath, onceReader{bytes.NewReader(body)})
	if err != nil {
		return outcome.LeafRefused(outcome.ReasonMalformed, err.Error())
	}
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return sendFailure(err, left.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	return readReply(resp, r)
}

// onceReader hides the type of the body, so that net/http derives no GetBody from it.
type onceReader struct{ io.Reader }

func sendFailure(err error, left bool) outcome.LeafResult {
	reason := outcome.ReasonConnectionLost
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		reason = outcome.ReasonDeadline
	case errors.Is(err, context.Canceled):
		reason = outcome.ReasonCancelled
	case !left:
		reason = outcome.ReasonDialFailed
	}
	if left {
		return outcome.LeafLost(reason, err.Error())
	}
	return outcome.LeafRefused(reason, err.Error())
}

func readReply(resp *http.Response, r outcome.LeafRequest) outcome.LeafResult {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return outcome.LeafLost(outcome.ReasonTruncated, err.Error())
	}
	if len(data) > maxReplyBytes {
		return outcome.LeafLost(outcome.ReasonMalformed, fmt.Sprintf("reply exceeds %d bytes", maxReplyBytes))
	}
	var reply Reply
	if err := json.Unmarshal(data, &reply); err != nil {
		return outcome.LeafLost(outcome.ReasonMalformed, fmt.Sprintf("status %d: %v", resp.StatusCode, err))
	}
	return judge(resp.StatusCode, &reply, r)
}

// judge turns a whole reply into a result. Replies that are not to this request never count as its answer.
func judge(status int, reply *Reply, r outcome.LeafRequest) outcome.LeafResult {
	res := outcome.LeafResult{
		ID: ident.RequestID(reply.RequestID), Shard: ident.ShardID(reply.Shard),
		Snapshot: ident.SnapshotID(reply.Snapshot), Held: heldSnapshots(reply.Held),
		Incarnation: reply.Incarnation, Service: time.Duration(reply.ServiceMicros) * time.Microsecond,
	}
	switch {
	case res.ID != r.ID || res.Shard != r.Shard:
		res.Status, res.Reason = outcome.LeafUnknown, outcome.ReasonForeign
	case reply.Refused != "":
		res.Status, res.Reason = outcome.LeafNotRun, refusalReason(reply.Refused)
	case status != http.StatusOK:
		res.Status, res.Reason, res.Detail = outcome.LeafUnknown, outcome.ReasonTargetError, fmt.Sprintf("status %d", status)
	case res.Snapshot != r.Snapshot:
		res.Status, res.Reason = outcome.LeafUnknown, outcome.ReasonWrongSnapshot
	default:
		res.Status, res.Body = outcome.LeafOK, reply.Body
	}
	return res
}

func refusalReason(r Refusal) outcome.Reason {
	switch r {
	case RefusedShed:
		return outcome.ReasonTargetShed
	case RefusedDraining:
		return outcome.ReasonTargetDraining
	case RefusedSnapshot:
		return outcome.ReasonSnapshotNotHeld
	case RefusedDeadline:
		return outcome.ReasonDeadline
	case RefusedConnections:
		return outcome.ReasonConnectionLimit
	default:
		return outcome.ReasonTargetError
	}
}

func heldSnapshots(held []string) []ident.SnapshotID {
	out := make([]ident.SnapshotID, len(held))
	for i, h := range held {
		out[i] = ident.SnapshotID(h)
	}
	return out
}
