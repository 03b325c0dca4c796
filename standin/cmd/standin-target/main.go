// Command standin-target runs one stand-in target.
package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/net/netutil"

	"teaselbank.example/teaselbank/standin/serve"
	"teaselbank.example/teaselbank/standin/target"
)

type options struct {
	ID              string        `long:"id" required:"true" description:"name of the target"`
	Listen          string        `long:"listen" required:"true" description:"IP address and port"`
	Snapshots       []string      `long:"snapshot" required:"true" description:"snapshot held, from oldest to newest; may be repeated"`
	Slots           int           `long:"slots" default:"6" description:"requests that run at once"`
	ColdSlots       int           `long:"cold-slots" default:"1" description:"requests it bears in cold start"`
	ColdRequests    int           `long:"cold-requests" default:"0" description:"requests that warm it up"`
	ColdFailure     time.Duration `long:"cold-failure" default:"2s" description:"time it answers nothing after an overload in cold start"`
	Connections     int           `long:"connections" default:"50" description:"connections it accepts"`
	ServiceTime     time.Duration `long:"service-time" default:"2ms" description:"time of one request"`
	StragglerShare  float64       `long:"straggler-share" default:"0" description:"share of slow requests, from 0 to 1"`
	StragglerFactor float64       `long:"straggler-factor" default:"20" description:"how many times longer they take"`
	CrashOn         string        `long:"crash-on" description:"a query that contains this text crashes the target"`
	HealthLag       time.Duration `long:"health-lag" default:"10s" description:"delay of the health endpoint"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "standin-target:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	t := target.New(target.Options{ID: o.ID, Snapshots: o.Snapshots, Slots: o.Slots, ColdSlots: o.ColdSlots,
		ColdRequests: o.ColdRequests, ColdFailure: o.ColdFailure, ServiceTime: o.ServiceTime,
		StragglerShare: o.StragglerShare, StragglerFactor: o.StragglerFactor, HealthLag: o.HealthLag, CrashOn: o.CrashOn})
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	return serve.UntilSignal(netutil.LimitListener(l, o.Connections), t.Handler(), func() { t.SetDraining(true) })
}
