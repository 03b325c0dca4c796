package emulator

import (
	"time"

	"teaselbank.example/teaselbank/dispatch"
)

// search is one search in progress.
type search struct {
	*fleet
	vm       *vm
	arrived  time.Time
	answerBy time.Time
	units    []unit
	covered  int
	ended    bool
}

// unit is the part of a search for one shard.
type unit struct {
	tried   []int
	covered bool
}

// first sends a shard's request for the first time.
func (s *search) first(shard int) {
	if s.ended {
		return
	}
	s.budget(shard).RecordFirstSend(s.now.Sub(s.start))
	s.send(shard, true)
}

// send sends a shard's request to the best target that it was not sent to, and schedules the reply and the hedge.
func (s *search) send(shard int, first bool) {
	u, trackers := &s.units[shard], s.trackers(shard)
	candidates := make([]dispatch.Candidate, len(trackers))
	for k, t := range s.targets[shard] {
		candidates[k] = dispatch.Candidate{Load: trackers[k].Load(s.now), Local: t.zone == s.vm.zone, Sharers: 1, Slots: s.Slots, FreeConnections: 1}
		for _, tried := range u.tried {
			candidates[k].Excluded = candidates[k].Excluded || tried == k
		}
	}
	estimate := s.vm.estimator.Estimate()
	k := dispatch.Choose(candidates, estimate.Median, s.random.IntN(len(candidates)))
	if k < 0 {
		return
	}
	u.tried = append(u.tried, k)
	s.result.Sends++
	rtt := time.Duration(0)
	if !candidates[k].Local {
		rtt = s.RTT
		s.result.CrossZone++
	}
	began, tracker := s.now, trackers[k]
	tracker.Begin(began)
	replied := s.finish(s.targets[shard][k], began.Add(rtt/2)).Add(rtt / 2)
	s.schedule(replied, func() {
		tracker.End(began, s.now, dispatch.Replied, estimate.Median+rtt)
		if first {
			s.vm.estimator.Observe(s.now.Sub(began) - rtt)
		}
		s.reply(u)
	})
	if len(u.tried) < s.MaxTargets {
		s.schedule(began.Add(dispatch.HedgeDelay(estimate, rtt, s.Objective)), func() { s.hedge(shard) })
	}
}

// hedge sends a shard's request once more if it has no reply and the budget allows it.
func (s *search) hedge(shard int) {
	u := &s.units[shard]
	if s.ended || u.covered || len(u.tried) >= s.MaxTargets {
		return
	}
	if !s.budget(shard).Take(s.now.Sub(s.start), s.vm.roles.ShareOfBound(0)) {
		s.result.Denied++
		return
	}
	s.result.Extra++
	s.send(shard, false)
}

// reply records a reply to a unit.
func (s *search) reply(u *unit) {
	if s.ended || u.covered {
		return
	}
	u.covered = true
	s.covered++
	s.decide()
}

// decide ends the search if it is to be answered now.
func (s *search) decide() {
	p := dispatch.Progress{Shards: s.Shards, MinCovered: s.minCovered(), Covered: s.covered, Pending: s.Shards - s.covered}
	if s.ended || p.Next(s.now, s.answerBy) != dispatch.Answer {
		return
	}
	s.ended = true
	if s.now.Sub(s.arrived) > s.Objective {
		return
	}
	coverage := float64(s.covered) / float64(s.Shards)
	s.result.InTime++
	s.result.Credit += coverage * coverage
	if s.covered == s.Shards {
		s.result.Complete++
	}
}

func (s *search) minCovered() int {
	least := 1
	for least < s.Shards && float64(least)/float64(s.Shards) < s.MinCoverage {
		least++
	}
	return least
}

// trackers returns the VM's trackers of a shard's targets.
func (s *search) trackers(shard int) []*dispatch.Tracker {
	if s.vm.trackers[shard] == nil {
		for range s.targets[shard] {
			s.vm.trackers[shard] = append(s.vm.trackers[shard], dispatch.NewTracker())
		}
	}
	return s.vm.trackers[shard]
}

// budget returns the VM's budget of extra sends to a shard.
func (s *search) budget(shard int) *dispatch.Budget {
	if s.vm.budgets[shard] == nil {
		s.vm.budgets[shard] = dispatch.NewBudget(s.ExtraRatio, s.ExtraSlack, s.ExtraWindow)
	}
	return s.vm.budgets[shard]
}
