// Package feed mirrors the records that the operator and the targets publish. A mirror receives changes from the source
// where they are published and from other VMs. No record is replaced by an older one, wherever the older one comes
// from.
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

// Batch is a set of records from a source or a peer: either changes or a full copy.
type Batch struct {
	Records []Record
	// Revision is the revision that a mirror reaches by applying the batch.
	Revision uint64
	// Full reports that the batch is a full copy: keys without a record do not exist.
	Full bool
	// Reads is the number of calls to the source that the batch took, 0 if unknown.
	Reads int
	// Unreadable is the number of items of the source that could not be read and are left out.
	Unreadable int
}

// newest returns the highest revision of a record in the batch.
func (b *Batch) newest() uint64 {
	var newest uint64
	for i := range b.Records {
		newest = max(newest, b.Records[i].Revision)
	}
	return newest
}

// valueBytes returns the size of all values in the batch.
func (b *Batch) valueBytes() int {
	n := 0
	for i := range b.Records {
		n += len(b.Records[i].Value)
	}
	return n
}

// maxTombstones limits the tombstones, the records of deleted keys, that are kept for peers that lag behind. A peer
// that lags further gets a full copy.
const maxTombstones = 1024

// Mirror is a copy of the published records. It is safe for concurrent use.
type Mirror struct {
	mu       sync.Mutex
	records  map[string]Record
	revision uint64
	// recordRevision is the highest revision of a record.
	recordRevision uint64
	// prunedRevision is the revision up to which deletions may be missing, because they were pruned or never received.
	prunedRevision uint64
	tombstones     int
	// valueBytes is the size of all values.
	valueBytes int
	onChange   func(revision uint64, changed []Record)
}

// NewMirror returns an empty mirror. After each batch that changed records, and after the first one, onChange is called
// with the mirror's revision and the changed records. Calls are made one at a time and in order; onChange must not call
// the mirror.
func NewMirror(onChange func(revision uint64, changed []Record)) *Mirror {
	return &Mirror{records: map[string]Record{}, onChange: onChange}
}

// Revision returns the highest revision of a batch applied so far, or 0 if there was none. The mirror holds all changes up
// to it.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// RequiredRevision returns the lowest revision from which another mirror, given the records here that are newer, holds
// all changes that this one holds. It is the highest revision of a record, or the revision up to which deletions may be
// missing here if that is higher, and unlike Revision does not increase while no record changes. It is no proof that this
// mirror holds all changes up to it: a full copy may have been read by several calls between which records changed.
func (m *Mirror) RequiredRevision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(m.recordRevision, m.prunedRevision)
}

// ValueBytes returns the size of all values.
func (m *Mirror) ValueBytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.valueBytes
}

// Apply applies a batch and returns how many records it changed. Records older than the known ones are ignored.
func (m *Mirror) Apply(b Batch) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := slices.Clone(b.Records)
	if b.Full {
		records = append(records, m.implicitDeletions(b)...)
	}
	slices.SortFunc(records, func(x, y Record) int { return cmp.Compare(x.Revision, y.Revision) })
	var changed []Record
	for _, r := range records {
		if m.applyRecord(r) {
			changed = append(changed, r)
		}
	}
	if b.Full {
		// A full copy does not list keys that were deleted before it, so this mirror cannot pass on their deletions.
		m.prunedRevision = max(m.prunedRevision, b.Revision)
	}
	first := m.revision == 0
	m.revision = max(m.revision, b.Revision)
	m.pruneTombstones()
	if len(changed) > 0 || first {
		m.onChange(m.revision, changed)
	}
	return len(changed)
}

// implicitDeletions returns a deletion for each known key that is not in a full copy.
func (m *Mirror) implicitDeletions(b Batch) []Record {
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
	}
	var deletions []Record
	for key, r := range m.records {
		if !present[key] && !r.Deleted && r.Revision <= b.Revision {
			deletions = append(deletions, Record{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
	return deletions
}

// applyRecord stores a record that is newer than the known one, and reports whether a value was changed or a key was
// deleted. An implicit deletion has the revision of the full copy, which may equal that of the known record; it still
// replaces the record.
func (m *Mirror) applyRecord(r Record) bool {
	old, known := m.records[r.Key]
	if known && (r.Revision < old.Revision || r.Revision == old.Revision && r.Deleted == old.Deleted) {
		return false
	}
	if !known && (r.Deleted && r.Revision <= m.revision || r.Revision <= m.prunedRevision) {
		// The key is already deleted: either the record says so, or the record is so old that its deletion may be
		// missing here, and the key would be known if it still existed.
		return false
	}
	m.records[r.Key] = r
	m.valueBytes += len(r.Value) - len(old.Value)
	m.recordRevision = max(m.recordRevision, r.Revision)
	m.tombstones += boolToInt(r.Deleted) - boolToInt(known && old.Deleted)
	return !r.Deleted || known && !old.Deleted
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// pruneTombstones drops the oldest half of the deletions when there are more than maxTombstones.
func (m *Mirror) pruneTombstones() {
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
		m.prunedRevision = max(m.prunedRevision, r.Revision)
	}
	m.tombstones = len(deleted) - len(deleted)/2
}

// Changes returns the changes after a revision, or a full copy if after is 0 or if deletions since then may be missing.
func (m *Mirror) Changes(after uint64) Batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Batch{Revision: m.revision, Full: after == 0 || after < m.prunedRevision}
	for _, r := range m.records {
		if b.Full && r.Deleted || !b.Full && r.Revision <= after {
			continue
		}
		b.Records = append(b.Records, r)
	}
	return b
}
