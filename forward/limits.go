package forward

import (
	"time"

	"teaselbank.example/teaselbank/leafconn"
)

// observeLimit records the limit that a target's reply states, or that it states none. sent is when the request was sent.
// A reply of another process at the target's address says nothing about the target.
func (s *Service) observeLimit(e *Endpoint, reply *leafconn.Reply, sent, now time.Time) {
	changed := false
	switch {
	case reply == nil || reply.Disposition == leafconn.Misdirected:
	case reply.RateLimit > 0:
		changed = e.limit.Stated(now, reply.RateLimit)
	case reply.OK():
		changed = e.limit.NotStated(sent)
	}
	if changed && s.LimitChanged != nil {
		s.LimitChanged(e.Target, e.limit.PerSecond())
	}
}
