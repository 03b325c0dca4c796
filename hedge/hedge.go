// Package hedge decides when a leaf request is sent again: after the 95th percentile latency of its service, within a
// budget that hedges and retries share, and not while too many first sends are slow.
package hedge

import (
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/ident"
)

// Parameters of the budget of extra sends.
const (
	// maxTokens bounds the extra sends that can be saved up while few are needed. If one replica of each shard is lost,
	// half of the shards of every 52-leaf search that starts before the first hedges need an extra send. At 151 searches/s
	// these are four searches with 104 such shards; the probes of the lost targets then need extra sends too. At that rate
	// one VM earns 256 tokens in 0.7 s.
	maxTokens = 256
	// maxSlowFraction is the fraction of recent first sends above the hedge delay beyond which extra sends are denied.
	maxSlowFraction = 0.20
	// slowWeight is the weight of one first send in the moving average of that fraction; at 1/200 the average covers
	// about the last four 52-leaf searches.
	slowWeight = 1.0 / 200
	// silentPeriod is how long a target that exceeded the hedge delay and has not replied since is not counted again.
	silentPeriod = time.Second
)

// Denial is the reason why an extra send is not allowed.
type Denial string

// Reasons of a denial.
const (
	// Allowed means that the extra send is allowed and its token was taken.
	Allowed Denial = ""
	// NoToken means that hedges and retries have used up the extra sends that the first sends earned.
	NoToken Denial = "no_token"
	// AllSlow means that too many recent first sends exceeded the hedge delay; extra sends would add to the overload.
	AllSlow Denial = "all_slow"
)

// Service holds the latency estimate and the budget of extra sends of one service. It is safe for concurrent use.
type Service struct {
	clock        clockwork.Clock
	mu           sync.Mutex
	latency      latencyEstimator
	tokens       float64
	slowFraction float64
	// silent holds, for each target that exceeded the hedge delay and has not replied since, when it was counted.
	silent map[ident.TargetID]time.Time
}

// RecordFirstSends adds the extra sends that the given number of first sends earns: extraPercent percent of them.
func (s *Service) RecordFirstSends(sends, extraPercent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(maxTokens, s.tokens+float64(sends)*float64(extraPercent)/100)
}

// Observe adds the latency of a first send that ended to the estimate.
func (s *Service) Observe(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.add(latency)
}

// Delay returns the hedge delay. The second result is false until enough latencies were observed to know the delay.
func (s *Service) Delay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.p95, s.latency.p95 > 0
}

// RecordExceeded counts first sends to targets that exceeded the hedge delay. Each first send must be counted once. A
// target that has not replied since it was counted is not counted again for silentPeriod: if some targets no longer
// reply, every search in progress waits for the same ones, which does not show that the others are slow, and hedges to
// the others are what the searches need.
func (s *Service) RecordExceeded(targets []ident.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.silent, func(_ ident.TargetID, at time.Time) bool { return now.Sub(at) >= silentPeriod })
	for _, t := range targets {
		if _, counted := s.silent[t]; counted {
			continue
		}
		s.silent[t] = now
		s.slowFraction += slowWeight * (1 - s.slowFraction)
	}
}

// RecordReply records a reply of a target to any send.
func (s *Service) RecordReply(target ident.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.silent, target)
}

// RecordDelays counts first sends that ended within the hedge delay and first sends that exceeded it, whatever their
// targets. Each first send must be counted once.
func (s *Service) RecordDelays(within, exceeded int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range within {
		s.slowFraction -= slowWeight * s.slowFraction
	}
	for range exceeded {
		s.slowFraction += slowWeight * (1 - s.slowFraction)
	}
}

// Take takes the token for one extra send, a hedge or a retry, and returns Allowed. If the extra send is denied, Take
// takes no token and returns the reason.
func (s *Service) Take() Denial {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.slowFraction > maxSlowFraction:
		return AllSlow
	case s.tokens < 1:
		return NoToken
	default:
		s.tokens--
		return Allowed
	}
}

// Refund returns the token of an extra send that was not made.
func (s *Service) Refund() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(maxTokens, s.tokens+1)
}

// Services holds the Service of each service ID. It is safe for concurrent use.
type Services struct {
	clock    clockwork.Clock
	services sync.Map // ident.ServiceID to *Service
}

// NewServices returns Services without any entry.
func NewServices(clock clockwork.Clock) *Services { return &Services{clock: clock} }

// Service returns the service with the ID, and creates it if there is none. Each service has its own budget, so that
// its extra load never exceeds the share of its own first sends.
func (s *Services) Service(id ident.ServiceID) *Service {
	if service, ok := s.services.Load(id); ok {
		return service.(*Service)
	}
	service, _ := s.services.LoadOrStore(id, &Service{clock: s.clock, latency: newLatencyEstimator(s.clock), silent: map[ident.TargetID]time.Time{}})
	return service.(*Service)
}

// Prune removes the services for which keep returns false.
func (s *Services) Prune(keep func(ident.ServiceID) bool) {
	s.services.Range(func(key, _ any) bool {
		if !keep(key.(ident.ServiceID)) {
			s.services.Delete(key)
		}
		return true
	})
}
