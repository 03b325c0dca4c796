// Package feed keeps a copy of what the operator and the targets publish, and follows its changes from the publisher
// and from other VMs. The copy only moves forward, whichever source a change comes from.
package feed

import (
	"cmp"
	"slices"
	"sync"
)

// Record is the newest known state of one key.
type Record struct {
	Key string
	// Value is nil if the key was deleted.
	Value []byte
	// Revision orders all changes of all keys.
	Revision uint64
	Deleted  bool
}

// Batch is what a source returned.
type Batch struct {
	Records []Record
	// Revision is the state that the records lead to.
	Revision uint64
	// Whole reports that keys that are not among the records do not exist.
	Whole bool
}

// maxTombstones bounds the deleted keys that are kept for peers that lag; a peer that lags further gets a whole copy.
const maxTombstones = 1024

// Mirror is the copy. Its methods may be called by several goroutines.
type Mirror struct {
	mu       sync.Mutex
	records  map[string]Record
	revision uint64
	// newest is the greatest revision of a record.
	newest uint64
	// forgotten is the revision up to which deletions may not be kept.
	forgotten  uint64
	tombstones int
	onChange   func(revision uint64, changed []Record)
}

// NewMirror returns an empty copy. onChange is called in order with the records that a batch changed; it must not call
// the mirror.
func NewMirror(onChange func(revision uint64, changed []Record)) *Mirror {
	return &Mirror{records: map[string]Record{}, onChange: onChange}
}

// Revision returns the newest state applied; 0 if there is none.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Newest returns the greatest revision of a record; unlike Revision it does not grow while nothing changes.
func (m *Mirror) Newest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newest
}

// Apply takes a batch and returns how many records it changed. A record older than the one known is ignored.
func (m *Mirror) Apply(b Batch) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := slices.Clone(b.Records)
	if b.Whole {
		records = append(records, m.missing(b)...)
	}
	slices.SortFunc(records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	var changed []Record
	for _, r := range records {
		if m.take(r) {
			changed = append(changed, r)
		}
	}
	if b.Whole {
		// Keys that were deleted before a whole copy are not in it, so this VM can't tell peers of them.
		m.forgotten = max(m.forgotten, b.Revision)
	}
	first := m.revision == 0
	m.revision = max(m.revision, b.Revision)
	m.prune()
	if len(changed) > 0 || first {
		m.onChange(m.revision, changed)
	}
	return len(changed)
}

// missing returns deletions of the known keys that a whole batch does not name.
func (m *Mirror) missing(b Batch) []Record {
	named := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		named[r.Key] = true
	}
	var gone []Record
	for key, r := range m.records {
		if !named[key] && !r.Deleted && r.Revision <= b.Revision {
			gone = append(gone, Record{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
	return gone
}

// take stores a record that is newer than the known one and reports whether it changed anything. A deletion found by a
// whole batch bears the revision of that batch, which may be the one of the last change.
func (m *Mirror) take(r Record) bool {
	old, known := m.records[r.Key]
	if known && (r.Revision < old.Revision || r.Revision == old.Revision && r.Deleted == old.Deleted) {
		return false
	}
	if !known && (r.Deleted && r.Revision <= m.revision || r.Revision <= m.forgotten) {
		// A key that is unknown here, and older than what was forgotten, has been deleted since.
		return false
	}
	m.records[r.Key] = r
	m.newest = max(m.newest, r.Revision)
	m.tombstones += count(r.Deleted) - count(known && old.Deleted)
	return !r.Deleted || known && !old.Deleted
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// prune drops the oldest half of the deletions when there are too many.
func (m *Mirror) prune() {
	if m.tombstones <= maxTombstones {
		return
	}
	var deleted []Record
	for _, r := range m.records {
		if r.Deleted {
			deleted = append(deleted, r)
		}
	}
	slices.SortFunc(deleted, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	for _, r := range deleted[:len(deleted)/2] {
		delete(m.records, r.Key)
		m.forgotten = max(m.forgotten, r.Revision)
	}
	m.tombstones = len(deleted) - len(deleted)/2
}

// Changes returns what changed after a revision; the whole copy if deletions since then are no longer known.
func (m *Mirror) Changes(after uint64) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Revision: m.revision, Whole: after == 0 || after < m.forgotten}
	for _, r := range m.records {
		if b.Whole && r.Deleted || !b.Whole && r.Revision <= after {
			continue
		}
		b.Records = append(b.Records, r)
	}
	return b
}
