package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// ErrHistoryGone says that a source no longer knows the changes that were asked for.
var ErrHistoryGone = errors.New("the history after that revision is no longer available")

// Source is where the operator and the targets publish.
type Source interface {
	// Load returns all records.
	Load(ctx context.Context) (Batch, error)
	// Changes waits up to the given time for changes after a revision. It returns ErrHistoryGone if they are unknown.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Timing of the source's follower.
const (
	// WatchWait is how long a call of a watching VM waits for changes. A watch that went silent is noticed after
	// WatchWait + callMargin, which leaves time within the three seconds in which a leaving target must be left.
	WatchWait = 1800 * time.Millisecond
	// RelaxedWait is the same for a VM that relies on its peers to tell it of changes.
	RelaxedWait = 20 * time.Second
	// callMargin is how much longer than its wait a call may take.
	callMargin = 700 * time.Millisecond
	// loadTimeout bounds a whole read.
	loadTimeout = 2 * time.Second
	// batchDelay gathers changes that come in a series into one call.
	batchDelay = 250 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
)

// Follower keeps a mirror up to date from its source.
type Follower struct {
	Source Source
	Mirror *Mirror
	Logger *log.Logger
	// Watching reports whether this VM is one that looks out for changes for its peers.
	Watching func() bool

	lastContact atomic.Int64 // nanoseconds since start
	start       time.Time
	calls       atomic.Uint64
	failures    atomic.Uint64
}

// NewFollower returns a follower that has not yet reached its source.
func NewFollower(source Source, mirror *Mirror, logger *log.Logger, watching func() bool) *Follower {
	return &Follower{Source: source, Mirror: mirror, Logger: logger, Watching: watching, start: time.Now()}
}

// Calls returns how many calls were made, and Failures how many of them failed.
func (f *Follower) Calls() uint64 { return f.calls.Load() }

// Failures returns how many calls failed.
func (f *Follower) Failures() uint64 { return f.failures.Load() }

// SinceContact returns how long ago the source last answered.
func (f *Follower) SinceContact() time.Duration {
	return time.Since(f.start) - time.Duration(f.lastContact.Load())
}

// Run follows the source until the context ends.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetry
	lost := false
	var after uint64
	for ctx.Err() == nil {
		batch, err := f.next(ctx, after)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.lastContact.Store(int64(time.Since(f.start)))
			changed := f.Mirror.Apply(batch)
			if lost || after == 0 {
				f.Logger.Info("source_regained", "revision", batch.Revision, "changed", changed, "whole", batch.Whole)
			}
			after, lost, retry = max(after, batch.Revision), false, minRetry
			if len(batch.Records) > 0 {
				pause(ctx, batchDelay)
			}
			continue
		}
		f.failures.Add(1)
		if errors.Is(err, ErrHistoryGone) {
			f.Logger.Warn("source_history_gone", "after", after)
			after = 0
			continue
		}
		if !lost {
			f.Logger.Warn("source_lost", "after", after, "err", err)
		}
		lost = true
		pause(ctx, retry)
		retry = min(2*retry, maxRetry)
	}
}

func (f *Follower) next(ctx context.Context, after uint64) (Batch, error) {
	f.calls.Add(1)
	if after == 0 {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		return f.Source.Load(ctx)
	}
	wait := RelaxedWait
	if f.Watching() {
		wait = WatchWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	return f.Source.Changes(ctx, after, wait)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
