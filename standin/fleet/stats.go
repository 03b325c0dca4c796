package fleet

import (
	"context"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/standin/target"
)

// Stats returns the counters of every running target that the filter accepts.
func (f *Fleet) Stats(ctx context.Context, accept func(*Target) bool) ([]target.Stats, error) {
	var all []target.Stats
	for _, t := range f.Targets {
		if !t.Process.Running() || !accept(t) {
			continue
		}
		var s target.Stats
		if _, err := Get(ctx, "http://"+t.Address+"/admin/stats", &s); err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// AllTargets is a filter that accepts every target.
func AllTargets(*Target) bool { return true }

// InZone returns a filter that accepts the targets of one availability zone.
func InZone(zone ident.Zone) func(*Target) bool {
	return func(t *Target) bool { return t.Zone == zone }
}

// RequestsStartedIn returns the number of requests that the running targets of an availability zone have started.
func (f *Fleet) RequestsStartedIn(ctx context.Context, zone ident.Zone) (int, error) {
	all, err := f.Stats(ctx, InZone(zone))
	total := 0
	for _, s := range all {
		total += s.Started
	}
	return total, err
}

// NonIdempotentRuns returns the number of non-idempotent requests that the running targets have started.
func (f *Fleet) NonIdempotentRuns(ctx context.Context) (int, error) {
	all, err := f.Stats(ctx, AllTargets)
	total := 0
	for _, s := range all {
		for _, n := range s.NonIdempotent {
			total += n
		}
	}
	return total, err
}
