package leafconn

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"teaselbank.example/teaselbank/replyread"
)

// Bounds of what a target may send until the send fails and its connection is closed. A target in trouble may send bytes
// that are no reply without end.
const (
	// maxReplyBytes bounds the body of one reply, which is buffered in memory as a whole.
	maxReplyBytes = 16 << 20
	// maxHeadBytes bounds the status line and header of a reply, together with the interim and foreign replies before it.
	maxHeadBytes = 64 << 10
	// maxEncodingOverhead bounds the bytes of a body's transfer encoding, in addition to the body.
	maxEncodingOverhead = 4 << 20
	// maxBufferedReplies bounds the bytes of all bodies that are being read. It keeps many targets that send without end
	// within the memory of a small VM.
	maxBufferedReplies = 32 << 20
)

var bodies = replyread.NewBudget(maxBufferedReplies)

// readBufferSize is small because each connection has its own buffer and most replies fit into it.
const readBufferSize = 2 << 10

// conn is one connection to a target; its run method reads replies on a goroutine of its own.
type conn struct {
	pool *Pool
	net  net.Conn
	br   *bufio.Reader
	// input is what br reads from; only the goroutine of run uses it.
	input *limitedInput

	// The fields below are guarded by pool.mu.

	// current is the send in flight; nil while the connection is idle.
	current   *Send
	idleSince time.Time
	// idleLimit is how long the connection may stay idle before the pool closes it.
	idleLimit time.Duration
	// writing is set while a request too large for an inline write is written on a goroutine of its own.
	writing bool
	// replied reports whether at least one whole reply was read from the connection.
	replied bool
}

var writeBuffers = sync.Pool{New: func() any { b := make([]byte, 0, maxInlineWrite); return &b }}

func newConn(p *Pool, nc net.Conn) *conn {
	input := &limitedInput{conn: nc, left: maxHeadBytes}
	return &conn{pool: p, net: nc, input: input, br: bufio.NewReaderSize(input, readBufferSize), idleLimit: idleLimit}
}

// limitedInput reads from a connection and fails after a number of bytes.
type limitedInput struct {
	conn net.Conn
	left int64
}

var errTooManyBytes = errors.New("the target sent more bytes than a reply may have")

// Read implements io.Reader.
func (l *limitedInput) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, fmt.Errorf("%w: from %s", errTooManyBytes, l.conn.RemoteAddr())
	}
	n, err := l.conn.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// carry makes s the send in flight; pool.mu must be held.
func (c *conn) carry(s *Send) {
	c.current, s.conn = s, c
	s.Request.assignTo(c)
}

// write writes the request of a send. On a write error it closes the connection, so that the reading goroutine sees a
// broken connection and reports the failure.
func (c *conn) write(s *Send) {
	remaining := time.Until(s.Request.Deadline)
	if len(s.Request.Body) <= maxInlineWrite/2 {
		buf := writeBuffers.Get().(*[]byte)
		data := c.pool.protocol.Append((*buf)[:0], s.Request, c.pool.target, remaining)
		if _, err := c.net.Write(data); err != nil {
			_ = c.net.Close()
		}
		*buf = data
		writeBuffers.Put(buf)
		return
	}
	c.pool.mu.Lock()
	c.writing = true
	c.pool.mu.Unlock()
	go func() {
		_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.net.Write(c.pool.protocol.Append(nil, s.Request, c.pool.target, remaining))
		if err != nil {
			_ = c.net.Close()
		}
		_ = c.net.SetWriteDeadline(time.Time{})
		c.pool.mu.Lock()
		c.writing = false
		c.pool.mu.Unlock()
	}()
}

// run reads replies until the connection is closed.
func (c *conn) run() {
	for {
		_, err := c.br.Peek(1)
		p := c.pool
		p.mu.Lock()
		s := c.current
		if s == nil || err != nil {
			reason := ClosedByTarget
			if s != nil {
				reason = ClosedBroken
			}
			if !c.replied && brokenByTarget(s, err) {
				p.dialBackoff.ConnectionBroke(time.Now())
			}
			p.drop(c, reason)
			p.dialIfNeeded()
			p.mu.Unlock()
			if s != nil {
				c.deliverOnce(s, Result{Send: s, Err: fmt.Errorf("%w: %w", ErrBroken, err)})
			}
			return
		}
		p.mu.Unlock()
		reply, reusable, err := c.read(s)
		if !c.handleRead(s, reply, reusable, err) {
			return
		}
	}
}

