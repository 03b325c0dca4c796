package leafconn

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
)

// Limits of connections.
const (
	// DialTimeout bounds an attempt to connect. It is long enough for one lost packet and its retransmission.
	DialTimeout = 1200 * time.Millisecond
	// idleLimit is how long a connection may stay idle before it is closed. Targets that close idle connections earlier
	// state so in the Keep-Alive header, or just close them.
	idleLimit = 20 * time.Second
	// idleMargin is how long before the idle timeout stated by the target a connection is closed.
	idleMargin = time.Second
	// maxInlineWrite is the expected maximum size of a request that is written on the goroutine of its sender. Only
	// requests with a body of up to maxInlineWrite/2 are. Socket buffers hold more than maxInlineWrite, so that the write
	// does not block.
	maxInlineWrite = 4 << 10
	// writeTimeout bounds the write of a large request, in case the target does not read from the connection.
	writeTimeout = 2 * time.Second
	// maxWaiting bounds the queue of sends that wait for a connection to one target.
	maxWaiting = 64
)

// Dialer opens network connections; *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds the connections to one target and queues sends that wait for a connection. It is safe for concurrent use.
type Pool struct {
	target   ident.TargetID
	address  string
	protocol Protocol
	dialer   Dialer
	// onDial is called with the duration and error of each attempt to open a pooled connection.
	onDial func(took time.Duration, err error)
	stats  *Stats

	mu sync.Mutex
	// limit is the maximum number of connections, open or being opened.
	limit int
	// idle is a stack: the connection used last is at the end.
	idle []*conn
	// all holds every open connection, idle or in use.
	all map[*conn]struct{}
	// dialing counts the connections being opened that will be kept.
	dialing int
	// waiting queues the sends that wait for a connection, in order of submission.
	waiting []*Send
	closed  bool
	// dialBackoff tracks whether the target resets new connections. While it does, Free counts only idle connections
	// and Warm opens none.
	dialBackoff dispatch.DialBackoff
}

// NewPool returns a pool of up to limit connections; none is opened yet. onDial must not be nil: it is called after each
// attempt to open a pooled connection, with its duration and error.
func NewPool(target ident.TargetID, address string, protocol Protocol, dialer Dialer, limit int, stats *Stats, onDial func(time.Duration, error)) *Pool {
	return &Pool{target: target, address: address, protocol: protocol, dialer: dialer, limit: limit, stats: stats, onDial: onDial, all: map[*conn]struct{}{}}
}

// SetLimit changes the maximum number of connections. A connection above it is closed once it finishes a send and no
// other send waits for a connection.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Free returns how many sends could be submitted now without waiting for another send to end. Connections that could
// still be opened count, unless the target recently reset a new connection.
func (p *Pool) Free(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialBackoff.Active(now) {
		return max(0, len(p.idle)-len(p.waiting))
	}
	return max(0, len(p.idle)+p.limit-len(p.all)-p.dialing-len(p.waiting)+min(p.dialing, len(p.waiting)))
}

// Submit sends at once on an idle connection, or queues the send until a connection is free. It returns false, and
// delivers no result, if the pool is closed, its limit is 0 or its queue is full.
func (p *Pool) Submit(s *Send, now time.Time) bool {
	s.pool, s.Started = p, now
	p.mu.Lock()
	if p.closed || p.limit == 0 || len(p.waiting) >= maxWaiting {
		p.mu.Unlock()
		return false
	}
	c := p.takeIdle(s.Request, now)
	if c == nil {
		p.waiting = append(p.waiting, s)
		p.dialIfNeeded()
		p.mu.Unlock()
		return true
	}
	c.carry(s)
	p.mu.Unlock()
	c.write(s)
	return true
}

