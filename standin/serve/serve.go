// Package serve runs the HTTP server of a stand-in process until the process receives a stop signal.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Timeouts of a stand-in's HTTP server.
const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = 5 * time.Second
)

// UntilSignal serves HTTP on the listener until SIGINT or SIGTERM. It then calls onStop, gives in-flight requests 5 s
// to finish, and closes the connections of the remaining ones, such as pending watches. It returns nil after a stop by
// signal, and the server's error otherwise.
func UntilSignal(l net.Listener, handler http.Handler, onStop func()) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopCtx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		<-stopCtx.Done()
		onStop()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-shutdownDone
	return nil
}
