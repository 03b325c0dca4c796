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

// acceptRetry is the pause after a failure to accept, such as a lack of descriptors.
const acceptRetry = 20 * time.Millisecond

// limits bound what callers send and how long they take.
type limits struct {
	headerBytes          int
	headerTime, idleTime time.Duration
}

func limitsOf(s *topology.Snapshot) limits {
	l := limits{headerBytes: defaultMaxHeaderBytes, headerTime: defaultHeaderTimeout, idleTime: defaultIdleTimeout}
	if s.Table == nil {
		return l
	}
	stated := s.Table.Limits
	if stated.MaxHeaderBytes > 0 {
		l.headerBytes = stated.MaxHeaderBytes
	}
	if stated.HeaderTimeout > 0 {
		l.headerTime = stated.HeaderTimeout
	}
	if stated.IdleTimeout > 0 {
		l.idleTime = stated.IdleTimeout
	}
	return l
}

// front hands accepted connections to an HTTP server with the limits in force. A connection keeps the limits under
// which it was accepted, because a server's limits can't be changed while it runs.
type front struct {
	handler http.Handler
	logger  *log.Logger

	// open counts callers' connections.
	open atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	servers  []*limited
	closed   bool
}

// limited is a server with one set of limits.
type limited struct {
	limits
	server *http.Server
	queue  *handoff
}

func newFront(handler http.Handler, logger *log.Logger) *front {
	return &front{handler: handler, logger: logger}
}

// use makes limits hold for connections that are accepted from now on.
func (f *front) use(l limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.servers) > 0 && f.newest().limits == l {
		return
	}
	next := &limited{limits: l, queue: newHandoff(), server: &http.Server{Handler: f.handler, MaxHeaderBytes: l.headerBytes,
		ReadHeaderTimeout: l.headerTime, IdleTimeout: l.idleTime, ConnState: f.count}}
	f.servers = append(f.servers, next)
	f.logger.Info("limits", "header_bytes", l.headerBytes, "header_timeout", l.headerTime, "idle_timeout", l.idleTime)
	go func() {
		if err := next.server.Serve(next.queue); !errors.Is(err, http.ErrServerClosed) {
			f.logger.Error("server_failed", "err", err)
		}
	}()
}

func (f *front) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

func (f *front) newest() *limited { return f.servers[len(f.servers)-1] }

// accept runs until the listener is closed by shutdown.
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

// closeListener accepts no more connections; those that are open go on.
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

// shutdown closes connections without a request and waits until the others have ended, or the context.
func (f *front) shutdown(ctx context.Context) error {
	f.closeListener()
	f.mu.Lock()
	f.closed = true
	servers := f.servers
	f.mu.Unlock()
	errs := make([]error, len(servers))
	var waiting sync.WaitGroup
	for i, s := range servers {
		waiting.Go(func() { errs[i] = s.server.Shutdown(ctx) })
	}
	waiting.Wait()
	return errors.Join(errs...)
}

// handoff is a listener that gets its connections from another one.
type handoff struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newHandoff() *handoff {
	return &handoff{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (h *handoff) put(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.done:
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handoff) Addr() net.Addr { return &net.TCPAddr{} }
