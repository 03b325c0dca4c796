package quarantine

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"teaselbank.example/teaselbank/ident"
)

// Limits of a home.
const (
	// MaxTargets is how many targets one fingerprint may reach through one home before a reply shows that it is safe.
	MaxTargets = 2
	// TTL is how long a fingerprint is quarantined, and how long the targets it reached without a reply are remembered.
	TTL = 10 * time.Minute
	// maxSafe bounds the safe fingerprints; 32,768 of about 150 bytes take 5 MB.
	maxSafe = 32768
	// maxSuspects bounds the fingerprints without a verdict and those in quarantine. None is evicted before its time,
	// so that pushing others in does not free one; when the table is full no new fingerprint is tried.
	maxSuspects = 32768
)

// suspect is a fingerprint that reached targets without a reply, or is quarantined.
type suspect struct {
	targets     []ident.TargetID
	crashes     int
	quarantined bool
	expires     time.Time
}

// table holds what a VM knows of fingerprints.
type table struct {
	mu       sync.Mutex
	safe     *lru.Cache[string, struct{}]
	suspects map[string]*suspect
	max      int
}

func newTable(suspects int) *table {
	// The size is a positive constant, the only thing that New can refuse.
	safe, _ := lru.New[string, struct{}](maxSafe)
	return &table{safe: safe, suspects: map[string]*suspect{}, max: suspects}
}

// live returns the unexpired entry of a fingerprint, or nil.
func (t *table) live(fingerprint string, now time.Time) *suspect {
	s := t.suspects[fingerprint]
	if s != nil && !now.Before(s.expires) {
		delete(t.suspects, fingerprint)
		return nil
	}
	return s
}

// isSafe also marks the fingerprint as recently used.
func (t *table) isSafe(fingerprint string) bool {
	_, ok := t.safe.Get(fingerprint)
	return ok
}

func (t *table) isQuarantined(fingerprint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.live(fingerprint, now)
	return s != nil && s.quarantined
}

// charge records, before the send, that the fingerprint reaches the target. It refuses a target beyond MaxTargets.
// fresh reports that the target was not charged before.
func (t *table) charge(fingerprint string, target ident.TargetID, now time.Time) (fresh, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.live(fingerprint, now)
	if s == nil {
		if s = t.add(fingerprint, now); s == nil {
			return false, false
		}
	}
	if slices.Contains(s.targets, target) {
		return false, true
	}
	if len(s.targets) >= MaxTargets {
		return false, false
	}
	s.targets = append(s.targets, target)
	s.expires = now.Add(TTL)
	return true, true
}

func (t *table) add(fingerprint string, now time.Time) *suspect {
	if len(t.suspects) >= t.max {
		for f, s := range t.suspects {
			if !now.Before(s.expires) {
				delete(t.suspects, f)
			}
		}
	}
	if len(t.suspects) >= t.max {
		return nil
	}
	s := &suspect{expires: now.Add(TTL)}
	t.suspects[fingerprint] = s
	return s
}

// release takes a fresh charge back: the target provably did not run the request, or answered it.
func (t *table) release(fingerprint string, target ident.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
	if s == nil {
		return
	}
	s.targets = slices.DeleteFunc(s.targets, func(id ident.TargetID) bool { return id == target })
	if len(s.targets) == 0 && s.crashes == 0 && !s.quarantined {
		delete(t.suspects, fingerprint)
	}
}

// crashed counts a crash and reports whether the fingerprint is quarantined by it.
func (t *table) crashed(fingerprint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.live(fingerprint, now)
	if s == nil {
		return false
	}
	s.crashes++
	s.expires = now.Add(TTL)
	s.quarantined = s.quarantined || s.crashes >= MaxTargets
	return s.quarantined
}

// quarantine takes over a quarantine that another home decided.
func (t *table) quarantine(fingerprint string, remaining time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.safe.Remove(fingerprint)
	s := t.live(fingerprint, now)
	if s == nil {
		if s = t.add(fingerprint, now); s == nil {
			return
		}
		s.expires = now
	}
	s.quarantined = true
	if until := now.Add(min(remaining, TTL)); until.After(s.expires) {
		s.expires = until
	}
}

// passed records that the fingerprint is safe.
func (t *table) passed(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[fingerprint]; s == nil || !s.quarantined {
		delete(t.suspects, fingerprint)
		t.safe.Add(fingerprint, struct{}{})
	}
}

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}
