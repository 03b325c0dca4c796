package targetclient

import (
	"bytes"
	"errors"
	"sync"
	"time"
)

var (
	errBodySealed = errors.New("request body is sealed")
	errBodyLate   = errors.New("deadline passed before the write")
)

// onceBody is a request body that net/http cannot rewind. It knows whether any byte was taken from it, and gives none
// once its deadline has passed: net/http reads it when it writes to the connection, so this check stands right before
// the write, also after a pause of the process.
type onceBody struct {
	deadline time.Time

	mu     sync.Mutex
	data   *bytes.Reader
	taken  bool
	sealed bool
}

func newOnceBody(data []byte, deadline time.Time) *onceBody {
	return &onceBody{data: bytes.NewReader(data), deadline: deadline}
}

// Read gives the next bytes.
func (b *onceBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sealed {
		return 0, errBodySealed
	}
	if !b.taken && !b.deadline.IsZero() && !time.Now().Before(b.deadline) {
		b.sealed = true
		return 0, errBodyLate
	}
	b.taken = true
	return b.data.Read(p)
}

// seal stops all further reads and reports whether any byte was taken. The transport may still be writing when a
// cancelled call returns, so the answer holds only together with the stop.
func (b *onceBody) seal() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sealed = true
	return b.taken
}
