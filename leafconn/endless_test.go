package leafconn_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/platform"
	"teaselbank.example/teaselbank/platform/platformtest"
)

// endlessReply is a reply that begins with start and goes on with repeat until the connection is closed.
type endlessReply struct{ name, start, repeat string }

var endlessReplies = []endlessReply{
	{"no line end", "HTTP/1.1 200 ", "x"},
	{"header line", platformtest.RawSuccess("r") + "X-Long: ", "x"},
	{"header lines", platformtest.RawSuccess("r"), "X-Line: y\r\n"},
	{"interim replies", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"replies to other requests", "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"},
	{"chunk extension", platformtest.RawSuccess("r") + "Transfer-Encoding: chunked\r\n\r\n5;ext=", "x"},
	{"chunks", platformtest.RawSuccess("r") + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("b", 1024) + "\r\n"},
	{"chunks of one byte", platformtest.RawSuccess("r") + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n"},
	{"trailer", platformtest.RawSuccess("r") + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: y\r\n"},
	{"body without length", platformtest.RawSuccess("r") + "\r\n", "b"},
	{"body of a stated length", platformtest.RawSuccess("r") + "Content-Length: 99999999999\r\n\r\n", "b"},
}

// endlessTarget sends an endless reply on each connection and returns its address and the number of bytes that were sent.
func endlessTarget(t *testing.T, r endlessReply) (address string, sent *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent = new(atomic.Int64)
	block := bytes.Repeat([]byte(r.repeat), max(1, 32<<10/len(r.repeat)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, r.start)
				for err == nil {
					var n int
					n, err = c.Write(block)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return l.Addr().String(), sent
}

func newPool(address string, stats *leafconn.Stats) *leafconn.Pool {
	return leafconn.NewPool("i-1", address, platform.Wire{}, &net.Dialer{}, 4, stats, func(time.Duration, error) {})
}

// submit sends one request with a distant deadline and returns the channel of its result.
func submit(t *testing.T, pool *leafconn.Pool) <-chan leafconn.Result {
	results := make(chan leafconn.Result, 1)
	s := &leafconn.Send{Request: &leafconn.Request{ID: "r", Method: http.MethodGet, RequestURI: "/", Host: "h",
		Deadline: time.Now().Add(time.Hour)}, Done: func(r leafconn.Result) { results <- r }}
	require.True(t, pool.Submit(s, time.Now()))
	return results
}

// Guards against a send that goes on reading, and takes memory, as long as a target sends: it must fail after a bounded
// number of bytes, count as possibly run, and close the connection.
func TestEndlessReplyFailsTheSend(t *testing.T) {
	// The limit of a body, and what the sockets of a connection may hold in addition.
	const bound = 16<<20 + 4<<20 + 12<<20
	for _, r := range endlessReplies {
		t.Run(r.name, func(t *testing.T) {
			address, sent := endlessTarget(t, r)
			stats := new(leafconn.Stats)
			pool := newPool(address, stats)
			defer pool.Close()
			result := <-submit(t, pool)
			require.Error(t, result.Err)
			require.Nil(t, result.Reply)
			require.True(t, result.Sent(), "the target may have run the request")
			require.Eventually(t, func() bool { return stats.Closed(leafconn.ClosedBroken) == 1 }, 10*time.Second, time.Millisecond)
			require.Less(t, sent.Load(), int64(bound))
		})
	}
}

// Guards against 100 targets that send without end at once and use up the memory of a VM of 184 MB, and against other
// requests that fail meanwhile.
func TestManyEndlessRepliesStayWithinMemory(t *testing.T) {
	const targets, memory = 100, 184 << 20
	healthy, err := platformtest.NewTarget("i-1", []byte("ok"))
	require.NoError(t, err)
	defer healthy.Close()
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for i := range targets {
		address, _ := endlessTarget(t, endlessReplies[i%len(endlessReplies)])
		pool := newPool(address, new(leafconn.Stats))
		defer pool.Close()
		results := submit(t, pool)
		wg.Go(func() { <-results })
	}
	ended := make(chan struct{})
	go func() { wg.Wait(); close(ended) }()
	good := newPool(healthy.Address, new(leafconn.Stats))
	defer good.Close()
	for peak := uint64(0); ; {
		runtime.ReadMemStats(&now)
		if peak = max(peak, now.HeapInuse+now.StackInuse); peak > before.HeapInuse+before.StackInuse+memory {
			t.Fatalf("memory in use rose by %d MB", (peak-before.HeapInuse-before.StackInuse)>>20)
		}
		result := <-submit(t, good)
		require.NoError(t, result.Err)
		select {
		case <-ended:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// FuzzReadReply guards against a reply that counts as whole although its bytes are not a whole reply to the request, and
// against panics.
func FuzzReadReply(f *testing.F) {
	for _, r := range endlessReplies {
		f.Add([]byte(r.start + r.repeat))
	}
	f.Add([]byte(platformtest.RawSuccess("r") + "Content-Length: 2\r\n\r\nok"))
	f.Add([]byte(platformtest.RawSuccess("r") + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		dialer := scriptedTarget(data)
		pool := leafconn.NewPool("i-1", "a", platform.Wire{}, dialer, 1, new(leafconn.Stats), func(time.Duration, error) {})
		defer pool.Close()
		result := <-submit(t, pool)
		if result.Err != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(finalReply(data))), &http.Request{Method: http.MethodGet})
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err, "the reply broke off")
		require.Equal(t, body, result.Reply.Body)
		require.Equal(t, resp.StatusCode, result.Reply.Status)
	})
}

// finalReply returns data from the first reply that is final and not known to belong to another request.
func finalReply(data []byte) []byte {
	reader := bytes.NewReader(data)
	buffered := bufio.NewReader(reader)
	for {
		offset := len(data) - reader.Len() - buffered.Buffered()
		resp, err := http.ReadResponse(buffered, &http.Request{Method: http.MethodGet})
		if err != nil {
			return data[offset:]
		}
		id := resp.Header.Get(platformtest.HeaderID)
		if resp.StatusCode >= http.StatusOK && (id == "" || id == "r") {
			return data[offset:]
		}
		if resp.StatusCode >= http.StatusOK {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}
}

// scriptedTarget is a dialer to a target that sends fixed bytes after a request and closes the connection.
type scriptedTarget []byte

func (s scriptedTarget) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return
		}
		_, _ = server.Write(s)
	}()
	return client, nil
}
