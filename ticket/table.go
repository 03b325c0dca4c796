package ticket

import (
	"crypto/sha256"
	"time"

	"teaselbank.example/teaselbank/outcome"
)

// Bounds of the table. An issued ticket reserves its record, so that a record can always be written before a send and
// not_run stays true for a copy of the request that arrives later. 32,768 records at a lifetime of 30 s and a retention
// of 10 min allow about 50 used tickets/s; 16 MB leave half of a node's 32 MB of control memory.
const (
	defaultMaxRecords = 32768
	defaultMaxBytes   = 16 << 20
	// maxRecordedBody bounds the reply that is kept for resends. A longer one is delivered once; resends get complete
	// without a body and the reason capacity.
	maxRecordedBody = 32 << 10
	recordOverhead  = 512
)

// sweepInterval spaces the removal of records whose retention is over.
const sweepInterval = time.Second

// record is one ticket of this incarnation.
type record struct {
	// expires and dropAt are times since the start of the incarnation.
	expires time.Duration
	dropAt  time.Duration
	// used is set before the first send and never unset.
	used   bool
	body   [sha256.Size]byte
	result Outcome
	// done is closed when result stands.
	done chan struct{}
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

// table holds the records of an incarnation; its user serialises access.
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

// reserve adds the record of a new ticket, or reports that the table is full.
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

// sweep drops records whose retention is over and unused tickets that expired: an expired ticket never runs, so its
// absence says not_run.
func (t *table) sweep(now time.Duration) {
	t.nextSweep = now + sweepInterval
	for nonce, r := range t.records {
		unused := !r.used && now >= r.expires
		over := r.used && now >= r.dropAt && r.finished()
		if unused || over {
			t.bytes -= r.size
			delete(t.records, nonce)
		}
	}
}

// finish records the outcome; the body is kept only if it fits.
func (t *table) finish(r *record, o Outcome) {
	r.result = o
	if len(o.Body) > maxRecordedBody || t.bytes+len(o.Body) > t.maxBytes {
		r.result.Body, r.result.Reason = nil, outcome.ReasonCapacity
	}
	r.size += len(r.result.Body)
	t.bytes += len(r.result.Body)
	close(r.done)
}
