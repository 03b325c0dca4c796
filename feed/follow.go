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
	// watchWait is how long a call waits for changes. A call that went silent is noticed after watchWait + callMargin,
	// which leaves time within the three seconds in which a leaving target must be left.
	watchWait = 1800 * time.Millisecond
	// callMargin is how much longer than its wait a call may take.
	callMargin = 700 * time.Millisecond
	// loadTimeout bounds a whole read.
	loadTimeout = 2 * time.Second
	// batchDelay gathers changes that come in a series into one call.
	batchDelay = 400 * time.Millisecond
	// minRetry and maxRetry bound the pause after a failed call.
	minRetry = 100 * time.Millisecond
	maxRetry = 800 * time.Millisecond
	// standbyPoll is how often a VM that does not follow the source checks whether it should.
	standbyPoll = 200 * time.Millisecond
)

// Follower keeps a mirror up to date from its source.
type Follower struct {
	source Source
	mirror *Mirror
	logger *log.Logger
	// watching reports whether this VM follows the source for its peers; others learn from them.
	watching func() bool
	// news is told of each batch from the source that is not whole, with the newest record known before it. A batch
	// without records tells that the source is still in touch.
	news func(before uint64, b Batch)

	start       time.Time
	lastContact atomic.Int64 // nanoseconds since start; 0 if there was none
	calls       atomic.Uint64
	failures    atomic.Uint64
}

// NewFollower returns a follower that has not yet reached its source.
func NewFollower(source Source, mirror *Mirror, logger *log.Logger, watching func() bool, news func(uint64, Batch)) *Follower {
	return &Follower{source: source, mirror: mirror, logger: logger, watching: watching, news: news, start: time.Now()}
}

// Calls returns how many calls were made.
func (f *Follower) Calls() uint64 { return f.calls.Load() }

// Failures returns how many calls failed.
func (f *Follower) Failures() uint64 { return f.failures.Load() }

// LastContact returns when the source last answered; the zero time if it never did.
func (f *Follower) LastContact() time.Time {
	if since := f.lastContact.Load(); since != 0 {
		return f.start.Add(time.Duration(since))
	}
	return time.Time{}
}

// Run follows the source until the context ends.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetry
	lost, whole := false, false
	for ctx.Err() == nil {
		after := f.mirror.Revision()
		if whole {
			after = 0
		}
		if after != 0 && !f.watching() {
			pause(ctx, standbyPoll)
			continue
		}
		err := f.step(ctx, after)
		if ctx.Err() != nil {
			return
		}
		whole = errors.Is(err, ErrHistoryGone) || whole && err != nil
		switch {
		case err == nil:
			if lost || after == 0 {
				f.logger.Info("source_regained", "after", after, "revision", f.mirror.Revision())
			}
			lost, retry = false, minRetry
		case errors.Is(err, ErrHistoryGone):
			f.logger.Warn("source_history_gone", "after", after)
		default:
			if !lost {
				f.logger.Warn("source_lost", "after", after, "err", err)
			}
			lost = true
			pause(ctx, retry)
			retry = min(2*retry, maxRetry)
		}
	}
}

// step makes one call and applies its result.
func (f *Follower) step(ctx context.Context, after uint64) error {
	f.calls.Add(1)
	batch, err := f.call(ctx, after)
	if err != nil {
		f.failures.Add(1)
		return err
	}
	f.lastContact.Store(int64(time.Since(f.start)))
	before := f.mirror.Newest()
	if f.mirror.Apply(batch); !batch.Whole {
		f.news(before, batch)
	}
	if len(batch.Records) > 0 {
		pause(ctx, batchDelay)
	}
	return nil
}

func (f *Follower) call(ctx context.Context, after uint64) (Batch, error) {
	if after == 0 {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		return f.source.Load(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callMargin)
	defer cancel()
	return f.source.Changes(ctx, after, watchWait)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
