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

// testTimeout is a bound for a machine that is busy; no test depends on being fast.
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
	var answer callerapi.SearchResponse
	_, err := fleet.Post(ctx, "http://"+d.Caller+"/v1/search",
		callerapi.SearchRequest{Service: service, Query: json.RawMessage(`{"q":1}`), DeadlineMillis: 5000}, &answer)
	return answer, err
}

// An answer that hides a lost shard would leave an order undelivered: the lost one must be named.
func TestLostOnlyReplicaIsNamed(t *testing.T) {
	ctx, f := startFleet(t, service("billing-run", zones[:1]))
	require.NoError(t, fleet.WaitFor(ctx, "complete answer", func() bool {
		a, err := search(ctx, f.Daemons[0], "billing-run")
		return err == nil && a.Outcome == "complete"
	}))
	f.Targets[1].Process.Kill()
	for _, d := range f.Daemons {
		a, err := search(ctx, d, "billing-run")
		require.NoError(t, err)
		require.Equal(t, "partial", a.Outcome)
		require.Equal(t, 2, a.Coverage.Answered)
		require.Equal(t, 3, a.Coverage.Expected)
		require.Len(t, a.Coverage.Missing, 1)
		require.Equal(t, "shard-01", a.Coverage.Missing[0].Shard)
	}
}

// A planned stop must not cut off a request that was accepted.
func TestStopFinishesAcceptedSearch(t *testing.T) {
	ctx, f := startFleet(t, service("dispecerat", zones[:1], "--service-time=1s"))
	d := f.Daemons[0]
	type reply struct {
		answer callerapi.SearchResponse
		err    error
	}
	done := make(chan reply, 1)
	go func() {
		a, err := search(ctx, d, "dispecerat")
		done <- reply{a, err}
	}()
	require.NoError(t, fleet.WaitFor(ctx, "search at a target", func() bool { return started(ctx, f) > 0 }))
	require.NoError(t, d.Process.Terminate(ctx))
	r := <-done
	require.NoError(t, r.err)
	require.Equal(t, "complete", r.answer.Outcome)
}

func started(ctx context.Context, f *fleet.Fleet) int {
	all, err := f.Stats(ctx, fleet.Everywhere)
	if err != nil {
		return 0
	}
	total := 0
	for _, s := range all {
		total += s.Started
	}
	return total
}

// A platform that publishes an older version again must not take the newer one out of force, also not on a VM that
// restarts while only its peers know the newer one.
func TestStalePlatformNeverRevertsTheFleet(t *testing.T) {
	ctx, f := startFleet(t, service("dispecerat", zones))
	older := f.Bundle()
	require.NoError(t, f.Publish(ctx, older))
	newer := f.Bundle()
	require.NoError(t, f.Publish(ctx, newer))
	for _, d := range f.Daemons {
		require.NoError(t, fleet.WaitFor(ctx, "newer version", func() bool { return versionOf(ctx, d) == newer.Version }))
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
	if _, err := fleet.Get(ctx, "http://"+d.Ops+"/v1/status", &status); err != nil || status.Config == nil {
		return 0
	}
	return status.Config.Version
}

// Work that goes on to a zone 3 s after it was taken out would reach targets that operators are stopping.
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
			a, err := search(ctx, d, "dispecerat")
			require.NoError(t, err)
			require.Equal(t, 3, a.Coverage.Expected)
		}
	}
	require.Equal(t, before, startedIn(ctx, t, f, zones[1]))
}

func startedIn(ctx context.Context, t *testing.T, f *fleet.Fleet, zone ident.Zone) int {
	t.Helper()
	n, err := f.StartedIn(ctx, zone)
	require.NoError(t, err)
	return n
}

// An order whose issuing VM was killed must neither run again nor be called not run, whichever VM its caller asks.
func TestOrderOfKilledVMIsUnknownAndRunsOnce(t *testing.T) {
	ctx, f := startFleet(t, service("dispecerat", zones[:1], "--service-time=2s"))
	issuer := f.Daemons[0]
	var issued callerapi.TicketResponse
	_, err := fleet.Post(ctx, "http://"+issuer.Caller+"/v1/tickets",
		callerapi.TicketRequest{Service: "dispecerat", Shard: "shard-00"}, &issued)
	require.NoError(t, err)
	order := callerapi.RunRequest{Ticket: issued.Ticket, Body: json.RawMessage(`{"tonnes":2}`), DeadlineMillis: 5000}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = fleet.Post(ctx, "http://"+issuer.Caller+"/v1/requests", order, nil)
	}()
	require.NoError(t, fleet.WaitFor(ctx, "order at a target", func() bool {
		runs, err := f.NonIdempotentRuns(ctx)
		return err == nil && runs == 1
	}))
	issuer.Process.Kill()
	<-answered
	require.NoError(t, f.StartDaemon(issuer))
	require.NoError(t, fleet.WaitFor(ctx, "restarted VM ready", issuer.Ready))
	for _, d := range f.Daemons {
		var again callerapi.RunResponse
		_, err := fleet.Post(ctx, "http://"+d.Caller+"/v1/requests", order, &again)
		require.NoError(t, err)
		require.Equal(t, outcome.Unknown, again.Outcome, d.VM)
	}
	runs, err := f.NonIdempotentRuns(ctx)
	require.NoError(t, err)
	require.Equal(t, 1, runs)
}

// A query that crashes each target that runs it must not take the fleet down, although its caller sends it again
// through every VM: at most 2 targets a zone may run it.
func TestCrashingQueryReachesFewTargets(t *testing.T) {
	const targetsPerZone = 2
	ctx, f := startFleet(t, service("dispecerat", zones, "--crash-on=poison"))
	for range 3 {
		for _, d := range f.Daemons {
			var answer callerapi.SearchResponse
			_, err := fleet.Post(ctx, "http://"+d.Caller+"/v1/search", callerapi.SearchRequest{Service: "dispecerat",
				Query: json.RawMessage(`{"q":"poison"}`), DeadlineMillis: 5000}, &answer)
			require.NoError(t, err)
			require.NotEqual(t, "complete", answer.Outcome)
		}
	}
	all, err := f.Stats(ctx, fleet.Everywhere)
	require.NoError(t, err)
	crashes := 0
	for _, s := range all {
		crashes += s.Crashes
	}
	require.LessOrEqual(t, crashes, targetsPerZone*len(zones))
	require.Positive(t, crashes)
	for _, d := range f.Daemons {
		a, err := search(ctx, d, "dispecerat")
		require.NoError(t, err)
		require.Equal(t, "complete", a.Outcome, "other queries must go on")
	}
}
