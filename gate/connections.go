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

// ConnectRate is how many connections to targets one VM opens each second, so that a change of owner opens no storm.
const ConnectRate = 50

// burst connections may open at once. A second holds the burst and what the rate adds, so the rate leaves room for it.
const burst = 1

// readyMaxAge is how long an unused connection is kept: targets close idle ones after a time of their own.
const readyMaxAge = 30 * time.Second

// errPoolClosed says that the target is no longer owned.
var errPoolClosed = errors.New("the connections of the target are closed")

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Opener opens the connections of one VM to all its targets, at most ConnectRate a second.
type Opener struct {
	clock   clockwork.Clock
	dial    DialFunc
	limiter *rate.Limiter
}

// NewOpener returns an opener over a dial function, which has to bound its own time.
func NewOpener(clock clockwork.Clock, dial DialFunc) *Opener {
	return &Opener{clock: clock, dial: dial, limiter: rate.NewLimiter(ConnectRate-burst, burst)}
}

// schedule opens a connection, when the rate permits or at once.
func (o *Opener) schedule(address string, atOnce bool, done func(net.Conn, error)) {
	now := o.clock.Now()
	open := func() { done(o.dial(context.Background(), "tcp", address)) }
	if atOnce {
		go open()
		return
	}
	if delay := o.limiter.ReserveN(now, 1).DelayFrom(now); delay > 0 {
		o.clock.AfterFunc(delay, open)
		return
	}
	go open()
}

// Pool holds the connections to one target: those handed out and those opened ahead of need.
type Pool struct {
	opener  *Opener
	address string

	mu    sync.Mutex
	limit int
	ahead int
	// open counts connections that are open or being opened; opening counts the latter.
	open    int
	opening int
	// spare counts connections to a warm target that were in use and closed. Their replacements are not bound to the
	// rate: a cancelled request closes its connection, and hedging cancels more requests than the rate allows for. A
	// target that fails and closes all its connections is cold, and is dialed at the rate.
	spare   int
	warm    bool
	ready   []readyConn
	waiting []chan dialed
}

type readyConn struct {
	net.Conn
	since time.Time
}

type dialed struct {
	conn net.Conn
	err  error
}

// NewPool returns a pool that may open up to limit connections.
func (o *Opener) NewPool(address string, limit int) *Pool {
	return &Pool{opener: o, address: address, limit: limit}
}

// Hold implements Connections.
func (p *Pool) Hold(limit, ahead int, warm bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.ahead, p.warm = limit, min(ahead, limit), warm
	if !warm {
		p.spare = 0
	}
	if ahead == 0 && len(p.waiting) == 0 {
		p.dropReady()
	}
	p.advance()
}

// Close closes the unused connections and fails the dials that wait.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.ahead, p.spare = 0, 0, 0
	p.dropReady()
	for _, w := range p.waiting {
		w <- dialed{err: errPoolClosed}
	}
	p.waiting = nil
}

// Dial returns a connection that is open already, or waits for one.
func (p *Pool) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	p.mu.Lock()
	w := make(chan dialed, 1)
	p.waiting = append(p.waiting, w)
	p.advance()
	p.mu.Unlock()
	select {
	case d := <-w:
		return d.conn, d.err
	case <-ctx.Done():
		p.leave(w)
		return nil, ctx.Err()
	}
}

// leave takes a dial out of the wait; a connection that came at the same moment is kept for the next one.
func (p *Pool) leave(w chan dialed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.waiting {
		if p.waiting[i] == w {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
	if d := <-w; d.conn != nil {
		p.ready = append(p.ready, readyConn{d.conn, p.opener.clock.Now()})
		p.advance()
	}
}

// advance serves waiting dials from the ready connections, and opens what is missing.
func (p *Pool) advance() {
	now := p.opener.clock.Now()
	for len(p.ready) > 0 && len(p.waiting) > 0 {
		c := p.ready[len(p.ready)-1]
		p.ready = p.ready[:len(p.ready)-1]
		if now.Sub(c.since) > readyMaxAge {
			p.discard(c.Conn)
			continue
		}
		p.waiting[0] <- dialed{conn: c.Conn}
		p.waiting = p.waiting[1:]
	}
	for p.open < p.limit && p.opening < len(p.waiting) {
		p.start()
	}
	// One connection at a time is opened ahead of need, so that a request's own dial waits behind few others.
	if p.open < p.ahead && p.opening == 0 {
		p.start()
	}
}

func (p *Pool) start() {
	p.open++
	p.opening++
	replaces := p.spare > 0
	if replaces {
		p.spare--
	}
	p.opener.schedule(p.address, replaces, p.opened)
}

func (p *Pool) opened(conn net.Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.open--
		if len(p.waiting) > 0 {
			p.waiting[0] <- dialed{err: err}
			p.waiting = p.waiting[1:]
			p.advance()
		}
		// Without a waiting dial nothing is tried again until the next call: a target that refuses connections is not
		// dialed in a loop.
		return
	}
	c := &pooledConn{Conn: conn, pool: p}
	if p.open > p.limit {
		p.discard(c)
		return
	}
	p.ready = append(p.ready, readyConn{c, p.opener.clock.Now()})
	p.advance()
}

func (p *Pool) dropReady() {
	for _, c := range p.ready {
		p.discard(c.Conn)
	}
	p.ready = nil
}

// discard closes a connection; the pool is locked.
func (p *Pool) discard(c net.Conn) {
	pc := c.(*pooledConn)
	pc.once.Do(func() { p.open-- })
	_ = pc.Conn.Close()
}

// pooledConn counts its close.
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
			c.pool.spare = min(c.pool.spare+1, c.pool.limit)
		}
		c.pool.advance()
	})
	return c.Conn.Close()
}
