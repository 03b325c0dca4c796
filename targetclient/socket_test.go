package targetclient

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// testDeadline is far longer than any test takes, so that no test result depends on the speed of the machine.
const testDeadline = time.Minute

// rawTarget is a target on raw TCP connections. It counts the requests that arrive and replies with its reply function.
type rawTarget struct {
	address string
	// reply replies to a request on its connection and reports whether the connection stays open.
	reply func(conn net.Conn, r Request) bool

	mu sync.Mutex
	// arrived counts the requests by request ID, requests all of them.
	arrived  map[string]int
	requests int
}

func newRawTarget(t *testing.T, reply func(conn net.Conn, r Request) bool) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	raw := &rawTarget{address: l.Addr().String(), reply: reply, arrived: map[string]int{}}
	var conns sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); conns.Wait() })
	conns.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { raw.serve(conn) })
		}
	})
	return raw
}

func (raw *rawTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		var r Request
		_ = json.Unmarshal(body, &r)
		raw.mu.Lock()
		raw.arrived[r.RequestID]++
		raw.requests++
		raw.mu.Unlock()
		if !raw.reply(conn, r) {
			return
		}
	}
}

func (raw *rawTarget) count(id ident.RequestID) (forID, all int) {
	raw.mu.Lock()
	defer raw.mu.Unlock()
	return raw.arrived[string(id)], raw.requests
}

func leafRequest(id string) outcome.LeafRequest {
	return outcome.LeafRequest{ID: ident.RequestID(id), Service: "dispecerat", Shard: "s1", Snapshot: "v1", Query: []byte(`{"q":1}`), NonIdempotent: true}
}

func send(t *testing.T, c *Client, address, id string) outcome.LeafResult {
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	defer cancel()
	return c.Send(ctx, address, leafRequest(id))
}

func newClient(t *testing.T) *Client {
	c := New(Options{DialTimeout: testDeadline})
	t.Cleanup(c.Close)
	return c
}

func respond(conn net.Conn, r Request) {
	body := fmt.Sprintf(`{"request_id":%q,"shard":%q,"snapshot":%q,"body":{"ok":true}}`, r.RequestID, r.Shard, r.Snapshot)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A request that reached the target is LeafNotRun only after a valid refusal to that request, and LeafOK only after a
// complete and valid reply to it; anything else, redirects included, is LeafUnknown.
func TestResultsOfRepliesAtTheSocket(t *testing.T) {
	const (
		good    = `{"request_id":"r1","shard":"s1","snapshot":"v1","body":{"ok":true}}`
		foreign = `{"request_id":"r2","shard":"s1","snapshot":"v1","body":{}}`
		shed    = `{"request_id":"r1","shard":"s1","refused":"shed"}`
		ok      = "HTTP/1.1 200 OK\r\n"
		refused = "HTTP/1.1 503 Service Unavailable\r\n"
	)
	cases := map[string]struct {
		head, body string
		status     outcome.LeafStatus
		reason     outcome.Reason
	}{
		"no reply":                       {"", "", outcome.LeafUnknown, outcome.ReasonConnectionLost},
		"whole":                          {ok, good, outcome.LeafOK, ""},
		"truncated by length":            {ok + "Content-Length: 4000\r\n", good, outcome.LeafUnknown, outcome.ReasonTruncatedReply},
		"truncated chunk":                {ok + "Transfer-Encoding: chunked\r\n", "5\r\n{\"req\r\n", outcome.LeafUnknown, outcome.ReasonTruncatedReply},
		"truncated without length":       {ok + "Connection: close\r\n", good[:len(good)-2], outcome.LeafUnknown, outcome.ReasonTruncatedReply},
		"foreign":                        {ok, foreign, outcome.LeafUnknown, outcome.ReasonForeignReply},
		"refused":                        {refused, shed, outcome.LeafNotRun, outcome.ReasonTargetShed},
		"unknown refusal":                {refused, `{"request_id":"r1","shard":"s1","refused":"later"}`, outcome.LeafUnknown, outcome.ReasonTargetError},
		"refusal of another request":     {refused, `{"request_id":"r2","shard":"s1","refused":"shed"}`, outcome.LeafUnknown, outcome.ReasonForeignReply},
		"refusal with status 200":        {ok, shed, outcome.LeafUnknown, outcome.ReasonMalformedReply},
		"error page":                     {refused, "<html>", outcome.LeafUnknown, outcome.ReasonTargetError},
		"error with a result":            {"HTTP/1.1 500 Internal Server Error\r\n", good, outcome.LeafUnknown, outcome.ReasonTargetError},
		"redirect":                       {"HTTP/1.1 303 See Other\r\nContent-Length: 0\r\nLocation: /elsewhere\r\n", "", outcome.LeafUnknown, outcome.ReasonTargetError},
		"redirect that keeps the method": {"HTTP/1.1 307 Temporary Redirect\r\nContent-Length: 0\r\nLocation: /elsewhere\r\n", "", outcome.LeafUnknown, outcome.ReasonTargetError},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			raw := newRawTarget(t, func(c net.Conn, _ Request) bool {
				if tc.head != "" {
					_, _ = io.WriteString(c, tc.head+"\r\n"+tc.body)
				}
				// The connection stays open after a redirect, so that a followed redirect would be counted here too.
				return strings.Contains(tc.head, "Location")
			})
			client := newClient(t)
			res := send(t, client, raw.address, "r1")
			client.Close()
			assert.Equal(t, tc.status, res.Status, res.Detail)
			assert.Equal(t, tc.reason, res.Reason, res.Detail)
			forID, all := raw.count("r1")
			assert.Equal(t, 1, forID)
			assert.Equal(t, 1, all, "a redirect must not be followed")
		})
	}
}

