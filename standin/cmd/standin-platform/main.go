// Command standin-platform runs the stand-in platform.
package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"teaselbank.example/teaselbank/standin/platform"
	"teaselbank.example/teaselbank/standin/serve"
)

type options struct {
	Listen string        `long:"listen" required:"true" description:"IP address and port"`
	Lag    time.Duration `long:"lag" default:"5s" description:"delay of the list of VMs"`
}

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
	p := platform.New(o.Lag)
	// Waiting watches end at once, so that a stop does not wait for them.
	return serve.UntilSignal(l, p.Handler(), func() { p.SetDown(true) })
}
