// Package hedge decides when a leaf request is sent again: after the p95 of its service, within a budget that hedges
// and retries share, and not at all while everything is slow.
package hedge

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/ident"
)

// Constants of the rules.
const (
	// maxTokens bounds the extra sends that a calm period saves up. The loss of one replica of each shard meets half of
	// the shards of every 52-leaf search that starts before the first hedges: four at 151 searches/s, 104 shards, and
	// the probes of the lost targets after them. 256 is what a node earns in 0.7 s at that rate.
	maxTokens = 256
	// slowShare is the share of recent first sends above the hedge delay beyond which everything counts as slow.
	slowShare = 0.20
	// slowWeight is the weight of one first send in that share; 1/200 makes about four 52-leaf searches recent.
	slowWeight = 1.0 / 200
)

// Denial says why an extra send is not allowed.
type Denial string

// Denials.
const (
	// Allowed: the token was taken.
	Allowed Denial = ""
	// NoToken: hedges and retries have used up their share of first sends.
	NoToken Denial = "no_token"
	// AllSlow: too many recent first sends exceed the hedge delay; extra load would make it worse.
	AllSlow Denial = "all_slow"
)

// Service holds the estimate and the budget of one service. It is safe for concurrent use.
type Service struct {
	mu      sync.Mutex
	latency estimate
	tokens  float64
	slow    float64
}

// First counts first sends that are about to be made and earns their share of extra sends.
func (s *Service) First(sends, extraPercent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(maxTokens, s.tokens+float64(sends)*float64(extraPercent)/100)
}

// Observe takes in the latency of a first send that ended.
func (s *Service) Observe(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.add(latency)
}

// Delay returns the hedge delay, or false until enough replies were seen.
func (s *Service) Delay() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency.p95, s.latency.p95 > 0
}

// Judged says of first sends whether they ended within the hedge delay. Each first send is judged once.
func (s *Service) Judged(within, exceeded int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range within {
		s.slow -= slowWeight * s.slow
	}
	for range exceeded {
		s.slow += slowWeight * (1 - s.slow)
	}
}

// Take asks for one extra send, a hedge or a retry alike.
func (s *Service) Take() Denial {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.slow > slowShare:
		return AllSlow
	case s.tokens < 1:
		return NoToken
	default:
		s.tokens--
		return Allowed
	}
}

// Return gives back the token of an extra send that was not made.
func (s *Service) Return() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(maxTokens, s.tokens+1)
}

// Group holds the services.
type Group struct {
	clock    clockwork.Clock
	services sync.Map // ident.ServiceID to *Service
}

// NewGroup returns a group without any service.
func NewGroup(clock clockwork.Clock) *Group { return &Group{clock: clock} }

// Service returns the service of that id. Budgets are kept apart by service, so that the extra load of one never
// exceeds the share of its own first sends.
func (g *Group) Service(id ident.ServiceID) *Service {
	if s, ok := g.services.Load(id); ok {
		return s.(*Service)
	}
	s, _ := g.services.LoadOrStore(id, &Service{latency: newEstimate(g.clock)})
	return s.(*Service)
}

// Prune forgets the services that keep does not name.
func (g *Group) Prune(keep func(ident.ServiceID) bool) {
	g.services.Range(func(key, _ any) bool {
		if !keep(key.(ident.ServiceID)) {
			g.services.Delete(key)
		}
		return true
	})
}
