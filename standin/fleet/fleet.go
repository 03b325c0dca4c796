// Package fleet starts a stand-in platform, stand-in targets and daemons as separate processes on loopback addresses.
// It is used by the demonstration, the benchmarks and process-level tests, and is not part of the product.
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
	ID ident.ServiceID
	// Shards is the number of shards.
	Shards int
	// Zones are the availability zones that hold one replica of each shard; each replica has a target of its own.
	Zones []ident.Zone
	// Slots, ColdSlots and Connections are the limits of each target.
	Slots       int
	ColdSlots   int
	Connections int
	// TargetArgs are further arguments of each stand-in target, such as --service-time=3ms.
	TargetArgs []string
}

// Options describe a fleet.
type Options struct {
	// BinDir is the directory of the built programs; Dir is created if needed, for logs and the keyring.
	BinDir string
	Dir    string
	Zones  []ident.Zone
	// VMs is the number of daemons; they are assigned to the zones in turn.
	VMs      int
	Services []ServiceSpec
	// PlatformLag is the time until readers of the platform see a changed list of VMs.
	PlatformLag time.Duration
	// DaemonArgs are further arguments of each daemon.
	DaemonArgs []string
}

// SnapshotID is the ID of the only snapshot of a fleet, held by every target when it starts.
const SnapshotID = ident.SnapshotID("index-1")

// Target is a stand-in target and its process.
type Target struct {
	bundle.Target
	Service ident.ServiceID
	Process *Process
}

// Daemon is one daemon, which stands for one VM.
type Daemon struct {
	VM   ident.VMID
	Zone ident.Zone
	// CallerAddress, PeerAddress and OpsAddress are the addresses, as IP:port, on which callers, peers and operators
	// reach the daemon.
	CallerAddress string
	PeerAddress   string
	OpsAddress    string
	// Process is the latest process of the daemon, nil before its first start.
	Process *Process
	args    []string
}

// Fleet is a set of running processes: one platform, targets and daemons.
type Fleet struct {
	options Options
	// PlatformURL is the base URL of the platform.
	PlatformURL     string
	platformProcess *Process
	Targets         []*Target
	Daemons         []*Daemon
	signers         *signers
	ports           portReservations
	// version is the highest bundle version published so far.
	version uint64
}

// Start starts the fleet, publishes the first bundle and waits until all daemons are ready. On an error it stops the
// processes that it started.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{options: o}
	if err := f.start(ctx); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.options.Dir, 0o700); err != nil {
		return fmt.Errorf("create fleet directory: %w", err)
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
	return waitRunning(ctx, "all daemons ready", f.processes(), func() bool { return f.readyCount() == len(f.Daemons) })
}

// program returns the path of a built program.
func (f *Fleet) program(name string) string { return filepath.Join(f.options.BinDir, name) }

func (f *Fleet) startPlatform(ctx context.Context) error {
	addresses, err := f.ports.reserve(1)
	if err != nil {
		return err
	}
	f.PlatformURL = "http://" + addresses[0]
	f.platformProcess, err = startProcess(f.options.Dir, "platform", f.program("standin-platform"),
		"--listen="+addresses[0], "--lag="+f.options.PlatformLag.String())
	if err != nil {
		return err
	}
	return waitRunning(ctx, "platform ready", f.processes(), func() bool { return statusCode(f.PlatformURL+"/v1/vms") == http.StatusOK })
}

