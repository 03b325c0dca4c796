package fleetbench

import (
	"context"
	"syscall"
	"time"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/standin/fleet"
)

// Parameters of the failure benchmarks.
const (
	pauseTime   = 5 * time.Second
	outageTime  = 4 * time.Second
	recoverTime = 6 * time.Second
	// maxSlotOverfull is the maximum number of requests, summed over all targets, that arrive while every slot of the
	// target is in use.
	maxSlotOverfull = 0
)

func init() {
	bench.Register("fleet_kill_vm", fleetKillVM)
	bench.Register("fleet_pause_vm", fleetPauseVM)
	bench.Register("fleet_platform_down", fleetPlatformDown)
}

// loadDuring applies load to the fleet while f runs, and returns the outcome counts of the load.
func loadDuring(ctx context.Context, fl *fleet.Fleet, f func() error) (fleet.LoadResult, error) {
	loadCtx, stop := context.WithCancel(ctx)
	done := make(chan fleet.LoadResult, 1)
	go func() {
		done <- fleet.Load{Service: "dispecerat", Workers: loadWorkers, Interval: loadInterval, DeadlineMillis: loadDeadlineMillis}.Run(loadCtx, fl)
	}()
	err := f()
	stop()
	return <-done, err
}

// fleetKillVM kills the daemon of one VM under load. Requests in flight at that VM are lost; requests through the other
// VMs must still be answered in full, by replicas whose owners are still running. The owners of a target are the VMs
// through which all requests to the target pass.
func fleetKillVM() ([]bench.Result, error) {
	return withFleet(func(ctx context.Context, fl *fleet.Fleet) ([]bench.Result, error) {
		loadFor(ctx, fl, warmUpTime)
		victim := fl.Daemons[1]
		r, err := loadDuring(ctx, fl, func() error {
			pause(ctx, time.Second)
			victim.Process.Kill()
			pause(ctx, recoverTime)
			return nil
		})
		if err != nil {
			return nil, err
		}
		overfull, err := overfullArrivals(ctx, fl)
		if err != nil {
			return nil, err
		}
		answered := float64(r.Complete) / float64(r.Sent-r.CutOff)
		return []bench.Result{
			{Name: "kill_vm_complete_through_others", Value: answered, Unit: "ratio", Bound: minServiceShare},
			{Name: "kill_vm_lost_with_vm", Value: float64(r.CutOff), Unit: "requests", Informative: true},
			{Name: "kill_vm_slot_overfull", Value: float64(overfull), Unit: "requests", Bound: maxSlotOverfull, LowerIsBetter: true},
		}, nil
	})
}

// fleetPauseVM suspends the daemon of one VM for 5 s under load and resumes it. Requests that the daemon sends after it
// has resumed must not overload targets that other VMs own by then.
func fleetPauseVM() ([]bench.Result, error) {
	return withFleet(func(ctx context.Context, fl *fleet.Fleet) ([]bench.Result, error) {
		loadFor(ctx, fl, warmUpTime)
		victim := fl.Daemons[1]
		_, err := loadDuring(ctx, fl, func() error {
			if err := victim.Process.Signal(syscall.SIGSTOP); err != nil {
				return err
			}
			pause(ctx, pauseTime)
			return victim.Process.Signal(syscall.SIGCONT)
		})
		if err != nil {
			return nil, err
		}
		after := loadFor(ctx, fl, recoverTime)
		overfull, err := overfullArrivals(ctx, fl)
		if err != nil {
			return nil, err
		}
		return []bench.Result{
			{Name: "pause_vm_complete_after", Value: after.CompleteShare(), Unit: "ratio", Bound: minServiceShare},
			{Name: "pause_vm_slot_overfull", Value: float64(overfull), Unit: "requests", Bound: maxSlotOverfull, LowerIsBetter: true},
		}, nil
	})
}

// fleetPlatformDown applies load while the platform is down for outageTime. Every VM must keep answering with the
// bundle in force.
func fleetPlatformDown() ([]bench.Result, error) {
	return withFleet(func(ctx context.Context, fl *fleet.Fleet) ([]bench.Result, error) {
		loadFor(ctx, fl, warmUpTime)
		if err := fl.SetPlatformDown(ctx, true); err != nil {
			return nil, err
		}
		r, err := loadDuring(ctx, fl, func() error {
			pause(ctx, outageTime)
			return nil
		})
		if err != nil {
			return nil, err
		}
		return []bench.Result{
			{Name: "platform_down_complete", Value: r.CompleteShare(), Unit: "ratio", Bound: minServiceShare},
			{Name: "platform_down_cut_off", Value: float64(r.CutOff), Unit: "requests", Bound: 0, LowerIsBetter: true},
		}, nil
	})
}

// overfullArrivals returns the number of requests that arrived at a target while all its slots were in use, summed over
// all targets.
func overfullArrivals(ctx context.Context, fl *fleet.Fleet) (int, error) {
	all, err := fl.Stats(ctx, fleet.AllTargets)
	total := 0
	for _, s := range all {
		total += s.Overfull
	}
	return total, err
}
