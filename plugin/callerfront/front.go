package callerfront

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/topology"
)

// acceptRetry is the pause after a failed accept, for example when the process has run out of file descriptors.
const acceptRetry = 20 * time.Millisecond

// limits bound the size of request headers, the time to receive them, and how long a connection may be idle.
type limits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

func limitsOf(s *topology.Snapshot) limits {
	l := limits{headerBytes: defaultMaxHeaderBytes, headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout}
	if s.Table == nil {
		return l
	}
	configured := s.Table.Limits
	if configured.MaxHeaderBytes > 0 {
		l.headerBytes = configured.MaxHeaderBytes
	}
	if configured.HeaderTimeout > 0 {
		l.headerTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		l.idleTimeout = configured.IdleTimeout
	}
	return l
}

// front passes accepted connections to an HTTP server with the current limits. A connection keeps the limits under
// which it was accepted, because the limits of a server cannot be changed while it runs.
type front struct {
	handler http.Handler
	logger  *log.Logger

	// open counts callers' connections.
	open atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	servers  []*limitedServer
	closed   bool
}

// limitedServer is an HTTP server with one set of limits.
type limitedServer struct {
	limits
	server *http.Server
	queue  *handoffListener
}

func newFront(handler http.Handler, logger *log.Logger) *front {
	return &front{handler: handler, logger: logger}
}

// setLimits applies limits to connections that are accepted from now on, by starting a server with them.
func (f *front) setLimits(l limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.servers) > 0 && f.newest().limits == l {
		return
	}
	next := &limitedServer{limits: l, queue: newHandoffListener(), server: &http.Server{Handler: f.handler, MaxHeaderBytes: l.headerBytes,
		ReadHeaderTimeout: l.headerTimeout, IdleTimeout: l.idleTimeout, ConnState: f.countConn}}
	f.servers = append(f.servers, next)
	f.logger.Info("limits", "header_bytes", l.headerBytes, "header_timeout", l.headerTimeout, "idle_timeout", l.idleTimeout)
	go func() {
		if err := next.server.Serve(next.queue); !errors.Is(err, http.ErrServerClosed) {
			f.logger.Error("server_failed", "err", err)
		}
	}()
}

func (f *front) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

func (f *front) newest() *limitedServer { return f.servers[len(f.servers)-1] }

// accept passes accepted connections to the newest server until closeListener closes the listener.
func (f *front) accept(l net.Listener) {
	f.mu.Lock()
	f.listener = l
	f.mu.Unlock()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.logger.Warn("accept_failed", "err", err)
			time.Sleep(acceptRetry)
			continue
		}
		f.mu.Lock()
		queue := f.newest().queue
		f.mu.Unlock()
		queue.put(conn)
	}
}

// closeListener stops accepting connections. Open connections are kept.
func (f *front) closeListener() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener == nil {
		return
	}
	if err := f.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		f.logger.Warn("listener_close", "err", err)
	}
}

// shutdown closes the listener and idle connections, and waits until the other connections have ended or the context
// ends.
func (f *front) shutdown(ctx context.Context) error {
	f.closeListener()
	f.mu.Lock()
	f.closed = true
	servers := f.servers
	f.mu.Unlock()
	errs := make([]error, len(servers))
	var wg sync.WaitGroup
	for i, s := range servers {
		wg.Go(func() { errs[i] = s.server.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// handoffListener is a net.Listener that returns connections accepted by another listener.
type handoffListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newHandoffListener() *handoffListener {
	return &handoffListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (h *handoffListener) put(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (h *handoffListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoffListener) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handoffListener) Addr() net.Addr { return &net.TCPAddr{} }
