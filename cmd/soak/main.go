// Command soak runs daemons on this machine under random faults, and checks the guarantees of the system.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"teaselbank.example/teaselbank/soak"
)

// Exit codes. exitFailed means that a run failed or was interrupted.
const (
	exitFailed   = 1
	exitBadFlags = 2
)

type options struct {
	Seed    int64         `long:"seed" default:"1" description:"first seed"`
	Seeds   int           `long:"seeds" default:"1" description:"number of seeds to run, counted up from the first"`
	Jobs    int           `long:"jobs" default:"1" description:"number of seeds to run concurrently"`
	VMs     int           `long:"vms" default:"4" description:"number of VMs in each run, from 2 to 200"`
	Clients int           `long:"clients" default:"4" description:"number of clients of each VM"`
	Faults  time.Duration `long:"faults" default:"12s" description:"how long faults are injected"`
	Binary  string        `long:"binary" default:"bin/teaselbankd" description:"path of the daemon's binary"`
	Dir     string        `long:"dir" default:"out/soak" description:"directory for settings files and logs"`
	Untimed bool          `long:"untimed" description:"skip the checks of time limits, which a busy machine may exceed"`
	Events  bool          `long:"events" description:"print the injected faults of every run, not only of failed ones"`
}

// The VMs of a run use loopback addresses 127.N.x.1, with N in subnetCount numbers from firstSubnet on. The process ID
// and the job select N, so that concurrent runs are unlikely to share addresses.
const (
	firstSubnet = 20
	subnetCount = 200
)

func main() { os.Exit(run()) }

func run() int {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var f *flags.Error
		if errors.As(err, &f) && f.Type == flags.ErrHelp {
			return 0
		}
		return exitBadFlags
	}
	if o.Seeds < 1 || o.Jobs < 1 || o.VMs < 2 || o.VMs > 200 || o.Clients < 1 || o.Faults <= 0 {
		_, _ = fmt.Fprintln(os.Stderr, "soak: --seeds, --jobs, --clients and --faults must be positive, --vms must be from 2 to 200")
		return exitBadFlags
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failures := make(chan int, 1)
	go func() { failures <- runSeeds(ctx, &o) }()
	select {
	case n := <-failures:
		fmt.Printf("seeds=%d broken=%d\n", o.Seeds, n)
		if n > 0 {
			return exitFailed
		}
		return 0
	case <-ctx.Done():
		// The end of the context kills the daemons.
		time.Sleep(killWait)
		_, _ = fmt.Fprintln(os.Stderr, "soak: interrupted")
		return exitFailed
	}
}

// killWait is how long the soak waits for the killed daemons to end after an interrupt.
const killWait = time.Second

// runSeeds runs all seeds and returns the number of failed runs.
func runSeeds(ctx context.Context, o *options) int {
	var stdoutMu sync.Mutex
	failures := 0
	seeds := make(chan int64)
	var workers sync.WaitGroup
	for job := range o.Jobs {
		workers.Go(func() {
			for seed := range seeds {
				passed := runSeed(ctx, o, seed, firstSubnet+(os.Getpid()+job)%subnetCount, &stdoutMu)
				stdoutMu.Lock()
				if !passed {
					failures++
				}
				stdoutMu.Unlock()
			}
		})
	}
	for i := range o.Seeds {
		seeds <- o.Seed + int64(i)
	}
	close(seeds)
	workers.Wait()
	return failures
}

// runSeed runs one seed, prints its result and reports whether the run passed.
func runSeed(ctx context.Context, o *options, seed int64, subnet int, stdoutMu *sync.Mutex) bool {
	dir, err := soak.MakeDir(o.Dir, seed)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	result, err := soak.Run(ctx, soak.Options{Seed: seed, VMs: o.VMs, FaultDuration: o.Faults, Clients: o.Clients, Binary: o.Binary,
		Dir: dir, Subnet: subnet, Timed: !o.Untimed})
	stdoutMu.Lock()
	defer stdoutMu.Unlock()
	if err != nil {
		fmt.Printf("seed=%d error=%q\n", seed, err)
		return false
	}
	fmt.Printf("seed=%d requests=%d served=%d arrivals=%d events=%d recovery=%s broken=%d\n", seed, result.Requests, result.Served,
		result.Arrivals, len(result.Events), result.Recovery.Round(time.Millisecond), len(result.Violations))
	for _, v := range result.Violations {
		fmt.Println("  ", v)
	}
	if o.Events || len(result.Violations) > 0 {
		for _, e := range result.Events {
			fmt.Println("    ", e)
		}
	}
	return len(result.Violations) == 0
}
