package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/plugin/callerapi"
	"teaselbank.example/teaselbank/standin/fleet"
)

// testTimeout bounds a test on a busy machine; no test depends on the speed of the machine.
const testTimeout = 2 * time.Minute

var binDir string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "teaselbank-fleet-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	for _, program := range []string{"cmd/teaselbankd", "standin/cmd/standin-target", "standin/cmd/standin-platform"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, filepath.Base(program)),
			"teaselbank.example/teaselbank/"+program).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, out)
			return 1
		}
	}
	return m.Run()
}

var zones = []ident.Zone{"petrosani", "lupeni", "vulcan"}

func startFleet(t *testing.T, services ...fleet.ServiceSpec) (context.Context, *fleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	f, err := fleet.Start(ctx, fleet.Options{
		BinDir: binDir, Dir: t.TempDir(), Zones: zones, VMs: 3, Services: services,
		DaemonArgs: []string{"--balancer-delay=100ms", "--drain-timeout=30s", "--peer-grace=2s"},
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.Stop() })
	return ctx, f
}

func service(id ident.ServiceID, replicaZones []ident.Zone, args ...string) fleet.ServiceSpec {
	return fleet.ServiceSpec{ID: id, Shards: 3, Zones: replicaZones, Slots: 6, ColdSlots: 2, Connections: 50, TargetArgs: args}
}

func search(ctx context.Context, d *fleet.Daemon, service string) (callerapi.SearchResponse, error) {
	var resp callerapi.SearchResponse
	_, err := fleet.Post(ctx, "http://"+d.CallerAddress+"/v1/search",
		callerapi.SearchRequest{Service: service, Query: json.RawMessage(`{"q":1}`), DeadlineMillis: 5000}, &resp)
	return resp, err
}

// Guards against a response that hides a missing shard, which would leave an order undelivered: after the only replica
// of a shard is killed, every response must be partial and name the shard.
func TestLostOnlyReplicaIsNamed(t *testing.T) {
	ctx, f := startFleet(t, service("billing-run", zones[:1]))
	require.NoError(t, fleet.WaitFor(ctx, "complete response", func() bool {
		resp, err := search(ctx, f.Daemons[0], "billing-run")
		return err == nil && resp.Outcome == "complete"
	}))
	f.Targets[1].Process.Kill()
	for _, d := range f.Daemons {
		resp, err := search(ctx, d, "billing-run")
		require.NoError(t, err)
		require.Equal(t, "partial", resp.Outcome)
		require.Equal(t, 2, resp.Coverage.Answered)
		require.Equal(t, 3, resp.Coverage.Expected)
		require.Len(t, resp.Coverage.Missing, 1)
		require.Equal(t, "shard-01", resp.Coverage.Missing[0].Shard)
	}
}

// Guards against a graceful stop of a daemon that cuts off a search it has already accepted.
func TestStopFinishesAcceptedSearch(t *testing.T) {
	ctx, f := startFleet(t, service("dispecerat", zones[:1], "--service-time=1s"))
	d := f.Daemons[0]
	type searchResult struct {
		resp callerapi.SearchResponse
		err  error
	}
	done := make(chan searchResult, 1)
	go func() {
		resp, err := search(ctx, d, "dispecerat")
		done <- searchResult{resp, err}
	}()
	require.NoError(t, fleet.WaitFor(ctx, "search started at a target", func() bool { return started(ctx, f) > 0 }))
	require.NoError(t, d.Process.Terminate(ctx))
	r := <-done
	require.NoError(t, r.err)
	require.Equal(t, "complete", r.resp.Outcome)
}

func started(ctx context.Context, f *fleet.Fleet) int {
	all, err := f.Stats(ctx, fleet.AllTargets)
	if err != nil {
		return 0
	}
	total := 0
	for _, s := range all {
		total += s.Started
	}
	return total
}

// Guards against a rollback when the platform publishes an older bundle version again: every VM must keep the newer one
// in force, even a VM that restarts while only its peers still have the newer version.
func TestStalePlatformNeverRevertsTheFleet(t *testing.T) {
	ctx, f := startFleet(t, service("dispecerat", zones))
	older := f.Bundle()
	require.NoError(t, f.Publish(ctx, older))
	newer := f.Bundle()
	require.NoError(t, f.Publish(ctx, newer))
	for _, d := range f.Daemons {
		require.NoError(t, fleet.WaitFor(ctx, "newer version in force", func() bool { return versionOf(ctx, d) == newer.Version }))
	}
	require.NoError(t, f.Publish(ctx, older))
	restarted := f.Daemons[1]
	require.NoError(t, restarted.Process.Terminate(ctx))
	require.NoError(t, f.StartDaemon(restarted))
	require.NoError(t, fleet.WaitFor(ctx, "restarted VM ready", restarted.Ready))
	for _, d := range f.Daemons {
		require.Equal(t, newer.Version, versionOf(ctx, d), d.VM)
	}
}

func versionOf(ctx context.Context, d *fleet.Daemon) uint64 {
	var status struct {
		Config *struct {
			Version uint64 `json:"version"`
		} `json:"config"`
	}
	if _, err := fleet.Get(ctx, "http://"+d.OpsAddress+"/v1/status", &status); err != nil || status.Config == nil {
		return 0
	}
	return status.Config.Version
}