func (f *Fleet) startTargets(ctx context.Context) error {
	for _, s := range f.options.Services {
		addresses, err := f.ports.reserve(s.Shards * len(s.Zones))
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
	return waitRunning(ctx, "targets ready", f.processes(), func() bool {
		for _, t := range f.Targets {
			if statusCode("http://"+t.Address+"/health") != http.StatusOK {
				return false
			}
		}
		return true
	})
}

func (f *Fleet) startTarget(s *ServiceSpec, zone ident.Zone, shard int, address string) error {
	id := fmt.Sprintf("%s-%02d-%s", s.ID, shard, zone)
	args := append([]string{"--id=" + id, "--listen=" + address, "--snapshot=" + string(SnapshotID),
		fmt.Sprintf("--slots=%d", s.Slots), fmt.Sprintf("--cold-slots=%d", s.ColdSlots),
		fmt.Sprintf("--connections=%d", s.Connections)}, s.TargetArgs...)
	p, err := startProcess(f.options.Dir, id, f.program("standin-target"), args...)
	if err != nil {
		return err
	}
	f.Targets = append(f.Targets, &Target{Service: s.ID, Process: p, Target: bundle.Target{
		ID: ident.TargetID(id), Zone: zone, Address: address, State: bundle.TargetServing}})
	return nil
}

// prepareDaemons assigns addresses and arguments to the daemons and sets the platform's list of VMs, but starts no
// daemon.
func (f *Fleet) prepareDaemons(ctx context.Context) error {
	const listeners = 3
	addresses, err := f.ports.reserve(listeners * f.options.VMs)
	if err != nil {
		return err
	}
	var vms []platformclient.VM
	for i := range f.options.VMs {
		zone := f.options.Zones[i%len(f.options.Zones)]
		a := addresses[i*listeners:]
		d := &Daemon{VM: ident.VMID(fmt.Sprintf("vm-%02d", i)), Zone: zone, CallerAddress: a[0], PeerAddress: a[1], OpsAddress: a[2]}
		d.args = append([]string{"--vm-id=" + string(d.VM), "--zone=" + string(zone), "--caller-listen=" + d.CallerAddress,
			"--peer-listen=" + d.PeerAddress, "--ops-listen=" + d.OpsAddress, "--platform-url=" + f.PlatformURL,
			"--root-keyring=@" + f.signers.keyringPath}, f.options.DaemonArgs...)
		f.Daemons = append(f.Daemons, d)
		vms = append(vms, platformclient.VM{ID: string(d.VM), Zone: string(zone), PeerAddress: d.PeerAddress})
	}
	return put(ctx, f.PlatformURL+"/admin/vms", vms)
}

// StartDaemon starts a daemon, or starts it again after its process has ended, with the same identity and addresses. It
// does not wait until the daemon is ready.
func (f *Fleet) StartDaemon(d *Daemon) error {
	p, err := startProcess(f.options.Dir, string(d.VM), f.program("teaselbankd"), d.args...)
	if err != nil {
		return err
	}
	d.Process = p
	return nil
}

// Ready reports whether the daemon's readiness check returns status 200 within 250 ms.
func (d *Daemon) Ready() bool {
	return statusCodeWith(readinessClient, "http://"+d.OpsAddress+"/readyz") == http.StatusOK
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

// stopTimeout bounds the graceful stop of all processes of a fleet together.
const stopTimeout = 30 * time.Second

// Stop stops the daemons gracefully, then the targets and the platform. Processes that are still running after 30 s are
// killed; Stop returns an error for each of them and for each process that exits with an error.
func (f *Fleet) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var processes []*Process
	for _, d := range f.Daemons {
		processes = append(processes, d.Process)
	}
	err := terminateAll(ctx, processes)
	processes = []*Process{f.platformProcess}
	for _, t := range f.Targets {
		processes = append(processes, t.Process)
	}
	return errors.Join(err, terminateAll(ctx, processes), f.ports.release())
}

// processes returns the processes that have been started.
func (f *Fleet) processes() []*Process {
	var started []*Process
	if f.platformProcess != nil {
		started = append(started, f.platformProcess)
	}
	for _, t := range f.Targets {
		started = append(started, t.Process)
	}
	for _, d := range f.Daemons {
		if d.Process != nil {
			started = append(started, d.Process)
		}
	}
	return started
}

// terminateAll terminates the processes concurrently; nil entries have not been started and are skipped.
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
