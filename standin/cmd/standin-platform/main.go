// Command standin-platform runs the stand-in platform.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"teaselbank.example/teaselbank/standin/platform"
)

type options struct {
	Listen string        `long:"listen" required:"true" description:"IP address and port"`
	Lag    time.Duration `long:"lag" default:"5s" description:"delay of the list of VMs"`
}

const headerTimeout = 5 * time.Second

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "standin-platform:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: platform.New(o.Lag).Handler(), ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}
