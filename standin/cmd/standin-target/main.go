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
	ID              string        `long:"id" required:"true" description:"ID of the target"`
	Listen          string        `long:"listen" required:"true" description:"IP address and port to listen on"`
	Snapshots       []string      `long:"snapshot" required:"true" description:"ID of a snapshot that the target holds; repeat it for each one, from oldest to newest"`
	Slots           int           `long:"slots" default:"6" description:"maximum number of concurrent requests"`
	ColdSlots       int           `long:"cold-slots" default:"1" description:"maximum number of concurrent requests while the target is cold"`
	ColdRequests    int           `long:"cold-requests" default:"0" description:"number of requests that must finish before the target is warm"`
	ColdFailure     time.Duration `long:"cold-failure" default:"2s" description:"time without replies after an overload while the target is cold"`
	Connections     int           `long:"connections" default:"50" description:"maximum number of open connections"`
	ServiceTime     time.Duration `long:"service-time" default:"2ms" description:"processing time of one request"`
	StragglerShare  float64       `long:"straggler-share" default:"0" description:"share of slow requests, from 0 to 1"`
	StragglerFactor float64       `long:"straggler-factor" default:"20" description:"processing time of a slow request as a multiple of the service time"`
	CrashOn         string        `long:"crash-on" description:"text that crashes the target when a query contains it"`
	HealthLag       time.Duration `long:"health-lag" default:"10s" description:"time from the start of draining until the health endpoint reports it"`
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
