// Package decisionlog writes one line for each routing or placement decision without formatting it on the request
// path. Records go through a bounded channel to one writer; what does not fit is dropped and counted. Frequent events
// are sampled above a rate.
package decisionlog

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
)

// DefaultRate is how many lines a second of one frequent event are written. The line of a 52-leaf search has 2.7 KB, so
// 100 lines are 270 KB/s.
const DefaultRate = 100

// Record is one decision.
type Record struct {
	// Event names the kind of decision, such as route or pin.
	Event string
	// Fields alternate keys and values; values are formatted by the writer, so they must not change afterwards.
	Fields []any
}

// Log accepts records from the request path.
type Log struct {
	records  chan Record
	logger   *log.Logger
	clock    clockwork.Clock
	rate     int
	samplers sync.Map // event to *sampler

	dropped atomic.Uint64
	written atomic.Uint64
	sampled atomic.Uint64
}

// Option changes a default of a log.
type Option func(*Log)

// WithClock sets the clock that the rate is measured with.
func WithClock(c clockwork.Clock) Option { return func(l *Log) { l.clock = c } }

// WithRate sets how many lines a second of one frequent event are written.
func WithRate(linesPerSecond int) Option { return func(l *Log) { l.rate = max(1, linesPerSecond) } }

// New returns a log that holds up to capacity records.
func New(logger *log.Logger, capacity int, options ...Option) *Log {
	l := &Log{records: make(chan Record, capacity), logger: logger, clock: clockwork.NewRealClock(), rate: DefaultRate}
	for _, o := range options {
		o(l)
	}
	return l
}

// Admit reports whether the next line of a frequent event is to be added, and that it stands for one in every lines.
// The caller states that number in the line. It saves building the fields of lines that are not written.
func (l *Log) Admit(event string) (every int, ok bool) {
	s, found := l.samplers.Load(event)
	if !found {
		s, _ = l.samplers.LoadOrStore(event, &sampler{every: 1})
	}
	every, ok = s.(*sampler).admit(l.clock.Now(), l.rate)
	if !ok {
		l.sampled.Add(1)
	}
	return every, ok
}

// Add queues a record; it never blocks.
func (l *Log) Add(event string, fields ...any) {
	select {
	case l.records <- Record{Event: event, Fields: fields}:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns how many records did not fit.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Written returns how many lines were written.
func (l *Log) Written() uint64 { return l.written.Load() }

// SampledOut returns how many lines the rate left out.
func (l *Log) SampledOut() uint64 { return l.sampled.Load() }

// Run writes records until the context ends, then writes what is queued.
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