// brokenByTarget reports whether the target broke the connection. s is the send in flight; it is nil on an idle
// connection, for which only a reset counts. A connection that timed out, or that this VM closed, does not show that
// the target rejects new connections.
func brokenByTarget(s *Send, err error) bool {
	if s == nil {
		return errors.Is(err, syscall.ECONNRESET)
	}
	return !s.abandoned && !errors.Is(err, syscall.ETIMEDOUT)
}

// handleRead reuses or closes the connection after a reply was read or reading failed, delivers the result of the send,
// and reports whether the connection stays open. If the reply says that the target wants no requests for a while, the sends
// that wait for a connection end.
func (c *conn) handleRead(s *Send, reply *Reply, reusable bool, err error) bool {
	p := c.pool
	p.mu.Lock()
	keepOpen := err == nil && reusable && !c.writing && c.br.Buffered() == 0
	var next *Send
	var unsent []*Send
	if reply != nil && reply.RetryAfter > 0 {
		unsent = p.takeWaiting()
	}
	if err == nil {
		c.replied = true
		p.dialBackoff.Replied(time.Now())
	}
	if keepOpen {
		next = p.assign(c)
		_, keepOpen = p.all[c]
	} else {
		reason := ClosedAfterReply
		if err != nil {
			reason = ClosedBroken
		}
		p.drop(c, reason)
		p.dialIfNeeded()
	}
	p.mu.Unlock()
	c.deliverOnce(s, Result{Send: s, Reply: reply, Err: err})
	for _, waiting := range unsent {
		waiting.deliver(Result{Send: waiting, Err: fmt.Errorf("%w: %w", ErrNotSent, ErrTargetRests), At: time.Now()})
	}
	if next != nil {
		c.write(next)
	}
	return keepOpen
}

// deliverOnce delivers the result of a send that this connection carried, unless the send already has one.
func (c *conn) deliverOnce(s *Send, r Result) {
	c.pool.mu.Lock()
	done := s.done
	s.done, r.Abandoned = true, s.abandoned
	c.pool.mu.Unlock()
	if !done {
		r.At = time.Now()
		s.deliver(r)
	}
}

// read reads the whole reply to a send. It skips 1xx responses and replies to other requests; after a reply to another
// request the connection is not reusable.
func (c *conn) read(s *Send) (reply *Reply, reusable bool, err error) {
	reusable = true
	c.input.left = maxHeadBytes
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: s.Request.Method}) //nolint:bodyclose // readBody closes it
		if err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrMalformedReply, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		reply, foreign := c.pool.protocol.Interpret(resp, s.Request)
		headLeft := c.input.left
		c.input.left = maxReplyBytes + maxEncodingOverhead
		body, err := readBody(resp)
		c.input.left = headLeft
		if err != nil {
			return nil, false, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		reusable = reusable && !resp.Close && resp.ContentLength >= 0 || chunked(resp) && reusable && !resp.Close
		c.applyKeepAlive(resp.Header.Get("Keep-Alive"))
		if foreign {
			reusable = false
			continue
		}
		reply.Body = body
		return reply, reusable, nil
	}
}

func chunked(resp *http.Response) bool {
	return len(resp.TransferEncoding) > 0 && resp.TransferEncoding[0] == "chunked"
}

// readBody reads the whole body of a reply.
func readBody(resp *http.Response) ([]byte, error) {
	defer func() { _ = resp.Body.Close() }()
	return bodies.ReadAll(resp.Body, resp.ContentLength, maxReplyBytes)
}

// applyKeepAlive sets the idle limit from the timeout, in whole seconds, of the target's Keep-Alive header: idleMargin
// less than the timeout, but at least idleMargin/4 and at most the default idleLimit.
func (c *conn) applyKeepAlive(header string) {
	for part := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil && seconds > 0 {
			c.idleLimit = min(idleLimit, max(time.Duration(seconds)*time.Second-idleMargin, idleMargin/4))
		}
	}
}

// closeIfCarrying closes the connection if the send is still in flight on it.
func (c *conn) closeIfCarrying(s *Send) {
	c.pool.mu.Lock()
	carries := c.current == s && !s.done
	c.pool.mu.Unlock()
	if carries {
		_ = c.net.Close()
	}
}
