package forward

import (
	"container/heap"
	"encoding/binary"
	"slices"
)

// recordSize is the size of one record in bytes; a shorter remainder at the end of a reply is ignored.
const recordSize = 16

// record is one record as two big-endian numbers, which order records as their bytes do.
type record struct{ high, low uint64 }

func (r record) less(o record) bool { return r.high < o.high || r.high == o.high && r.low < o.low }

// topRecords keeps the greatest records of several replies, at most limit of them. Equal records are all kept.
type topRecords struct {
	limit   int
	records recordHeap
}

// recordHeap is a min-heap for container/heap.
type recordHeap []record

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return h[i].less(h[j]) }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *recordHeap) Push(x any)        { *h = append(*h, x.(record)) }
func (h *recordHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newTopRecords(limit int) *topRecords { return &topRecords{limit: limit} }

// greatest returns the greatest records of one reply, at most limit of them. A short reply is returned as it is.
func greatest(body []byte, limit int) []byte {
	if len(body) <= limit*recordSize {
		return body
	}
	top := newTopRecords(limit)
	top.add(body)
	return top.sorted()
}

// add merges the records of one reply, which may be in any order.
func (t *topRecords) add(body []byte) {
	for ; len(body) >= recordSize; body = body[recordSize:] {
		r := record{binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])}
		switch {
		case len(t.records) < t.limit:
			heap.Push(&t.records, r)
		case t.limit > 0 && t.records[0].less(r):
			t.records[0] = r
			heap.Fix(&t.records, 0)
		}
	}
}

// sorted returns the kept records in the format of a reply body, the greatest first.
func (t *topRecords) sorted() []byte {
	slices.SortFunc(t.records, func(a, b record) int {
		switch {
		case b.less(a):
			return -1
		case a.less(b):
			return 1
		}
		return 0
	})
	out := make([]byte, 0, len(t.records)*recordSize)
	for _, r := range t.records {
		out = binary.BigEndian.AppendUint64(out, r.high)
		out = binary.BigEndian.AppendUint64(out, r.low)
	}
	return out
}