// Guards against new requests to the targets of a zone that was taken out: operators stop those targets from 3 s after
// the change. Once the bundle is in force on every VM, no target of the zone may start a request.
func TestZoneOutStopsNewWork(t *testing.T) {
	ctx, f := startFleet(t, service("dispecerat", zones))
	next, err := f.SetZone(ctx, f.Bundle(), zones[1], bundle.ZoneOut)
	require.NoError(t, err)
	for _, d := range f.Daemons {
		require.NoError(t, fleet.WaitFor(ctx, "zone out in force", func() bool { return versionOf(ctx, d) == next.Version }))
	}
	before := startedIn(ctx, t, f, zones[1])
	for range 20 {
		for _, d := range f.Daemons {
			resp, err := search(ctx, d, "dispecerat")
			require.NoError(t, err)
			require.Equal(t, 3, resp.Coverage.Expected)
		}
	}
	require.Equal(t, before, startedIn(ctx, t, f, zones[1]))
}

func startedIn(ctx context.Context, t *testing.T, f *fleet.Fleet, zone ident.Zone) int {
	t.Helper()
	n, err := f.RequestsStartedIn(ctx, zone)
	require.NoError(t, err)
	return n
}

// Guards against a second run, or a false report that it was not run, of an order whose VM is killed while the order
// runs. Only the killed process knew whether the order ran, so every VM must report the outcome as unknown.
func TestOrderOfKilledVMIsUnknownAndRunsOnce(t *testing.T) {
	ctx, f := startFleet(t, service("dispecerat", zones[:1], "--service-time=2s"))
	issuer := f.Daemons[0]
	var issued callerapi.TicketResponse
	_, err := fleet.Post(ctx, "http://"+issuer.CallerAddress+"/v1/tickets",
		callerapi.TicketRequest{Service: "dispecerat", Shard: "shard-00"}, &issued)
	require.NoError(t, err)
	order := callerapi.RunRequest{Ticket: issued.Ticket, Body: json.RawMessage(`{"tonnes":2}`), DeadlineMillis: 5000}
	orderDone := make(chan struct{})
	go func() {
		defer close(orderDone)
		_, _ = fleet.Post(ctx, "http://"+issuer.CallerAddress+"/v1/requests", order, nil)
	}()
	require.NoError(t, fleet.WaitFor(ctx, "order started at a target", func() bool {
		runs, err := f.NonIdempotentRuns(ctx)
		return err == nil && runs == 1
	}))
	issuer.Process.Kill()
	<-orderDone
	require.NoError(t, f.StartDaemon(issuer))
	require.NoError(t, fleet.WaitFor(ctx, "restarted VM ready", issuer.Ready))
	for _, d := range f.Daemons {
		var resent callerapi.RunResponse
		_, err := fleet.Post(ctx, "http://"+d.CallerAddress+"/v1/requests", order, &resent)
		require.NoError(t, err)
		require.Equal(t, outcome.Unknown, resent.Outcome, d.VM)
	}
	runs, err := f.NonIdempotentRuns(ctx)
	require.NoError(t, err)
	require.Equal(t, 1, runs)
}

// Guards against a fleet-wide outage by a query that crashes every target that runs it, while its caller retries it
// through every VM: it may crash at most 2 targets per zone, and other queries must still be complete.
func TestCrashingQueryReachesFewTargets(t *testing.T) {
	const targetsPerZone = 2
	ctx, f := startFleet(t, service("dispecerat", zones, "--crash-on=poison"))
	for range 3 {
		for _, d := range f.Daemons {
			var resp callerapi.SearchResponse
			_, err := fleet.Post(ctx, "http://"+d.CallerAddress+"/v1/search", callerapi.SearchRequest{Service: "dispecerat",
				Query: json.RawMessage(`{"q":"poison"}`), DeadlineMillis: 5000}, &resp)
			require.NoError(t, err)
			require.NotEqual(t, "complete", resp.Outcome)
		}
	}
	all, err := f.Stats(ctx, fleet.AllTargets)
	require.NoError(t, err)
	crashes := 0
	for _, s := range all {
		crashes += s.Crashes
	}
	require.LessOrEqual(t, crashes, targetsPerZone*len(zones))
	require.Positive(t, crashes)
	for _, d := range f.Daemons {
		resp, err := search(ctx, d, "dispecerat")
		require.NoError(t, err)
		require.Equal(t, "complete", resp.Outcome, "searches that crash no target must stay complete")
	}
}

// Guards against a start that waits for its time limit although a process has already exited, and against an error that
// does not name the cause.
func TestFailedStartNamesTheExitedProcess(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	_, err := fleet.Start(ctx, fleet.Options{BinDir: binDir, Dir: t.TempDir(), Zones: zones, VMs: 1,
		DaemonArgs: []string{"--no-such-flag"}})
	require.ErrorContains(t, err, "vm-00 exited")
	require.ErrorContains(t, err, "no-such-flag")
	require.NoError(t, ctx.Err())
}
