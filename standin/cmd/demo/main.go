// Command demo runs the whole system on one machine: a platform, targets in three availability zones and eight daemons
// as separate processes. It publishes signed bundles, runs searches and an order, kills a target, and takes an
// availability zone out and puts it back.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/standin/fleet"
)

type options struct {
	Bin  string `long:"bin" default:"bin" description:"directory of the built programs"`
	Dir  string `long:"dir" default:"out/demo" description:"directory for logs and keys"`
	Hold bool   `long:"hold" description:"keep the fleet running after the demonstration until interrupted, and print example commands"`
}

// demoTimeout bounds the start of the fleet and the demonstration; the wait of --hold is not limited.
const demoTimeout = 55 * time.Second

var zones = []ident.Zone{"petrosani", "lupeni", "vulcan"}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	signals, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signals, demoTimeout)
	defer cancel()
	bin, err := filepath.Abs(o.Bin)
	if err != nil {
		return err
	}
	start := time.Now()
	f, err := fleet.Start(ctx, fleetOptions(bin, o.Dir))
	if err != nil {
		return err
	}
	fmt.Printf("started platform, %d targets and %d daemons in %d availability zones in %s\n",
		len(f.Targets), len(f.Daemons), len(zones), time.Since(start).Round(time.Millisecond))
	err = walk(ctx, f)
	if err == nil && o.Hold {
		hold(signals, f)
	}
	if stopErr := f.Stop(); stopErr != nil {
		return errors.Join(err, fmt.Errorf("stop fleet gracefully: %w", stopErr))
	}
	if err == nil {
		fmt.Printf("stopped everything gracefully; %s in all\n", time.Since(start).Round(time.Millisecond))
	}
	return err
}

func fleetOptions(bin, dir string) fleet.Options {
	return fleet.Options{
		BinDir: bin, Dir: dir, Zones: zones, VMs: 8, PlatformLag: 2 * time.Second,
		DaemonArgs: []string{"--balancer-delay=200ms", "--drain-timeout=10s", "--peer-grace=2s"},
		Services: []fleet.ServiceSpec{
			{ID: "dispecerat", Shards: 3, Zones: zones, Slots: 6, ColdSlots: 2, Connections: 50,
				TargetArgs: []string{"--service-time=3ms", "--straggler-share=0.01"}},
			{ID: "depou-incarcare", Shards: 4, Zones: zones[:1], Slots: 2, ColdSlots: 1, Connections: 110,
				TargetArgs: []string{"--service-time=2ms"}},
		},
	}
}

// hold prints example commands and waits until ctx ends.
func hold(ctx context.Context, f *fleet.Fleet) {
	fmt.Printf("\nrunning until interrupted; try:\n  curl -s http://%s/v1/search -d '{\"service\":\"dispecerat\",\"query\":{\"bunker\":\"Lupeni 4\"}}'\n",
		f.Daemons[0].CallerAddress)
	fmt.Printf("  bin/teaselbank status --vm http://%s\n", f.Daemons[0].OpsAddress)
	<-ctx.Done()
}
