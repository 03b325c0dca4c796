package gate

import (
	"container/heap"
	"time"

	"teaselbank.example/teaselbank/outcome"
)

// verdict is the gate's decision on a waiting request: the zero reason grants a slot.
type verdict struct {
	reason outcome.Reason
	detail string
}

// waiter is a request that waits for a slot.
type waiter struct {
	request  *outcome.LeafRequest
	deadline time.Time
	arrived  time.Time
	sequence uint64
	// index is the position in the heap, or -1 once the waiter has left it.
	index int
	// decided receives exactly one verdict; it is buffered, so that deciding never blocks.
	decided chan verdict
}

// queue orders waiters by deadline; equal deadlines keep their order of arrival.
type queue []*waiter

// Len is part of heap.Interface.
func (q queue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].deadline.Equal(q[j].deadline) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].deadline.Before(q[j].deadline)
}

// Swap is part of heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is part of heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop is part of heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

func (q *queue) add(w *waiter) { heap.Push(q, w) }

func (q *queue) next() *waiter { return heap.Pop(q).(*waiter) }

// remove takes a waiter out, and reports whether it was still in the queue.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	return true
}

// ahead counts the waiters with an earlier or equal deadline.
func (q queue) ahead(deadline time.Time) int {
	n := 0
	for _, w := range q {
		if !w.deadline.After(deadline) {
			n++
		}
	}
	return n
}
