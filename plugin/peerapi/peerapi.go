// Package peerapi is the plug-in that listens for calls of other VMs and serves them with the peer handlers of the
// other plug-ins.
package peerapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/settings"
)

// HandlerGroup is the fx tag under which plug-ins provide a Handler.
const HandlerGroup = `group:"peer_handlers"`

// Handler is one service of the peer protocol.
type Handler struct {
	Path    string
	Handler http.Handler
}

// Limits of the peer listener.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// shutdownTime is how long a stopping listener waits for connections without calls to end. Peers keep theirs open, and
	// waiting for them would keep the process running beyond its stop bound.
	shutdownTime = 150 * time.Millisecond
	// maxStreams bounds the concurrent calls of one peer.
	maxStreams = 4096
)

func init() {
	kernel.Register(kernel.Plugin{Name: "peerapi", Options: func() fx.Option {
		return fx.Invoke(fx.Annotate(serve, fx.ParamTags("", "", "", "", HandlerGroup)))
	}})
}

func serve(lc fx.Lifecycle, s *settings.Settings, logger *log.Logger, state *lifecycle.State, handlers []Handler) {
	mux := http.NewServeMux()
	for _, h := range handlers {
		mux.Handle(h.Path, countInFlight(state, h.Handler))
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams}}
	register(lc, server, s.PeerListen, "peer", logger, func() bool { return state.Accepted(lifecycle.FromPeer) > 0 })
}

// countInFlight counts the running calls of peers, so that a drain waits for them.
func countInFlight(state *lifecycle.State, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		end := state.BeginPeer()
		defer end()
		next.ServeHTTP(w, r)
	})
}

// RegisterServer adds hooks that serve at the address from start, and shut the server down gracefully at stop. name is
// the name of the API in logs and errors.
func RegisterServer(lc fx.Lifecycle, server *http.Server, address, name string, logger *log.Logger) {
	register(lc, server, address, name, logger, func() bool { return true })
}

// register is RegisterServer for a server whose connections may be closed at stop, after shutdownTime, as soon as busy
// reports that it is running no call.
func register(lc fx.Lifecycle, server *http.Server, address, name string, logger *log.Logger, busy func() bool) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
			if err != nil {
				return fmt.Errorf("open %s listener: %w", name, err)
			}
			logger.Info("listening", "api", name, "address", l.Addr())
			go func() {
				if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					logger.Error("listener_failed", "api", name, "err", err)
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			short, cancel := context.WithTimeout(ctx, shutdownTime)
			defer cancel()
			err := server.Shutdown(short)
			if err != nil && busy() {
				err = server.Shutdown(ctx)
			} else if err != nil {
				return server.Close()
			}
			if err != nil {
				return errors.Join(fmt.Errorf("shut down %s listener: %w", name, err), server.Close())
			}
			return nil
		},
	})
}
