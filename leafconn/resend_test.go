package leafconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
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

// repeatingTarget is a dialer to a target that refuses the first request it gets, and sends this refusal a second time
// while it runs the next one.
type repeatingTarget struct {
	mu       sync.Mutex
	requests int
	// perConnection counts the requests of each connection, in order of opening.
	perConnection []int
	// dialErr, if set, fails every dial.
	dialErr error
}

// Times of a repeatingTarget: when it repeats its refusal, and how long it runs a request.
const (
	repeatDelay = 5 * time.Millisecond
	runTime     = 50 * time.Millisecond
)

func (f *repeatingTarget) DialContext(context.Context, string, string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dialErr != nil {
		return nil, f.dialErr
	}
	client, server := net.Pipe()
	f.perConnection = append(f.perConnection, 0)
	go f.serve(server, len(f.perConnection)-1)
	return client, nil
}

func (f *repeatingTarget) serve(c net.Conn, at int) {
	defer func() { _ = c.Close() }()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.requests++
		f.perConnection[at]++
		first := f.requests == 1
		f.mu.Unlock()
		if first {
			refusal := platformtest.RawRefusal(r.Header.Get(platformtest.HeaderID))
			_, err = io.WriteString(c, refusal)
			time.AfterFunc(repeatDelay, func() { _, _ = io.WriteString(c, refusal) })
		} else {
			time.Sleep(runTime)
			_, err = io.WriteString(c, platformtest.RawSuccess(r.Header.Get(platformtest.HeaderID))+"Content-Length: 2\r\n\r\nok")
		}
		if err != nil {
			return
		}
	}
}

func (f *repeatingTarget) connections() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]int(nil), f.perConnection...)
}

func newRepeatingTarget(limit int) (*repeatingTarget, *leafconn.Pool, *leafconn.Stats) {
	target, stats := &repeatingTarget{}, new(leafconn.Stats)
	return target, leafconn.NewPool("t", "address", platform.Wire{}, target, limit, stats, func(time.Duration, error) {}), stats
}

// request returns a function that submits the same request at each call and returns the channel of the result.
func request(t *testing.T, pool *leafconn.Pool) (submit func() <-chan leafconn.Result) {
	r := &leafconn.Request{ID: "r", Method: http.MethodGet, RequestURI: "/", Host: "h", Deadline: time.Now().Add(time.Second)}
	return func() <-chan leafconn.Result {
		results := make(chan leafconn.Result, 1)
		require.True(t, pool.Submit(&leafconn.Send{Request: r, Done: func(r leafconn.Result) { results <- r }}, time.Now()))
		return results
	}
}

// Guards against a refusal that a target sends a second time, late, and that is taken for the reply to a later send of the
// same request: the request runs although it counts as refused.
func TestLateCopyOfARefusalIsNoReplyToAResend(t *testing.T) {
	for name, c := range map[string]struct {
		limit     int
		forResend uint64
	}{"room for another connection": {2, 0}, "at the limit": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target, pool, stats := newRepeatingTarget(c.limit)
				defer pool.Close()
				submit := request(t, pool)
				first := <-submit()
				require.NoError(t, first.Err)
				require.Equal(t, leafconn.NotRun, first.Reply.Disposition)
				second := <-submit()
				require.NoError(t, second.Err)
				require.Equal(t, leafconn.Ran, second.Reply.Disposition, "the target ran the second send")
				require.Equal(t, []int{1, 1}, target.connections())
				require.Equal(t, c.forResend, stats.Closed(leafconn.ClosedForResend))
			})
		})
	}
}

// Guards against a queued resend that gets the connection of the earlier send as soon as this is free.
func TestQueuedResendGetsAnotherConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, pool, _ := newRepeatingTarget(1)
		defer pool.Close()
		submit := request(t, pool)
		first, second := submit(), submit()
		require.Equal(t, leafconn.NotRun, (<-first).Reply.Disposition)
		result := <-second
		require.NoError(t, result.Err)
		require.Equal(t, leafconn.Ran, result.Reply.Disposition)
		require.Equal(t, []int{1, 1}, target.connections())
	})
}

// Guards against a resend that waits until its deadline because the only open connection has carried its request and no
// other can be opened: it must fail at once as not sent.
func TestResendWithoutAnotherConnectionFailsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, pool, _ := newRepeatingTarget(2)
		defer pool.Close()
		submit := request(t, pool)
		require.NoError(t, (<-submit()).Err)
		target.mu.Lock()
		target.dialErr = errors.New("refused")
		target.mu.Unlock()
		began := time.Now()
		require.ErrorIs(t, (<-submit()).Err, leafconn.ErrNotSent)
		require.Less(t, time.Since(began), repeatDelay)
	})
}