// takeIdle removes and returns the idle connection that was used last and has not carried the request, and closes expired
// connections that it finds on the way. It returns nil if there is none; p.mu must be held.
func (p *Pool) takeIdle(r *Request, now time.Time) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		switch {
		case now.Sub(c.idleSince) >= c.idleLimit:
			p.drop(c, ClosedIdle)
		case !r.carriedBy(c):
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// drop removes a connection from the pool, closes it and counts the reason once; p.mu must be held.
func (p *Pool) drop(c *conn, reason CloseReason) {
	if _, known := p.all[c]; known {
		p.stats.closed[reason].Add(1)
	}
	delete(p.all, c)
	p.idle = slices.DeleteFunc(p.idle, func(o *conn) bool { return o == c })
	_ = c.net.Close()
}

// dialIfNeeded opens a connection if more sends wait than connections are being opened and the limit allows it; p.mu
// must be held. A connection that is idle although sends wait has carried their requests, and is closed if the limit
// leaves no room for a further one.
func (p *Pool) dialIfNeeded() {
	if p.closed || p.dialing >= len(p.waiting) {
		return
	}
	for len(p.all)+p.dialing >= p.limit {
		if len(p.idle) == 0 {
			return
		}
		p.drop(p.idle[0], ClosedForResend)
	}
	p.dialing++
	go func() { _ = p.dial() }() // dial reports failures to onDial and to the waiting sends
}

// Warm opens one connection ahead of need if fewer than count are open, none is being opened and the target did not
// recently reset a new one. Repeated calls bring the pool up to count connections, one at a time.
func (p *Pool) Warm(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.dialBackoff.Active(time.Now()) || p.dialing > 0 || len(p.all) >= min(count, p.limit) {
		return
	}
	p.dialing++
	go func() { _ = p.dial() }() // dial reports failures to onDial and to the waiting sends
}

// Probe connects to the target in the background to check that it is reachable, and calls done with the error. The
// connection is kept if the pool has none and its limit allows one. On a closed pool Probe does nothing.
func (p *Pool) Probe(done func(error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	keep := p.limit > 0 && len(p.all)+p.dialing == 0
	if keep {
		p.dialing++
	}
	go func() {
		if keep {
			done(p.dial())
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
		defer cancel()
		nc, err := p.dialer.DialContext(ctx, "tcp", p.address)
		if err == nil {
			_ = nc.Close()
		}
		done(err)
	}()
}

// dial opens a connection, adds it to the pool and assigns the first waiting send to it. The caller must have
// incremented p.dialing.
func (p *Pool) dial() error {
	ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
	defer cancel()
	start := time.Now()
	nc, err := p.dialer.DialContext(ctx, "tcp", p.address)
	p.onDial(time.Since(start), err)
	p.mu.Lock()
	p.dialing--
	if err != nil {
		failed := p.takeWaitingIfStuck()
		p.mu.Unlock()
		for _, s := range failed {
			s.deliver(Result{Send: s, Err: fmt.Errorf("%w: %w", ErrNotSent, err), At: time.Now()})
		}
		return err
	}
	if p.closed {
		p.mu.Unlock()
		_ = nc.Close()
		return nil
	}
	p.stats.opened.Add(1)
	c := newConn(p, nc)
	p.all[c] = struct{}{}
	s := p.assign(c)
	p.dialIfNeeded()
	p.mu.Unlock()
	go c.run()
	if s != nil {
		c.write(s)
	}
	return nil
}

// takeWaitingIfStuck empties and returns the queue if no connection is in use or being opened, so that none will become
// free to serve it; p.mu must be held.
func (p *Pool) takeWaitingIfStuck() []*Send {
	if len(p.all)-len(p.idle)+p.dialing > 0 {
		return nil
	}
	return p.takeWaiting()
}

// assign gives a free connection to the first waiting send whose request it has not carried, and returns that send. If
// there is none, it returns nil and makes the connection idle, or closes it if the pool is closed or above its limit; p.mu
// must be held.
func (p *Pool) assign(c *conn) *Send {
	c.current = nil
	if i := slices.IndexFunc(p.waiting, func(s *Send) bool { return !s.Request.carriedBy(c) }); i >= 0 {
		s := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		c.carry(s)
		return s
	}
	if p.closed || len(p.all) > p.limit {
		p.drop(c, ClosedSpare)
	} else {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	p.dialIfNeeded()
	return nil
}

// Abandon notifies the pool that the caller no longer needs the result of a send. A send that still waits for a
// connection ends at once with ErrNotSent. A send in flight gets the grace period to complete, so that its connection can
// be reused; after that the connection is closed. Either way Done is called, with Result.Abandoned set.
func (s *Send) Abandon(grace time.Duration) {
	p := s.pool
	p.mu.Lock()
	if s.done {
		p.mu.Unlock()
		return
	}
	s.abandoned = true
	if s.conn == nil {
		s.done = true
		p.waiting = slices.DeleteFunc(p.waiting, func(o *Send) bool { return o == s })
		p.mu.Unlock()
		s.deliver(Result{Send: s, Err: fmt.Errorf("%w: %w", ErrNotSent, ErrAbandoned), At: time.Now(), Abandoned: true})
		return
	}
	c := s.conn
	p.mu.Unlock()
	if grace <= 0 {
		c.closeIfCarrying(s)
		return
	}
	time.AfterFunc(grace, func() { c.closeIfCarrying(s) })
}

func (s *Send) deliver(r Result) { s.Done(r) }

// takeWaiting empties and returns the queue; p.mu must be held.
func (p *Pool) takeWaiting() []*Send {
	waiting := p.waiting
	p.waiting = nil
	for _, s := range waiting {
		s.done = true
	}
	return waiting
}

// Close closes the pool. Idle connections are closed at once, the others after their reply. Waiting sends end with
// ErrNotSent.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	failed := p.takeWaiting()
	for _, c := range slices.Clone(p.idle) {
		p.drop(c, ClosedSpare)
	}
	p.mu.Unlock()
	for _, s := range failed {
		s.deliver(Result{Send: s, Err: fmt.Errorf("%w: connection pool closed because the target is no longer in use", ErrNotSent), At: time.Now()})
	}
}

// CloseExpired closes connections that reached their idle limit.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.Clone(p.idle) {
		if now.Sub(c.idleSince) >= c.idleLimit {
			p.drop(c, ClosedIdle)
		}
	}
}
