package gate

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// ConnectRate is the maximum number of connections per second that one VM opens to targets, so that a change of owner
// does not cause a connection storm. Replacements of closed connections to warm targets are exempt.
const ConnectRate = 50

// connectBurst is the number of connections that may be opened at once. Within one second, the burst and the
// connections that the limiter's rate permits may be opened, so the limiter's rate is ConnectRate less the burst.
const connectBurst = 1

// readyMaxAge is how long an unused connection is kept, because targets close idle connections after a timeout of their
// own.
const readyMaxAge = 30 * time.Second

// errPoolClosed is returned by dials that wait when the pool is closed.
var errPoolClosed = errors.New("connection pool closed: this VM no longer owns the target")

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// RateLimitedDialer opens the connections of one VM to all its targets, limited to ConnectRate per second.
type RateLimitedDialer struct {
	clock   clockwork.Clock
	dial    DialFunc
	limiter *rate.Limiter
}

// NewRateLimitedDialer returns a RateLimitedDialer that uses dial, which must apply a timeout of its own.
func NewRateLimitedDialer(clock clockwork.Clock, dial DialFunc) *RateLimitedDialer {
	return &RateLimitedDialer{clock: clock, dial: dial, limiter: rate.NewLimiter(ConnectRate-connectBurst, connectBurst)}
}

// schedule opens a connection in the background, immediately or as soon as the rate limit permits, and passes the
// result to done.
func (d *RateLimitedDialer) schedule(address string, immediate bool, done func(net.Conn, error)) {
	now := d.clock.Now()
	open := func() { done(d.dial(context.Background(), "tcp", address)) }
	if immediate {
		go open()
		return
	}
	if delay := d.limiter.ReserveN(now, 1).DelayFrom(now); delay > 0 {
		d.clock.AfterFunc(delay, open)
		return
	}
	go open()
}

// Pool opens the connections to one target and bounds their number. It counts connections in use and keeps those that
// were opened in advance.
type Pool struct {
	dialer  *RateLimitedDialer
	address string

	mu      sync.Mutex
	limit   int
	minOpen int
	// open counts connections that are open or being opened; opening counts only those being opened.
	open    int
	opening int
	// replacements counts connections to a warm target that were closed after use and may be replaced without the rate
	// limit: a cancelled request closes its connection, and hedging cancels more requests than the rate allows for. A
	// target that fails and closes all its connections is cold, and is dialed at the limited rate.
	replacements int
	warm         bool
	ready        []readyConn
	waiters      []chan dialResult
}

type readyConn struct {
	net.Conn
	readySince time.Time
}

type dialResult struct {
	conn net.Conn
	err  error
}

// NewPool returns a pool for the target at address that opens at most limit connections.
func (d *RateLimitedDialer) NewPool(address string, limit int) *Pool {
	return &Pool{dialer: d, address: address, limit: limit}
}

// Resize implements ConnectionPool.
func (p *Pool) Resize(limit, minOpen int, warm bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.minOpen, p.warm = limit, min(minOpen, limit), warm
	if !warm {
		p.replacements = 0
	}
	if minOpen == 0 && len(p.waiters) == 0 {
		p.closeReady()
	}
	p.reconcile()
}

// Close closes the unused connections and makes waiting dials fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.minOpen, p.replacements = 0, 0, 0
	p.closeReady()
	for _, w := range p.waiters {
		w <- dialResult{err: errPoolClosed}
	}
	p.waiters = nil
}

// Dial returns an open connection from the pool, or waits until one is opened. The network and address arguments are
// ignored.
func (p *Pool) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	p.mu.Lock()
	w := make(chan dialResult, 1)
	p.waiters = append(p.waiters, w)
	p.reconcile()
	p.mu.Unlock()
	select {
	case d := <-w:
		return d.conn, d.err
	case <-ctx.Done():
		p.abandon(w)
		return nil, ctx.Err()
	}
}

// abandon removes a dial that is no longer wanted. If a connection was delivered to it at the same moment, the
// connection is kept for the next dial.
func (p *Pool) abandon(w chan dialResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.waiters {
		if p.waiters[i] == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	if d := <-w; d.conn != nil {
		p.ready = append(p.ready, readyConn{d.conn, p.dialer.clock.Now()})
		p.reconcile()
	}
}

// reconcile gives ready connections to waiting dials, and starts opening those that are missing. p.mu must be held.
func (p *Pool) reconcile() {
	now := p.dialer.clock.Now()
	for len(p.ready) > 0 && len(p.waiters) > 0 {
		c := p.ready[len(p.ready)-1]
		p.ready = p.ready[:len(p.ready)-1]
		if now.Sub(c.readySince) > readyMaxAge {
			p.discard(c.Conn)
			continue
		}
		p.waiters[0] <- dialResult{conn: c.Conn}
		p.waiters = p.waiters[1:]
	}
	for p.open < p.limit && p.opening < len(p.waiters) {
		p.openOne()
	}
	// Connections are opened in advance one at a time, so that a dial for a request waits behind few others.
	if p.open < p.minOpen && p.opening == 0 {
		p.openOne()
	}
}

// openOne schedules one connection. p.mu must be held.
func (p *Pool) openOne() {
	p.open++
	p.opening++
	replaces := p.replacements > 0
	if replaces {
		p.replacements--
	}
	p.dialer.schedule(p.address, replaces, p.onDialed)
}

// onDialed takes the result of a scheduled dial.
func (p *Pool) onDialed(conn net.Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.open--
		if len(p.waiters) > 0 {
			p.waiters[0] <- dialResult{err: err}
			p.waiters = p.waiters[1:]
			p.reconcile()
		}
		// If no dial waits, the next attempt is made at the next call, so that a target that refuses connections is not
		// dialed in a loop.
		return
	}
	c := &pooledConn{Conn: conn, pool: p}
	if p.open > p.limit {
		p.discard(c)
		return
	}
	p.ready = append(p.ready, readyConn{c, p.dialer.clock.Now()})
	p.reconcile()
}

// closeReady closes the connections that are not in use. p.mu must be held.
func (p *Pool) closeReady() {
	for _, c := range p.ready {
		p.discard(c.Conn)
	}
	p.ready = nil
}

// discard closes a connection. p.mu must be held.
func (p *Pool) discard(c net.Conn) {
	pc := c.(*pooledConn)
	pc.once.Do(func() { p.open-- })
	_ = pc.Conn.Close()
}

// pooledConn is a connection that updates the counts of its pool when it is closed.
type pooledConn struct {
	net.Conn
	pool *Pool
	once sync.Once
}

// Close implements net.Conn.
func (c *pooledConn) Close() error {
	c.once.Do(func() {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		c.pool.open--
		if c.pool.warm {
			c.pool.replacements = min(c.pool.replacements+1, c.pool.limit)
		}
		c.pool.reconcile()
	})
	return c.Conn.Close()
}
