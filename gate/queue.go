package gate

import (
	"container/heap"
	"time"

	"teaselbank.example/teaselbank/outcome"
)

// decision is the gate's decision on a request. A decision without a reason grants a slot.
type decision struct {
	reason outcome.Reason
	detail string
}

// waiter is a request that waits for a slot.
type waiter struct {
	request  *outcome.LeafRequest
	deadline time.Time
	arrived  time.Time
	sequence uint64
	// index is the waiter's position in the heap, or -1 while it is not queued.
	index int
	// decided receives exactly one decision. It is buffered, so that the gate never blocks on it.
	decided chan decision
}

// queue is a heap of waiters ordered by deadline; waiters with equal deadlines keep their order of arrival.
type queue []*waiter

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].deadline.Equal(q[j].deadline) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].deadline.Before(q[j].deadline)
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

func (q *queue) add(w *waiter) { heap.Push(q, w) }

// next removes and returns the waiter with the earliest deadline.
func (q *queue) next() *waiter { return heap.Pop(q).(*waiter) }

// remove removes a waiter, and reports whether it was still in the queue.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	return true
}

// ahead counts the waiters whose deadline is not after the given one.
func (q queue) ahead(deadline time.Time) int {
	n := 0
	for _, w := range q {
		if !w.deadline.After(deadline) {
			n++
		}
	}
	return n
}
