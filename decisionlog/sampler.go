package decisionlog

import (
	"sync"
	"time"
)

// window is the interval over which the rate of an event is measured.
const window = time.Second

// sampler decides which lines of one event are kept.
type sampler struct {
	mu sync.Mutex
	// started is the start of the current window; seen and kept count its lines.
	started time.Time
	// every is the sampling interval: one of that many lines is kept.
	every int
	seen  int
	kept  int
}

// admit decides whether to keep one line and returns the sampling interval. A window starts with the interval that would
// have kept at most rate lines of the previous window, or with 1 if no line arrived for at least one window. The interval
// doubles each time that rate lines were kept, so the number of lines kept stays bounded when the rate rises suddenly.
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
