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

// testDeadline is far beyond what a test takes, so that no verdict depends on the speed of the machine.
const testDeadline = time.Minute

// rawTarget counts what arrives on raw TCP connections, and answers each request as its script says.
type rawTarget struct {
	address string
	// answer writes the reply and reports whether the connection stays open.
	answer func(conn net.Conn, r Request) bool

	mu       sync.Mutex
	arrived  map[string]int
	requests int
}

func newRawTarget(t *testing.T, answer func(conn net.Conn, r Request) bool) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	raw := &rawTarget{address: l.Addr().String(), answer: answer, arrived: map[string]int{}}
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
		if !raw.answer(conn, r) {
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

// Guards against a result that claims more than the socket proves: only a refusal of the target is not_run.
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
		"truncated by length":            {ok + "Content-Length: 4000\r\n", good, outcome.LeafUnknown, outcome.ReasonTruncated},
		"truncated chunk":                {ok + "Transfer-Encoding: chunked\r\n", "5\r\n{\"req\r\n", outcome.LeafUnknown, outcome.ReasonTruncated},
		"truncated without length":       {ok + "Connection: close\r\n", good[:len(good)-2], outcome.LeafUnknown, outcome.ReasonTruncated},
		"foreign":                        {ok, foreign, outcome.LeafUnknown, outcome.ReasonForeign},
		"refused":                        {refused, shed, outcome.LeafNotRun, outcome.ReasonTargetShed},
		"unknown refusal":                {refused, `{"request_id":"r1","shard":"s1","refused":"later"}`, outcome.LeafUnknown, outcome.ReasonTargetError},
		"refusal of another request":     {refused, `{"request_id":"r2","shard":"s1","refused":"shed"}`, outcome.LeafUnknown, outcome.ReasonForeign},
		"refusal with status 200":        {ok, shed, outcome.LeafUnknown, outcome.ReasonMalformed},
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
				// A redirect keeps its connection, so that one which is followed arrives here too.
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

// Guards against the resend of net/http on a reused connection that breaks after the request was read.
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

// Guards against a resend, or a false not_run, on connections that the server closes as soon as they are idle. How
// the close falls relative to the next write is up to the machine; what must hold does not depend on it.
func TestNoResendOnConnectionsClosedAtOnce(t *testing.T) {
	raw := newRawTarget(t, func(c net.Conn, r Request) bool { respond(c, r); return false })
	client := newClient(t)
	for i := range 200 {
		id := fmt.Sprintf("r%d", i)
		res := send(t, client, raw.address, id)
		arrived, _ := raw.count(ident.RequestID(id))
		require.LessOrEqual(t, arrived, 1)
		if res.Status == outcome.LeafNotRun {
			require.Zero(t, arrived, "not_run was reported for a request that arrived")
		}
	}
}

// Guards against calling a dial failure unknown, which would forbid a send to another replica.
func TestDialFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	res := send(t, newClient(t), l.Addr().String(), "r1")
	assert.Equal(t, outcome.LeafNotRun, res.Status)
	assert.Equal(t, outcome.ReasonDialFailed, res.Reason)
}

// Guards against a cancelled request that goes on at the target: the target sees its connection close.
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

// Guards against a write after the deadline by a process that was paused between its check and the write.
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

// Guards against a reply that is taken for the answer to another request, and a refusal that is not one.
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
