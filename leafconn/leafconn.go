// Package leafconn sends HTTP/1.1 requests to targets over pooled connections. A connection carries one request at a
// time and is not reused after an error or an unexpected reply. It carries the same request only once: a target in
// trouble may send a reply a second time, and the request ID in it cannot tell it from the reply to a later send. The
// package never retries a request: whether to send it again is up to its caller.
package leafconn

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// Request is a caller's request as it is forwarded to targets. Its exported fields must not be modified while a send is
// in flight.
type Request struct {
	ID     string
	Method string
	// RequestURI is the request target of the HTTP request line: path and query, byte for byte as the caller sent them.
	RequestURI string
	Host       string
	// Header holds the caller's headers. The Protocol drops the hop-by-hop ones when it encodes the request.
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time

	carriersMu sync.Mutex
	// carriers are the connections to which the request was assigned.
	carriers []*conn
}

// assignTo records that a connection carries the request.
func (r *Request) assignTo(c *conn) {
	r.carriersMu.Lock()
	defer r.carriersMu.Unlock()
	r.carriers = append(r.carriers, c)
}

// carriedBy reports whether a connection carries the request or has carried it.
func (r *Request) carriedBy(c *conn) bool {
	r.carriersMu.Lock()
	defer r.carriersMu.Unlock()
	return slices.Contains(r.carriers, c)
}

// Path returns the request target without the query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// Disposition is what a target did with a request.
type Disposition int

// Dispositions of a reply.
const (
	// Ran means that the target processed the request; the reply's status may still be an error.
	Ran Disposition = iota
	// NotRun means that the target refused the request before running it.
	NotRun
	// Misdirected means that another process now has the target's address and refused the request without running it.
	Misdirected
)

// Reply is a target's reply, read as a whole.
type Reply struct {
	Status      int
	Header      http.Header
	Body        []byte
	Disposition Disposition
	// Signature is the target's proof that it processed this request; empty if the reply carries none.
	Signature string
	// ColdLeft is the remaining warm-up time that the target states; 0 if it states none.
	ColdLeft time.Duration
	// RateLimit is how many requests a second the target states that it takes from all VMs together; 0 if it states none.
	RateLimit float64
	// Leaving reports that the target says that it is leaving. It is false for the reply of another process at its address.
	Leaving bool
	// RetryAfter is how long a target that turns the request away with status 503 wants no request from this VM; 0 if it
	// states no time.
	RetryAfter time.Duration
}

// OK reports whether the reply is signed and has a 2xx status.
func (r *Reply) OK() bool {
	return r.Disposition == Ran && r.Status >= 200 && r.Status < 300 && r.Signature != ""
}

// Protocol encodes requests and interprets the replies of targets.
type Protocol interface {
	// Append appends the encoded request to buf. remaining is the time until the caller's deadline.
	Append(buf []byte, r *Request, target ident.TargetID, remaining time.Duration) []byte
	// Interpret returns a reply, without its body, from the status and header of a response. foreign reports that the
	// response belongs to another request.
	Interpret(resp *http.Response, r *Request) (reply *Reply, foreign bool)
}

// Errors of sends. ErrNotSent is wrapped by every error after which no byte of the request can have reached the target.
var (
	ErrNotSent        = errors.New("request not sent")
	ErrBroken         = errors.New("connection ended before the whole reply was read")
	ErrMalformedReply = errors.New("no valid reply to this request could be read from the connection")
	ErrAbandoned      = errors.New("send abandoned by its caller")
	// ErrTargetRests is why a send that waited for a connection was not sent: a reply to another one said that the target wants
	// no requests for a while.
	ErrTargetRests = errors.New("the target wants no requests for a while")
)

// Result is the outcome of one send.
type Result struct {
	Send  *Send
	Reply *Reply
	// Err is nil if Reply is set.
	Err error
	// At is when the reply was read or the send failed.
	At time.Time
	// Abandoned reports whether Send.Abandon was called before the result arrived.
	Abandoned bool
}

// Sent reports whether the target may have received the request.
func (r *Result) Sent() bool { return !errors.Is(r.Err, ErrNotSent) }

// Send is one request on its way to one target.
type Send struct {
	Request *Request
	// Done is called once with the result. It may run on a goroutine of the pool or on the one that calls Abandon or
	// Pool.Close, and must not block.
	Done func(Result)
	// Started is when the send was submitted; Pool.Submit sets it.
	Started time.Time

	pool *Pool
	// The fields below are guarded by pool.mu.

	// conn is the connection that carries the send; nil while the send waits for one.
	conn *conn
	// done is set once the send has a result.
	done bool
	// abandoned is set by Abandon: the caller no longer needs the result.
	abandoned bool
}