// net/http must not resend a request when a reused connection breaks after the target read the request.
func TestNoResendOnAReusedConnectionThatBreaks(t *testing.T) {
	raw := newRawTarget(t, func(c net.Conn, r Request) bool {
		if r.RequestID != "first" {
			return false
		}
		respond(c, r)
		return true
	})
	client := newClient(t)
	require.Equal(t, outcome.LeafOK, send(t, client, raw.address, "first").Status)
	res := send(t, client, raw.address, "second")
	assert.Equal(t, outcome.LeafUnknown, res.Status)
	assert.Equal(t, outcome.ReasonConnectionLost, res.Reason)
	forID, all := raw.count("second")
	assert.Equal(t, 1, forID)
	assert.Equal(t, 2, all)
}

// A target that closes each connection as soon as it is idle must not cause a resend, or LeafNotRun for a request that
// arrived. Whether a close comes before or after the next write is left to chance; the assertions hold either way.
func TestNoResendOnConnectionsClosedAtOnce(t *testing.T) {
	raw := newRawTarget(t, func(c net.Conn, r Request) bool { respond(c, r); return false })
	client := newClient(t)
	for i := range 200 {
		id := fmt.Sprintf("r%d", i)
		res := send(t, client, raw.address, id)
		arrived, _ := raw.count(ident.RequestID(id))
		require.LessOrEqual(t, arrived, 1)
		if res.Status == outcome.LeafNotRun {
			require.Zero(t, arrived, "a request that arrived at the target was reported as not_run")
		}
	}
}

// A dial failure must be LeafNotRun: LeafUnknown would rule out a send to another replica.
func TestDialFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	res := send(t, newClient(t), l.Addr().String(), "r1")
	assert.Equal(t, outcome.LeafNotRun, res.Status)
	assert.Equal(t, outcome.ReasonDialFailed, res.Reason)
}

// Cancelling a request must close its connection, so that the target can stop running the request.
func TestCancelClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan error, 1)
	raw := newRawTarget(t, func(c net.Conn, _ Request) bool {
		close(arrived)
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
	defer cancel()
	go func() { <-arrived; cancel() }()
	res := newClient(t).Send(ctx, raw.address, leafRequest("r1"))
	assert.Equal(t, outcome.LeafUnknown, res.Status)
	assert.Equal(t, outcome.ReasonCancelled, res.Reason)
	assert.Error(t, <-closed)
}

// A process that was paused between its deadline check and the write must not write the request after the deadline.
func TestBodyIsNotWrittenAfterTheDeadline(t *testing.T) {
	raw := newRawTarget(t, func(c net.Conn, r Request) bool { respond(c, r); return true })
	client := newClient(t)
	body := newOnceBody([]byte(`{"request_id":"late"}`), time.Now().Add(-time.Nanosecond))
	res := client.post(t.Context(), raw.address, body, 21, leafRequest("late"))
	assert.Equal(t, outcome.LeafNotRun, res.Status)
	assert.Equal(t, outcome.ReasonDeadline, res.Reason)
	arrived, _ := raw.count("late")
	assert.Zero(t, arrived)
}

// Arbitrary bytes must be accepted as a result or as a refusal only if they are a valid reply to this request.
func FuzzParseReply(f *testing.F) {
	f.Add(200, []byte(`{"request_id":"r1","shard":"s1","snapshot":"v1","body":{}}`))
	f.Add(503, []byte(`{"request_id":"r1","shard":"s1","refused":"shed"}`))
	f.Add(200, []byte(`{"request_id":"r1","sh`))
	f.Add(500, []byte(``))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		r := leafRequest("r1")
		res := parseReply(status, data, r)
		var reply Reply
		whole := json.Unmarshal(data, &reply) == nil && reply.RequestID == "r1" && reply.Shard == "s1"
		switch res.Status {
		case outcome.LeafOK:
			require.True(t, whole && status == http.StatusOK && reply.Snapshot == "v1" && reply.Refused == "")
		case outcome.LeafNotRun:
			require.True(t, whole && reply.Refused != "" && status != http.StatusOK)
		default:
			require.NotEmpty(t, res.Reason)
		}
	})
}
