package fleetbench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/standin/fleet"
)

// Parameters of the fleet and of the benchmarks on it.
const (
	vms                = 8
	shards             = 10
	runTimeout         = 2 * time.Minute
	warmUpTime         = 4 * time.Second
	calmTime           = 3 * time.Second
	zoneTime           = 4 * time.Second
	zoneOutBound       = 3 * time.Second
	maxConfigSeconds   = 5.0
	configChanges      = 10
	balancerDelay      = 300 * time.Millisecond
	loadWorkers        = 8
	loadInterval       = 10 * time.Millisecond
	loadDeadlineMillis = 500
	minServiceShare    = 0.99
	coldRequests       = 20
	restartSettle      = 300 * time.Millisecond
)

var zones = []ident.Zone{"petrosani", "lupeni", "vulcan"}

func init() {
	bench.Register("fleet_configuration", fleetConfiguration)
	bench.Register("fleet_rolling_restart", fleetRollingRestart)
	bench.Register("fleet_zone", fleetZone)
}

// withFleet starts a fleet of 8 daemons and 30 targets, in which each of the 10 shards has a replica in each of the 3
// zones, runs f on it and stops it.
func withFleet(f func(ctx context.Context, fl *fleet.Fleet) ([]bench.Result, error)) (results []bench.Result, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "teaselbank-bench-")
	if err != nil {
		return nil, fmt.Errorf("create fleet directory: %w", err)
	}
	bin, err := filepath.Abs("bin")
	if err != nil {
		return nil, fmt.Errorf("resolve path of the programs: %w", err)
	}
	fl, err := fleet.Start(ctx, fleet.Options{
		BinDir: bin, Dir: dir, Zones: zones, VMs: vms, PlatformLag: time.Second,
		DaemonArgs: []string{"--balancer-delay=" + balancerDelay.String(), "--drain-timeout=10s", "--peer-grace=3s"},
		Services: []fleet.ServiceSpec{{ID: "dispecerat", Shards: shards, Zones: zones, Slots: 6, ColdSlots: 2,
			Connections: 50, TargetArgs: []string{"--service-time=3ms", fmt.Sprintf("--cold-requests=%d", coldRequests)}}},
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		if stopErr := fl.Stop(); stopErr != nil && err == nil {
			err = stopErr
		}
	}()
	return f(ctx, fl)
}

// loadFor applies load to the fleet for d and returns the outcome counts.
func loadFor(ctx context.Context, fl *fleet.Fleet, d time.Duration) fleet.LoadResult {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return fleet.Load{Service: "dispecerat", Workers: loadWorkers, Interval: loadInterval, DeadlineMillis: loadDeadlineMillis}.Run(ctx, fl)
}

// fleetConfiguration measures the time from the publication of a bundle until it is in force on all 8 daemons, and
// returns the longest time among configChanges publications.
func fleetConfiguration() ([]bench.Result, error) {
	return withFleet(func(ctx context.Context, fl *fleet.Fleet) ([]bench.Result, error) {
		var worst time.Duration
		for range configChanges {
			b := fl.Bundle()
			start := time.Now()
			if err := fl.Publish(ctx, b); err != nil {
				return nil, err
			}
			if err := fleet.WaitFor(ctx, "new bundle version in force on all daemons", func() bool { return allInForce(ctx, fl, b) }); err != nil {
				return nil, err
			}
			worst = max(worst, time.Since(start))
		}
		return []bench.Result{{Name: "config_in_force_8_processes_worst", Value: worst.Seconds(), Unit: "s", Bound: maxConfigSeconds, LowerIsBetter: true}}, nil
	})
}

// allInForce reports whether every daemon has the version of the bundle, or a later one, in force.
func allInForce(ctx context.Context, fl *fleet.Fleet, b *bundle.Bundle) bool {
	for _, d := range fl.Daemons {
		var status struct {
			Config *struct {
				Version uint64 `json:"version"`
			} `json:"config"`
		}
		if _, err := fleet.Get(ctx, "http://"+d.OpsAddress+"/v1/status", &status); err != nil || status.Config == nil || status.Config.Version < b.Version {
			return false
		}
	}
	return true
}

