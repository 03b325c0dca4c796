package leafconn_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/platform"
	"teaselbank.example/teaselbank/platform/platformtest"
)

// sendOne submits one request and waits for its result.
func sendOne(t *testing.T, pool *leafconn.Pool) leafconn.Result {
	results := make(chan leafconn.Result, 1)
	s := &leafconn.Send{Request: &leafconn.Request{ID: "r", Method: http.MethodGet, RequestURI: "/", Host: "h",
		Deadline: time.Now().Add(time.Second)}, Done: func(r leafconn.Result) { results <- r }}
	require.True(t, pool.Submit(s, time.Now()))
	return <-results
}

// resettingTarget is a dialer to a target that closes each new connection at once while accepting is false.
type resettingTarget struct {
	mu        sync.Mutex
	accepting bool
	dials     int
}

func (f *resettingTarget) DialContext(context.Context, string, string) (net.Conn, error) {
	time.Sleep(2 * time.Millisecond)
	client, server := net.Pipe()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dials++
	if !f.accepting {
		_ = server.Close()
		return client, nil
	}
	go serveReplies(server)
	return client, nil
}

// serveReplies replies to each request after 7 ms until the connection ends.
func serveReplies(c net.Conn) {
	defer func() { _ = c.Close() }()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		time.Sleep(7 * time.Millisecond)
		if _, err := c.Write([]byte(platformtest.RawSuccess(r.Header.Get(platformtest.HeaderID)) + "Content-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// Guards against a pool that goes on opening connections to a target that resets new ones, and against one that never
// uses the target again. After a reset, Free must report no capacity and Warm must open no connection; once the backoff
// has passed and the target accepts connections, a send must succeed.
func TestTargetThatResetsNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &resettingTarget{}
		pool := leafconn.NewPool("t", "address", platform.Wire{}, target, 2, new(leafconn.Stats), func(time.Duration, error) {})
		defer pool.Close()
		require.Equal(t, 2, pool.Free(time.Now()))
		r := sendOne(t, pool)
		require.ErrorIs(t, r.Err, leafconn.ErrBroken)
		require.Zero(t, pool.Free(time.Now()))
		pool.Warm(2)
		synctest.Wait()
		require.Equal(t, 1, target.dials)
		time.Sleep(6 * time.Second)
		target.mu.Lock()
		target.accepting = true
		target.mu.Unlock()
		require.Equal(t, 2, pool.Free(time.Now()))
		require.NoError(t, sendOne(t, pool).Err)
	})
}
