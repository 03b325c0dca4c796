// Package decisionlog writes one log line for each routing or placement decision without formatting it on the request
// path. Records go through a bounded channel to one writer; records that do not fit are dropped and counted. Frequent
// events are sampled above a rate.
package decisionlog

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
)

// DefaultRate is the default rate, in lines per second for each event, above which frequent events are sampled. The
// line of a search over 52 leaves has 2.7 KB, so 100 lines per second are 270 KB/s.
const DefaultRate = 100

// Record is one decision.
type Record struct {
	// Event is the kind of decision, such as route or pin.
	Event string
	// Fields are alternating keys and values. The writer formats the values later, so they must not be modified.
	Fields []any
}

// Log queues records from the request path until Run writes them.
type Log struct {
	records  chan Record
	logger   *log.Logger
	clock    clockwork.Clock
	rate     int
	samplers sync.Map // event to *sampler

	dropped    atomic.Uint64
	written    atomic.Uint64
	sampledOut atomic.Uint64
}

// Option configures a Log.
type Option func(*Log)

// WithClock sets the clock by which the rate is measured.
func WithClock(c clockwork.Clock) Option { return func(l *Log) { l.clock = c } }

// WithRate sets the rate above which frequent events are sampled, in lines per second for each event. Values below 1
// count as 1.
func WithRate(linesPerSecond int) Option { return func(l *Log) { l.rate = max(1, linesPerSecond) } }

// New returns a log that queues up to capacity records. Run writes them to logger.
func New(logger *log.Logger, capacity int, options ...Option) *Log {
	l := &Log{records: make(chan Record, capacity), logger: logger, clock: clockwork.NewRealClock(), rate: DefaultRate}
	for _, o := range options {
		o(l)
	}
	return l
}

// Admit reports whether the next line of a frequent event should be passed to Add. every is the number of lines that
// this line then represents; the caller includes it in the line. Calling Admit first avoids building the fields of lines
// that are not written.
func (l *Log) Admit(event string) (every int, ok bool) {
	s, found := l.samplers.Load(event)
	if !found {
		s, _ = l.samplers.LoadOrStore(event, &sampler{every: 1})
	}
	every, ok = s.(*sampler).admit(l.clock.Now(), l.rate)
	if !ok {
		l.sampledOut.Add(1)
	}
	return every, ok
}

// Add queues a record, or drops it if the queue is full; it never blocks.
func (l *Log) Add(event string, fields ...any) {
	select {
	case l.records <- Record{Event: event, Fields: fields}:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of records dropped because the queue was full.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Written returns the number of lines written.
func (l *Log) Written() uint64 { return l.written.Load() }

// SampledOut returns the number of lines that Admit left out.
func (l *Log) SampledOut() uint64 { return l.sampledOut.Load() }

// Run writes records until ctx is done, then writes the records that are still queued.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case r := <-l.records:
			l.write(r)
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case r := <-l.records:
			l.write(r)
		default:
			return
		}
	}
}

func (l *Log) write(r Record) {
	l.logger.Info(r.Event, r.Fields...)
	l.written.Add(1)
}
