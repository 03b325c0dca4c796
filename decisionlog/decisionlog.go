// Package decisionlog writes one line for each routing or placement decision without formatting it on the request
// path. Records go through a bounded channel to one writer; what does not fit is dropped and counted.
package decisionlog

import (
	"context"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// Record is one decision.
type Record struct {
	// Event names the kind of decision, such as route or pin.
	Event string
	// Fields alternate keys and values; values are formatted by the writer, so they must not change afterwards.
	Fields []any
}

// Log accepts records from the request path.
type Log struct {
	records chan Record
	logger  *log.Logger
	dropped atomic.Uint64
	written atomic.Uint64
}

// New returns a log that holds up to capacity records.
func New(logger *log.Logger, capacity int) *Log {
	return &Log{records: make(chan Record, capacity), logger: logger}
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
