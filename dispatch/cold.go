package dispatch

import (
	"sync"
	"time"
)

// coldWindow is the sliding window of the bound on requests to a cold target.
const coldWindow = time.Second

// usableColdShare is the share of the bound that is used. The rest is a margin, because requests that leave within one
// window can arrive within a shorter one.
const usableColdShare = 0.8

// ColdShare returns how many requests a second this VM may send to a cold target, so that all VMs together stay within
// bound, in requests a second. Without a bound, a target that starts or a zone that returns would get requests from the
// whole fleet at once. vms is an upper bound of the number of VMs, and rank is the rank of this VM for the target, from
// 0. If the requests do not divide evenly, the VMs that rank first get one request more than the others. If there are
// more VMs than requests, those that rank first get one request each and the others none.
func ColdShare(bound float64, vms, rank int) int {
	total := int(usableColdShare * bound)
	each, rest := total/max(1, vms), total%max(1, vms)
	if rank < rest {
		each++
	}
	return each
}

// ColdLimiter limits this VM's requests to one cold target. It is safe for concurrent use.
type ColdLimiter struct {
	mu   sync.Mutex
	sent []time.Time
}

// CanSend reports whether one more request may be sent now, given the VM's share in requests a second.
func (l *ColdLimiter) CanSend(now time.Time, share int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	return len(l.sent) < share
}

// Record counts a request that is sent now.
func (l *ColdLimiter) Record(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	l.sent = append(l.sent, now)
}

func (l *ColdLimiter) dropExpired(now time.Time) {
	keep := 0
	for keep < len(l.sent) && now.Sub(l.sent[keep]) >= coldWindow {
		keep++
	}
	l.sent = l.sent[keep:]
}
