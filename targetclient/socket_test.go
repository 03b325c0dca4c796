package targetclient

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

func respond(conn net.Conn, status, headers, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), headers, body)
}

func goodBody(r Request) string {
	return fmt.Sprintf(`{"request_id":%q,"shard":%q,"snapshot":%q,"body":{"ok":true}}`, r.RequestID, r.Shard, r.Snapshot)
}

// Guards against a result that claims more than the socket proves: only a refusal of the target is not_run.
func TestResultsOfRepliesAtTheSocket(t *testing.T) {
	cases := map[string]struct {
		answer func(conn net.Conn, r Request) bool
		status outcome.LeafStatus
		reason outcome.Reason
	}{
		"no reply": {func(net.Conn, Request) bool { return false }, outcome.LeafUnknown, outcome.ReasonConnectionLost},
		"whole":    {func(c net.Conn, r Request) bool { respond(c, "200 OK", "", goodBody(r)); return true }, outcome.LeafOK, ""},
		"truncated by length": {func(c net.Conn, r Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n%s", goodBody(r))
			return false
		}, outcome.LeafUnknown, outcome.ReasonTruncated},
		"truncated chunk": {func(c net.Conn, _ Request) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"req\r\n")
			return false
		}, outcome.LeafUnknown, outcome.ReasonTruncated},
		"truncated without length": {func(c net.Conn, r Request) bool {
			body := goodBody(r)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body[:len(body)-2])
			return false
		}, outcome.LeafUnknown, outcome.ReasonTruncated},
		"foreign": {func(c net.Conn, r Request) bool {
			r.RequestID = "another"
			respond(c, "200 OK", "", goodBody(r))
			return true
		}, outcome.LeafUnknown, outcome.ReasonForeign},
		"refused": {func(c net.Conn, r Request) bool {
			respond(c, "503 Service Unavailable", "", fmt.Sprintf(`{"request_id":%q,"shard":%q,"refused":"shed"}`, r.RequestID, r.Shard))
			return true
		}, outcome.LeafNotRun, outcome.ReasonTargetShed},
		"unknown refusal": {func(c net.Conn, r Request) bool {
			respond(c, "503 Service Unavailable", "", fmt.Sprintf(`{"request_id":%q,"shard":%q,"refused":"later"}`, r.RequestID, r.Shard))
			return true
		}, outcome.LeafUnknown, outcome.ReasonTargetError},
		"refusal of another request": {func(c net.Conn, r Request) bool {
			respond(c, "503 Service Unavailable", "", fmt.Sprintf(`{"request_id":"another","shard":%q,"refused":"shed"}`, r.Shard))
			return true
		}, outcome.LeafUnknown, outcome.ReasonForeign},
		"error page": {func(c net.Conn, _ Request) bool { respond(c, "503 Service Unavailable", "", "<html>"); return true },
			outcome.LeafUnknown, outcome.ReasonTargetError},
		"error with a result": {func(c net.Conn, r Request) bool {
			respond(c, "500 Internal Server Error", "", goodBody(r))
			return true
		},
			outcome.LeafUnknown, outcome.ReasonTargetError},
		"redirect": {func(c net.Conn, _ Request) bool {
			respond(c, "303 See Other", "Location: /elsewhere\r\n", "")
			return true
		}, outcome.LeafUnknown, outcome.ReasonTargetError},
		"redirect that keeps the method": {func(c net.Conn, _ Request) bool {
			respond(c, "307 Temporary Redirect", "Location: /elsewhere\r\n", "")
			return true
		}, outcome.LeafUnknown, outcome.ReasonTargetError},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			raw := newRawTarget(t, tc.answer)
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
		respond(c, "200 OK", "", goodBody(r))
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
	raw := newRawTarget(t, func(c net.Conn, r Request) bool { respond(c, "200 OK", "", goodBody(r)); return false })
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
	raw := newRawTarget(t, func(c net.Conn, r Request) bool { respond(c, "200 OK", "", goodBody(r)); return true })
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
