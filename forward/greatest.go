package forward

import (
	"container/heap"
	"encoding/binary"
	"slices"
)

// recordSize is the size of one record in bytes; a shorter rest is no record.
const recordSize = 16

// record is one record as two numbers that compare like its bytes.
type record struct{ high, low uint64 }

func (r record) less(o record) bool { return r.high < o.high || r.high == o.high && r.low < o.low }

// greatest keeps the greatest records of several replies; equal records all count.
type greatest struct {
	limit   int
	records smallestFirst
}

type smallestFirst []record

func (s smallestFirst) Len() int           { return len(s) }
func (s smallestFirst) Less(i, j int) bool { return s[i].less(s[j]) }
func (s smallestFirst) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *smallestFirst) Push(x any)        { *s = append(*s, x.(record)) }
func (s *smallestFirst) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

func newGreatest(limit int) *greatest { return &greatest{limit: limit} }

// add takes the records of one reply, which are in no order.
func (g *greatest) add(body []byte) {
	for ; len(body) >= recordSize; body = body[recordSize:] {
		r := record{binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])}
		switch {
		case len(g.records) < g.limit:
			heap.Push(&g.records, r)
		case g.limit > 0 && g.records[0].less(r):
			g.records[0] = r
			heap.Fix(&g.records, 0)
		}
	}
}

// sorted returns the records, the greatest first.
func (g *greatest) sorted() []byte {
	slices.SortFunc(g.records, func(a, b record) int {
		switch {
		case b.less(a):
			return -1
		case a.less(b):
			return 1
		}
		return 0
	})
	out := make([]byte, 0, len(g.records)*recordSize)
	for _, r := range g.records {
		out = binary.BigEndian.AppendUint64(out, r.high)
		out = binary.BigEndian.AppendUint64(out, r.low)
	}
	return out
}
