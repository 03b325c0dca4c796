package decisionlog

import (
	"sync"
	"time"
)

// window is the time over which the rate of an event is measured.
const window = time.Second

// sampler admits one in every lines of an event.
type sampler struct {
	mu      sync.Mutex
	started time.Time
	every   int
	seen    int
	kept    int
}

// admit decides on one line. A window begins with the share that the window before would have needed; the share
// doubles each time that rate lines were kept, so a sudden rise keeps a bounded number of lines.
func (s *sampler) admit(now time.Time, rate int) (every int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if elapsed := now.Sub(s.started); elapsed >= window {
		s.every = 1
		if elapsed < 2*window {
			s.every = max(1, (s.seen+rate-1)/rate)
		}
		s.started, s.seen, s.kept = now, 0, 0
	}
	s.seen++
	if s.seen%s.every != 0 {
		return s.every, false
	}
	every = s.every
	if s.kept++; s.kept%rate == 0 {
		s.every *= 2
	}
	return every, true
}
