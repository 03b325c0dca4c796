package search

import (
	"sync/atomic"

	"teaselbank.example/teaselbank/hedge"
	"teaselbank.example/teaselbank/outcome"
)

// Stats counts searches, leaf requests and their results. Its zero value is ready to use.
type Stats struct {
	results  [10]atomic.Uint64
	kinds    [5]atomic.Uint64
	searches [4]atomic.Uint64
	// Rerouted counts first sends that replaced a send which never reached a target.
	Rerouted atomic.Uint64
	// Expired counts sends that were not made because the deadline had passed or the caller had gone.
	Expired atomic.Uint64
	// DeniedNoToken and DeniedAllSlow count the extra sends that the budget denied with hedge.NoToken and hedge.AllSlow.
	DeniedNoToken atomic.Uint64
	DeniedAllSlow atomic.Uint64
}

// SendKinds lists the kinds of sends that are counted.
var SendKinds = []outcome.SendKind{outcome.SendFirst, outcome.SendHedge, outcome.SendRetry, outcome.SendCanary, outcome.SendDiscovery}

// Outcomes lists the outcomes that are counted.
var Outcomes = []outcome.Kind{outcome.Complete, outcome.Partial, outcome.NotRun, outcome.Unknown}

func count[T comparable](counters []atomic.Uint64, names []T, name T) {
	if i := index(names, name); i >= 0 {
		counters[i].Add(1)
	}
}

func index[T comparable](names []T, name T) int {
	for i := range names {
		if names[i] == name {
			return i
		}
	}
	return -1
}

func (s *Stats) countResult(c ResultClass)    { count(s.results[:], ResultClasses, c) }
func (s *Stats) countSend(k outcome.SendKind) { count(s.kinds[:], SendKinds, k) }
func (s *Stats) countSearch(k outcome.Kind)   { count(s.searches[:], Outcomes, k) }

func (s *Stats) countDenial(d hedge.Denial) {
	if d == hedge.AllSlow {
		s.DeniedAllSlow.Add(1)
		return
	}
	s.DeniedNoToken.Add(1)
}

// Results returns how many results had the class.
func (s *Stats) Results(c ResultClass) uint64 { return s.results[index(ResultClasses, c)].Load() }

// Sends returns how many leaf requests of the kind were handed to the sender.
func (s *Stats) Sends(k outcome.SendKind) uint64 { return s.kinds[index(SendKinds, k)].Load() }

// Searches returns how many searches had the outcome.
func (s *Stats) Searches(k outcome.Kind) uint64 { return s.searches[index(Outcomes, k)].Load() }
