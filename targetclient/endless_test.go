package targetclient

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/outcome"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// endlessReplies are replies that begin with start and go on with repeat until the connection is closed.
var endlessReplies = []struct{ name, start, repeat string }{
	{"no line end", "HTTP/1.1 200 ", "x"},
	{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-Line: y\r\n"},
	{"interim replies", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"chunk extension", chunkedHead + "5;ext=", "x"},
	{"chunks", chunkedHead, "400\r\n" + strings.Repeat("b", 1024) + "\r\n"},
	{"chunks of one byte", chunkedHead, "1\r\nb\r\n"},
	{"trailer", chunkedHead + "0\r\n", "X-Trailer: y\r\n"},
	{"body without length", "HTTP/1.1 200 OK\r\n\r\n", "b"},
	{"body of a stated length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "b"},
}

// newEndlessTarget returns a target that sends an endless reply on each connection, and the number of bytes sent.
func newEndlessTarget(t *testing.T, start, repeat string) (target *rawTarget, sent *atomic.Int64) {
	sent = new(atomic.Int64)
	block := bytes.Repeat([]byte(repeat), max(1, 32<<10/len(repeat)))
	return newRawTarget(t, func(conn net.Conn, _ Request) bool {
		_, err := conn.Write([]byte(start))
		for err == nil {
			var n int
			n, err = conn.Write(block)
			sent.Add(int64(n))
		}
		return false
	}), sent
}

// Guards against a send that goes on reading, and takes memory, as long as a target sends: it must fail after a bounded
// number of bytes and count as possibly run.
func TestEndlessReplyFailsTheSend(t *testing.T) {
	// A chunk of one byte takes six. The sockets of a connection may hold 12 MiB in addition.
	const bound = 6*maxReplyBytes + 12<<20
	for _, r := range endlessReplies {
		t.Run(r.name, func(t *testing.T) {
			target, sent := newEndlessTarget(t, r.start, r.repeat)
			result := send(t, newClient(t), target.address, "r")
			require.Equal(t, outcome.LeafUnknown, result.Status, "the target may have run the request")
			require.Less(t, sent.Load(), int64(bound))
		})
	}
}

// Guards against a target that sends without end in reply to many requests at once and uses up the memory of a VM of 184 MB,
// and against requests to other targets that fail meanwhile.
func TestManyEndlessRepliesStayWithinMemory(t *testing.T) {
	const sends, memory = 200, 184 << 20
	healthy := newRawTarget(t, func(conn net.Conn, r Request) bool { respond(conn, r); return true })
	faulty, _ := newEndlessTarget(t, chunkedHead, "400\r\n"+strings.Repeat("b", 1024)+"\r\n")
	client := newClient(t)
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range sends {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
			defer cancel()
			result := client.Send(ctx, faulty.address, leafRequest("r"))
			assert.Equal(t, outcome.LeafUnknown, result.Status, "%s: %s", result.Reason, result.Detail)
		})
	}
	ended := make(chan struct{})
	go func() { wg.Wait(); close(ended) }()
	for peak := uint64(0); ; {
		runtime.ReadMemStats(&now)
		if peak = max(peak, now.HeapInuse+now.StackInuse); peak > before.HeapInuse+before.StackInuse+memory {
			t.Fatalf("memory in use rose by %d MB", (peak-before.HeapInuse-before.StackInuse)>>20)
		}
		require.Equal(t, outcome.LeafOK, send(t, client, healthy.address, "h").Status)
		select {
		case <-ended:
			return
		case <-time.After(time.Millisecond):
		}
	}
}
