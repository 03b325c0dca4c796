package targetclient

import (
	"bytes"
	"errors"
	"sync"
	"time"
)

var (
	errBodyStopped    = errors.New("request body read after the send ended")
	errDeadlinePassed = errors.New("deadline passed before the request body was written")
)

// onceBody is a request body that net/http cannot rewind and so cannot send twice. It records whether any byte was read,
// and fails the first read if the deadline has passed. net/http reads the body right before it writes it to the
// connection, so the check also holds if the process was paused after the request was built.
type onceBody struct {
	// deadline is the latest time of the first read; the zero time sets no limit.
	deadline time.Time

	mu   sync.Mutex
	data *bytes.Reader
	// taken is set by the first read.
	taken bool
	// stopped is set once all further reads fail.
	stopped bool
}

func newOnceBody(data []byte, deadline time.Time) *onceBody {
	return &onceBody{data: bytes.NewReader(data), deadline: deadline}
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, errBodyStopped
	}
	if !b.taken && !b.deadline.IsZero() && !time.Now().Before(b.deadline) {
		b.stopped = true
		return 0, errDeadlinePassed
	}
	b.taken = true
	return b.data.Read(p)
}

// stop makes all further reads fail and reports whether any byte was read. The transport may still be writing when a
// cancelled call returns, so whether a byte was read is final only once further reads fail.
func (b *onceBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	return b.taken
}
