package quarantine

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"teaselbank.example/teaselbank/ident"
)

// Limits of the table.
const (
	// MaxTargets is how many targets a fingerprint may reach through one home before a reply shows that it is safe. It is
	// also the number of crashes after which the fingerprint is quarantined.
	MaxTargets = 2
	// TTL is how long a fingerprint stays quarantined, and how long the targets that it reached without a reply are kept.
	TTL = 10 * time.Minute
	// maxSafe bounds the safe fingerprints; 32,768 of about 150 bytes take 5 MB.
	maxSafe = 32768
	// maxSuspects bounds the fingerprints without a verdict and those in quarantine. No entry is evicted before it
	// expires, so that many new fingerprints cannot push out a quarantined one; while the table is full, no canary of a
	// new fingerprint is sent.
	maxSuspects = 32768
)

// suspect is a fingerprint that reached targets without a reply, or is quarantined.
type suspect struct {
	targets     []ident.TargetID
	crashes     int
	quarantined bool
	expires     time.Time
}

// table holds the safe, suspect and quarantined fingerprints of a VM. It is safe for concurrent use.
type table struct {
	mu       sync.Mutex
	safe     *lru.Cache[string, struct{}]
	suspects map[string]*suspect
	// max bounds the number of suspects.
	max int
}

func newTable(suspects int) *table {
	// lru.New fails only if the size is not positive.
	safe, _ := lru.New[string, struct{}](maxSafe)
	return &table{safe: safe, suspects: map[string]*suspect{}, max: suspects}
}

// unexpired returns the entry of a fingerprint. It returns nil if there is none or the entry has expired; an expired
// entry is deleted.
func (t *table) unexpired(fingerprint string, now time.Time) *suspect {
	s := t.suspects[fingerprint]
	if s != nil && !now.Before(s.expires) {
		delete(t.suspects, fingerprint)
		return nil
	}
	return s
}

// isSafe reports whether the fingerprint is safe, and marks it as recently used.
func (t *table) isSafe(fingerprint string) bool {
	_, ok := t.safe.Get(fingerprint)
	return ok
}

func (t *table) isQuarantined(fingerprint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.unexpired(fingerprint, now)
	return s != nil && s.quarantined
}

// reserve records, before a send, that the fingerprint reaches the target. ok is false if the fingerprint already has
// MaxTargets other targets, or the table is full. added reports that the target was not among the targets of the
// fingerprint before.
func (t *table) reserve(fingerprint string, target ident.TargetID, now time.Time) (added, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.unexpired(fingerprint, now)
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

// add adds a suspect without targets and returns it. It returns nil if the table is full of entries that have not
// expired.
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

// release removes a target that reserve added. It is called if the target provably did not run the request, or replied
// to it.
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

// recordCrash counts a crash and reports whether the fingerprint is now quarantined.
func (t *table) recordCrash(fingerprint string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.unexpired(fingerprint, now)
	if s == nil {
		return false
	}
	s.crashes++
	s.expires = now.Add(TTL)
	s.quarantined = s.quarantined || s.crashes >= MaxTargets
	return s.quarantined
}

// quarantine records a quarantine that another home decided, for at most TTL. It records none if the table is full.
func (t *table) quarantine(fingerprint string, remaining time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.safe.Remove(fingerprint)
	s := t.unexpired(fingerprint, now)
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

// markSafe records that the fingerprint is safe, unless it is quarantined.
func (t *table) markSafe(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[fingerprint]; s == nil || !s.quarantined {
		delete(t.suspects, fingerprint)
		t.safe.Add(fingerprint, struct{}{})
	}
}

// size returns the number of suspects.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects)
}
