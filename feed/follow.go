package feed

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// ErrHistoryGone is returned by a source that no longer has the requested changes.
var ErrHistoryGone = errors.New("changes after the requested revision are no longer available")

// Source is the store in which the operator and the targets publish records.
type Source interface {
	// Load returns all records.
	Load(ctx context.Context) (Batch, error)
	// Changes returns the changes after a revision. If there is none, it waits for one, at most for the duration wait.
	// It returns ErrHistoryGone if the source no longer has all changes after the revision.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Timing of calls to the source.
const (
	// watchWait is how long a call waits for changes. A call without a reply fails after watchWait + callMargin, which
	// leaves time within the three seconds after which a leaving target must get no more work.
	watchWait = 1800 * time.Millisecond
	// callMargin is how much longer than watchWait a call may take.
	callMargin = 700 * time.Millisecond
	// loadTimeout limits a read of all records.
	loadTimeout = 2 * time.Second
	// batchDelay is the wait after a batch with records, so that one call returns a series of changes.
	batchDelay = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the delay after a failed call, which doubles with each further failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// standbyCheckInterval is how often a VM that does not follow the source checks whether it has to.
	standbyCheckInterval = 100 * time.Millisecond
)

// Follower applies the changes of a source to a mirror. To follow the source means to read its changes directly rather
// than to receive them from other VMs.
type Follower struct {
	source Source
	mirror *Mirror
	logger *log.Logger
	// shouldFollow reports whether this VM follows the source; other VMs receive the changes from those that do.
	shouldFollow func() bool
	// onBatch is called with each batch of changes from the source, but not with full copies, and with the value of
	// Mirror.RequiredRevision before the batch. A batch without records shows that the source still replies.
	onBatch func(before uint64, b Batch)

	start       time.Time
	lastContact atomic.Int64 // nanoseconds since start; 0 if there was none
	calls       atomic.Uint64
	failures    atomic.Uint64
}

// NewFollower returns a follower. It makes no call before Run.
func NewFollower(source Source, mirror *Mirror, logger *log.Logger, shouldFollow func() bool, onBatch func(uint64, Batch)) *Follower {
	return &Follower{source: source, mirror: mirror, logger: logger, shouldFollow: shouldFollow, onBatch: onBatch, start: time.Now()}
}

// Calls returns the number of calls to the source.
func (f *Follower) Calls() uint64 { return f.calls.Load() }

// Failures returns the number of calls to the source that failed.
func (f *Follower) Failures() uint64 { return f.failures.Load() }

// LastContact returns when the source last replied, or the zero time if it never did.
func (f *Follower) LastContact() time.Time {
	if since := f.lastContact.Load(); since != 0 {
		return f.start.Add(time.Duration(since))
	}
	return time.Time{}
}

// Run follows the source until the context ends. It loads all records while the mirror is empty and when the source no
// longer has the changes that the mirror needs; otherwise it waits for changes while shouldFollow returns true.
func (f *Follower) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	disconnected, reload := false, false
	for ctx.Err() == nil {
		after := f.mirror.Revision()
		if reload {
			after = 0
		}
		if after != 0 && !f.shouldFollow() {
			sleep(ctx, standbyCheckInterval)
			continue
		}
		err := f.poll(ctx, after)
		if ctx.Err() != nil {
			return
		}
		reload = errors.Is(err, ErrHistoryGone) || reload && err != nil
		switch {
		case err == nil:
			if disconnected || after == 0 {
				f.logger.Info("source_regained", "after", after, "revision", f.mirror.Revision())
			}
			disconnected, retryDelay = false, minRetryDelay
		case errors.Is(err, ErrHistoryGone):
			f.logger.Warn("source_history_gone", "after", after)
		default:
			if !disconnected {
				f.logger.Warn("source_lost", "after", after, "err", err)
			}
			disconnected = true
			sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
}

// poll makes one call to the source and applies its result.
func (f *Follower) poll(ctx context.Context, after uint64) error {
	f.calls.Add(1)
	batch, err := f.fetch(ctx, after)
	if err != nil {
		f.failures.Add(1)
		return err
	}
	f.lastContact.Store(int64(time.Since(f.start)))
	if batch.Full {
		f.logger.Info("source_loaded", "records", len(batch.Records), "reads", batch.Reads, "revision", batch.Revision, "newest", batch.newest())
	}
	if batch.Unreadable > 0 {
		f.logger.Warn("source_items_unreadable", "items", batch.Unreadable, "after", after, "revision", batch.Revision)
	}
	before := f.mirror.RequiredRevision()
	if f.mirror.Apply(batch); !batch.Full {
		f.onBatch(before, batch)
	}
	if len(batch.Records) > 0 {
		sleep(ctx, batchDelay)
	}
	return nil
}

// fetch returns the changes after a revision, or all records if after is 0.
func (f *Follower) fetch(ctx context.Context, after uint64) (Batch, error) {
	if after == 0 {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		return f.source.Load(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+callMargin)
	defer cancel()
	return f.source.Changes(ctx, after, watchWait)
}

// sleep returns after d or when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
