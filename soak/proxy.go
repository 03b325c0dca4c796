package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkMode is what a proxy does with the bytes of its connections.
type linkMode string

const (
	linkPass linkMode = "pass"
	// linkDelay delays each chunk by delayTime.
	linkDelay linkMode = "delay"
	// linkReset resets all open connections, and new ones on accept.
	linkReset linkMode = "reset"
	// linkOneWay drops data from the server; data from clients still arrives.
	linkOneWay linkMode = "one_way"
	// linkSilent drops data in both directions.
	linkSilent linkMode = "silent"
)

// delayTime is added in each direction. The 600 ms for request and reply are above the latency objective of the routes, so
// VMs must stop waiting for a delayed target.
const delayTime = 300 * time.Millisecond

// proxy forwards TCP connections to a server and can delay, reset or drop their data.
type proxy struct {
	Address  string
	listener net.Listener
	target   atomic.Pointer[string]
	mode     atomic.Pointer[linkMode]
	// dropped counts the chunks that were not forwarded.
	dropped atomic.Int64

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{Address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}}
	p.target.Store(&target)
	p.set(linkPass)
	go p.accept()
	return p, nil
}

// set changes the mode of open and future connections.
func (p *proxy) set(m linkMode) {
	p.mode.Store(&m)
	if m == linkReset {
		p.resetAll()
	}
}

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// retarget directs new connections to another server and resets the open ones.
func (p *proxy) retarget(address string) {
	p.target.Store(&address)
	p.resetAll()
}

// Close stops listening and resets all connections.
func (p *proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.resetAll()
}

// reset closes the connection with a TCP reset instead of a FIN.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

// track registers a connection and returns true. If the proxy is closed, it registers nothing and returns false.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) forward(client net.Conn) {
	if *p.mode.Load() == linkReset || !p.track(client) {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", *p.target.Load())
	if err != nil || !p.track(server) {
		reset(client)
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(server, client, false) })
	copies.Go(func() { p.copy(client, server, true) })
	copies.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

// copy forwards data until one side ends: EOF from the client half-closes the server side, EOF from the server closes the
// client side, and any other error resets both.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	buf := make([]byte, 16<<10)
	dropping := false
	for {
		n, err := from.Read(buf)
		switch {
		case n == 0:
		case dropping || p.drops(fromServer):
			// After a loss the connection delivers nothing more: TCP never delivers bytes past a gap.
			dropping = true
			p.dropped.Add(1)
		default:
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && fromServer:
			_ = to.Close()
			return
		case errors.Is(err, io.EOF):
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		default:
			reset(to)
			reset(from)
			return
		}
	}
}

// drops reports whether the chunk just read is dropped. In mode linkDelay it waits for delayTime first.
func (p *proxy) drops(fromServer bool) bool {
	switch *p.mode.Load() {
	case linkDelay:
		time.Sleep(delayTime)
	case linkOneWay:
		return fromServer
	case linkSilent:
		return true
	case linkPass, linkReset:
	}
	return false
}
