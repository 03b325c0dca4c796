package dispatch

import (
	"sync"
	"time"
)

// budgetBuckets is how many time buckets a window is counted in. With more buckets, old sends would expire more evenly.
const budgetBuckets = 20

// usableBudgetShare is the share of the allowed extra sends that is used. The rest is a margin, because the targets count
// requests in windows that are not aligned with those of this VM.
const usableBudgetShare = 0.85

// Budget bounds this VM's extra sends to one service in a sliding window. The bound for all VMs together is a share of
// the requests plus a constant. Each VM applies the share to its own requests and uses its part of the constant. It is
// safe for concurrent use.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu         sync.Mutex
	bucket     int64
	firstSends [budgetBuckets]int
	extraSends [budgetBuckets]int
}

// NewBudget returns a budget of usableBudgetShare x (ratio x requests + part x slack) extra sends in any window, where
// part is this VM's part of the constant.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: window}
}

// RecordFirstSend counts a first send. at is the time since the start of the process, here and in the other methods.
func (b *Budget) RecordFirstSend(at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceTo(at)
	b.firstSends[b.bucket%budgetBuckets]++
}

// Take reports whether one more extra send is allowed and, if so, counts it. part is this VM's part of the constant, from
// 0 to 1; the parts of all VMs must not add up to more than 1.
func (b *Budget) Take(at time.Duration, part float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceTo(at)
	firstSends, extraSends := 0, 0
	for i := range b.firstSends {
		firstSends += b.firstSends[i]
		extraSends += b.extraSends[i]
	}
	allowed := usableBudgetShare * (b.ratio*float64(firstSends) + b.slack*part)
	if float64(extraSends+1) > allowed {
		return false
	}
	b.extraSends[b.bucket%budgetBuckets]++
	return true
}

// Refund returns to the budget an extra send that Take counted but that was not made, or that provably never reached a
// target.
func (b *Budget) Refund(at time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advanceTo(at)
	for i := range budgetBuckets {
		slot := (b.bucket - int64(i) + budgetBuckets) % budgetBuckets
		if b.extraSends[slot] > 0 {
			b.extraSends[slot]--
			return
		}
	}
}

// advanceTo moves to the bucket of a time since the start of the process, and clears the buckets that it enters.
func (b *Budget) advanceTo(at time.Duration) {
	bucket := int64(at / (b.window / (budgetBuckets - 1)))
	if bucket-b.bucket >= budgetBuckets {
		b.firstSends, b.extraSends, b.bucket = [budgetBuckets]int{}, [budgetBuckets]int{}, bucket
	}
	for b.bucket < bucket {
		b.bucket++
		b.firstSends[b.bucket%budgetBuckets], b.extraSends[b.bucket%budgetBuckets] = 0, 0
	}
}
