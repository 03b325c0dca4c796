package ticket

import (
	"crypto/sha256"
	"time"

	"teaselbank.example/teaselbank/outcome"
)

// Default limits of the table. Issuing a ticket reserves its record, so that the ticket can always be marked as used
// before a send, and a reported not_run stays true for a copy of the request that arrives later. 32,768 records at a
// lifetime of 30 s and a retention of 10 min allow about 50 used tickets/s; 16 MB are half of the 32 MB of memory that
// the control plane of a VM may use.
const (
	defaultMaxRecords = 32768
	defaultMaxBytes   = 16 << 20
	// maxRecordedBody bounds the reply body that is kept for resends, in bytes. With a longer body the outcome is
	// complete, without a body and with the reason capacity.
	maxRecordedBody = 32 << 10
	// recordOverhead is the size, in bytes, that a record is accounted with in addition to its body.
	recordOverhead = 512
)

// sweepInterval is the minimum time between two sweeps of the table.
const sweepInterval = time.Second

// record is the state of one ticket of this incarnation.
type record struct {
	// expires is when the ticket expires, dropAt when the record of a used ticket may be removed; both are times since the
	// start of the incarnation.
	expires time.Duration
	dropAt  time.Duration
	// used is set before the first send and never unset.
	used bool
	// body is the hash of the body that the ticket was used with.
	body [sha256.Size]byte
	// result is the final outcome; it is valid once done is closed.
	result Outcome
	done   chan struct{}
	// size is the accounted size of the record in bytes.
	size int
}

func (r *record) finished() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// table holds the records of an incarnation by the nonces of their tickets. Times are durations since the start of the
// incarnation. It is not safe for concurrent use.
type table struct {
	records   map[string]*record
	maxCount  int
	maxBytes  int
	bytes     int
	nextSweep time.Duration
}

func newTable(maxCount, maxBytes int) *table {
	return &table{records: map[string]*record{}, maxCount: maxCount, maxBytes: maxBytes}
}

// reserve adds the record of a new ticket; it returns false if the table is full.
func (t *table) reserve(nonce string, now, expires, dropAt time.Duration) bool {
	if now >= t.nextSweep {
		t.sweep(now)
	}
	if len(t.records) >= t.maxCount || t.bytes+recordOverhead > t.maxBytes {
		return false
	}
	t.records[nonce] = &record{expires: expires, dropAt: dropAt, done: make(chan struct{}), size: recordOverhead}
	t.bytes += recordOverhead
	return true
}

// sweep removes the records of used tickets whose retention is over, and of unused tickets that expired. An unused
// ticket that expired needs no record: it never runs, so during the retention a missing record means not_run.
func (t *table) sweep(now time.Duration) {
	t.nextSweep = now + sweepInterval
	for nonce, r := range t.records {
		unusedExpired := !r.used && now >= r.expires
		retentionOver := r.used && now >= r.dropAt && r.finished()
		if unusedExpired || retentionOver {
			t.bytes -= r.size
			delete(t.records, nonce)
		}
	}
}

// finish records the outcome of a ticket. A body that exceeds maxRecordedBody or the remaining space is not kept.
func (t *table) finish(r *record, o Outcome) {
	r.result = o
	if len(o.Body) > maxRecordedBody || t.bytes+len(o.Body) > t.maxBytes {
		r.result.Body, r.result.Reason = nil, outcome.ReasonCapacity
	}
	r.size += len(r.result.Body)
	t.bytes += len(r.result.Body)
	close(r.done)
}
