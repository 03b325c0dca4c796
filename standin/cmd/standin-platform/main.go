// Command standin-platform runs a stand-in for the platform's configuration service.
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
	Listen string        `long:"listen" required:"true" description:"IP address and port to listen on"`
	Lag    time.Duration `long:"lag" default:"5s" description:"time until readers see a changed list of VMs"`
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
	// Going down ends waiting watches at once, so that the shutdown does not wait for them.
	return serve.UntilSignal(l, p.Handler(), func() { p.SetDown(true) })
}
