// Package serve runs the HTTP server of a stand-in until it is told to stop.
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

// Limits of a stand-in's server.
const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 5 * time.Second
)

// UntilSignal serves on the listener until SIGINT or SIGTERM. stopping runs first; then running requests have 5 s to
// end, and whatever is left, such as a waiting watch, is cut off.
func UntilSignal(l net.Listener, handler http.Handler, stopping func()) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-ctx.Done()
		stopping()
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ended
	return nil
}