// fleetRollingRestart restarts all daemons in turn under load. It counts the requests that ended without an answer and
// compares the share of complete answers with that before the restarts.
func fleetRollingRestart() ([]bench.Result, error) {
	return withFleet(func(ctx context.Context, fl *fleet.Fleet) ([]bench.Result, error) {
		loadFor(ctx, fl, warmUpTime)
		calm := loadFor(ctx, fl, calmTime)
		loadCtx, stop := context.WithCancel(ctx)
		done := make(chan fleet.LoadResult, 1)
		go func() {
			done <- fleet.Load{Service: "dispecerat", Workers: loadWorkers, Interval: loadInterval, DeadlineMillis: loadDeadlineMillis}.Run(loadCtx, fl)
		}()
		err := restartAll(ctx, fl)
		stop()
		r := <-done
		if err != nil {
			return nil, err
		}
		return []bench.Result{
			{Name: "rolling_restart_calm_complete", Value: calm.CompleteShare(), Unit: "ratio", Bound: minServiceShare},
			{Name: "rolling_restart_cut_off", Value: float64(r.CutOff), Unit: "requests", Bound: 0, LowerIsBetter: true},
			{Name: "rolling_restart_requests", Value: float64(r.Sent), Unit: "requests", Informative: true},
			{Name: "rolling_restart_complete_over_calm", Value: r.CompleteShare() / calm.CompleteShare(), Unit: "ratio", Bound: minServiceShare},
		}, nil
	})
}

// restartAll restarts the daemons one after another, each when the previous one is ready.
func restartAll(ctx context.Context, fl *fleet.Fleet) error {
	for _, d := range fl.Daemons {
		if err := d.Process.Terminate(ctx); err != nil {
			return err
		}
		if err := fl.StartDaemon(d); err != nil {
			return err
		}
		if err := fleet.WaitFor(ctx, string(d.VM)+" ready", d.Ready); err != nil {
			return err
		}
		pause(ctx, restartSettle)
	}
	return nil
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// fleetZone takes a zone out under load, restarts its targets so that they are cold, and puts the zone back in. It
// counts the requests that start at the zone's targets later than zoneOutBound after the zone is taken out, and the
// requests that arrive at one of these targets while it is cold and all its cold slots are in use.
func fleetZone() ([]bench.Result, error) {
	return withFleet(func(ctx context.Context, fl *fleet.Fleet) ([]bench.Result, error) {
		loadFor(ctx, fl, warmUpTime)
		calm := loadFor(ctx, fl, calmTime)
		zone := zones[1]
		out, err := fl.SetZone(ctx, fl.Bundle(), zone, bundle.ZoneOut)
		if err != nil {
			return nil, err
		}
		leaving := loadFor(ctx, fl, zoneOutBound)
		before, _, err := zoneStats(ctx, fl, zone)
		if err != nil {
			return nil, err
		}
		away := loadFor(ctx, fl, zoneTime)
		after, _, err := zoneStats(ctx, fl, zone)
		if err != nil {
			return nil, err
		}
		if err := restartTargets(ctx, fl, zone); err != nil {
			return nil, err
		}
		if _, err := fl.SetZone(ctx, out, zone, bundle.ZoneIn); err != nil {
			return nil, err
		}
		back := loadFor(ctx, fl, zoneTime)
		_, overload, err := zoneStats(ctx, fl, zone)
		if err != nil {
			return nil, err
		}
		c := calm.CompleteShare()
		return []bench.Result{
			{Name: "zone_calm_complete", Value: c, Unit: "ratio", Bound: minServiceShare},
			{Name: "zone_out_new_requests_after_3s", Value: float64(after - before), Unit: "requests", Bound: 0, LowerIsBetter: true},
			{Name: "zone_leaving_complete_over_calm", Value: leaving.CompleteShare() / c, Unit: "ratio", Bound: minServiceShare},
			{Name: "zone_away_complete_over_calm", Value: away.CompleteShare() / c, Unit: "ratio", Bound: minServiceShare},
			{Name: "zone_back_complete_over_calm", Value: back.CompleteShare() / c, Unit: "ratio", Bound: minServiceShare},
			{Name: "zone_back_cold_overloads", Value: float64(overload), Unit: "requests", Bound: 0, LowerIsBetter: true},
		}, nil
	})
}

// zoneStats sums the requests started at the targets of a zone, and the requests that arrived at a cold target while
// all its cold slots were in use.
func zoneStats(ctx context.Context, fl *fleet.Fleet, zone ident.Zone) (started, coldOverload int, err error) {
	all, err := fl.Stats(ctx, fleet.InZone(zone))
	for _, s := range all {
		started, coldOverload = started+s.Started, coldOverload+s.ColdOverload
	}
	return started, coldOverload, err
}

// restartTargets restarts the targets of a zone.
func restartTargets(ctx context.Context, fl *fleet.Fleet, zone ident.Zone) error {
	for _, t := range fl.Targets {
		if t.Zone != zone {
			continue
		}
		if _, err := fleet.Post(ctx, "http://"+t.Address+"/admin/restart", nil, nil); err != nil {
			return err
		}
	}
	return nil
}
