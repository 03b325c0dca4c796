// Package fleet starts a platform, targets and daemons as separate processes on loopback, for the demonstration, the
// benchmarks and tests of whole processes. It is no part of the product.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/platformclient"
)

// ServiceSpec describes one service of the fleet.
type ServiceSpec struct {
	ID     ident.ServiceID
	Shards int
	// Zones hold one replica of each shard.
	Zones       []ident.Zone
	Slots       int
	ColdSlots   int
	Connections int
	// TargetArgs are passed to each stand-in target, such as --service-time=3ms.
	TargetArgs []string
}

// Options describe a fleet.
type Options struct {
	// BinDir holds the built programs; Dir receives logs and keys.
	BinDir string
	Dir    string
	Zones  []ident.Zone
	// VMs is how many daemons start; they are spread over the zones in turn.
	VMs      int
	Services []ServiceSpec
	// PlatformLag is the delay of the platform's list of VMs.
	PlatformLag time.Duration
	// DaemonArgs are passed to each daemon.
	DaemonArgs []string
}

// Snapshot is the snapshot that every target of a new fleet holds.
const Snapshot = ident.SnapshotID("index-1")

// Target is a started stand-in target.
type Target struct {
	bundle.Target
	Service ident.ServiceID
	Process *Process
}

// Daemon is a started daemon.
type Daemon struct {
	VM      ident.VMID
	Zone    ident.Zone
	Caller  string
	Peer    string
	Ops     string
	Process *Process
	args    []string
}

// Fleet is a running set of processes.
type Fleet struct {
	options  Options
	Platform string
	platform *Process
	Targets  []*Target
	Daemons  []*Daemon
	signers  *signers
	version  uint64
}

// Start starts everything and publishes the first bundle. On an error what had started is stopped.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.options.Dir, 0o700); err != nil {
		return fmt.Errorf("fleet directory: %w", err)
	}
	var err error
	if f.signers, err = newSigners(filepath.Join(f.options.Dir, "keyring.json")); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{f.startPlatform, f.startTargets, f.prepareDaemons} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := f.Publish(ctx, f.Bundle()); err != nil {
		return err
	}
	for _, d := range f.Daemons {
		if err := f.StartDaemon(d); err != nil {
			return err
		}
	}
	return WaitFor(ctx, "all daemons ready", func() bool { return f.readyCount() == len(f.Daemons) })
}

func (f *Fleet) program(name string) string { return filepath.Join(f.options.BinDir, name) }

func (f *Fleet) startPlatform(ctx context.Context) error {
	addresses, err := freeAddresses(1)
	if err != nil {
		return err
	}
	f.Platform = "http://" + addresses[0]
	f.platform, err = start(f.options.Dir, "platform", f.program("standin-platform"),
		"--listen="+addresses[0], "--lag="+f.options.PlatformLag.String())
	if err != nil {
		return err
	}
	return WaitFor(ctx, "platform ready", func() bool { return status(f.Platform+"/v1/vms") == http.StatusOK })
}

func (f *Fleet) startTargets(ctx context.Context) error {
	for _, s := range f.options.Services {
		addresses, err := freeAddresses(s.Shards * len(s.Zones))
		if err != nil {
			return err
		}
		for i := range s.Shards {
			for j, zone := range s.Zones {
				if err := f.startTarget(&s, zone, i, addresses[i*len(s.Zones)+j]); err != nil {
					return err
				}
			}
		}
	}
	return WaitFor(ctx, "targets ready", func() bool {
		for _, t := range f.Targets {
			if status("http://"+t.Address+"/health") != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) startTarget(s *ServiceSpec, zone ident.Zone, shard int, address string) error {
	id := fmt.Sprintf("%s-%02d-%s", s.ID, shard, zone)
	args := append([]string{"--id=" + id, "--listen=" + address, "--snapshot=" + string(Snapshot),
		fmt.Sprintf("--slots=%d", s.Slots), fmt.Sprintf("--cold-slots=%d", s.ColdSlots),
		fmt.Sprintf("--connections=%d", s.Connections)}, s.TargetArgs...)
	p, err := start(f.options.Dir, id, f.program("standin-target"), args...)
	if err != nil {
		return err
	}
	f.Targets = append(f.Targets, &Target{Service: s.ID, Process: p, Target: bundle.Target{
		ID: ident.TargetID(id), Zone: zone, Address: address, State: bundle.TargetServing}})
	return nil
}

func (f *Fleet) prepareDaemons(ctx context.Context) error {
	const listeners = 3
	addresses, err := freeAddresses(listeners * f.options.VMs)
	if err != nil {
		return err
	}
	var vms []platformclient.VM
	for i := range f.options.VMs {
		zone := f.options.Zones[i%len(f.options.Zones)]
		a := addresses[i*listeners:]
		d := &Daemon{VM: ident.VMID(fmt.Sprintf("vm-%02d", i)), Zone: zone, Caller: a[0], Peer: a[1], Ops: a[2]}
		d.args = append([]string{"--vm-id=" + string(d.VM), "--zone=" + string(zone), "--caller-listen=" + d.Caller,
			"--peer-listen=" + d.Peer, "--ops-listen=" + d.Ops, "--platform-url=" + f.Platform,
			"--root-keyring=@" + f.signers.path}, f.options.DaemonArgs...)
		f.Daemons = append(f.Daemons, d)
		vms = append(vms, platformclient.VM{ID: string(d.VM), Zone: string(zone), PeerAddress: d.Peer})
	}
	return put(ctx, f.Platform+"/admin/vms", vms)
}

// StartDaemon starts or restarts a daemon with its addresses.
func (f *Fleet) StartDaemon(d *Daemon) error {
	p, err := start(f.options.Dir, string(d.VM), f.program("teaselbankd"), d.args...)
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// Ready reports whether the daemon answers its readiness check.
func (d *Daemon) Ready() bool {
	return statusWith(checkClient, "http://"+d.Ops+"/readyz") == http.StatusOK
}

func (f *Fleet) readyCount() int {
	n := 0
	for _, d := range f.Daemons {
		if d.Ready() {
			n++
		}
	}
	return n
}

// stopTimeout bounds the stop of one process.
const stopTimeout = 30 * time.Second

// Stop stops the daemons gracefully, then the targets and the platform.
func (f *Fleet) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var processes []*Process
	for _, d := range f.Daemons {
		processes = append(processes, d.Process)
	}
	err := terminateAll(ctx, processes)
	processes = []*Process{f.platform}
	for _, t := range f.Targets {
		processes = append(processes, t.Process)
	}
	return errors.Join(err, terminateAll(ctx, processes))
}

func terminateAll(ctx context.Context, processes []*Process) error {
	results := make(chan error, len(processes))
	for _, p := range processes {
		go func() {
			if p == nil {
				results <- nil
				return
			}
			results <- p.Terminate(ctx)
		}()
	}
	var errs []error
	for range processes {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}
