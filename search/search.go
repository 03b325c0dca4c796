// Package search scatters a query over the shards of one snapshot and gathers an answer that states its coverage
// truly.
package search

import (
	"context"
	"time"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/snapshot"
)

// LeafSender runs one leaf request, directly or through the owner of its target.
type LeafSender interface {
	Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
}

// ReplicaChooser picks the replica of a shard for a send; tried lists those already used.
type ReplicaChooser interface {
	Choose(s *bundle.Service, shard *bundle.Shard, tried []ident.TargetID) (ident.TargetID, bool)
}

// Query is a caller's search.
type Query struct {
	Service ident.ServiceID
	Body    []byte
	// MinCoverage is the least share of shards, from 0 to 1, with which the caller accepts an answer.
	MinCoverage float64
}

// ShardResult is one shard's part of an answer.
type ShardResult struct {
	Shard ident.ShardID
	Body  []byte
}

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Shard  ident.ShardID
	Reason outcome.Reason
}

// Coverage counts the shards of the pinned snapshot that answered.
type Coverage struct {
	Expected int
	Answered int
	Missing  []MissingShard
}

// Share returns the covered share, from 0 to 1.
func (c Coverage) Share() float64 {
	if c.Expected == 0 {
		return 0
	}
	return float64(c.Answered) / float64(c.Expected)
}

// Answer is the outcome of a search.
type Answer struct {
	RequestID     ident.RequestID
	Outcome       outcome.Kind
	Reason        outcome.Reason
	Snapshot      ident.SnapshotID
	ConfigVersion uint64
	Coverage      Coverage
	Results       []ShardResult
	Elapsed       time.Duration
}

// Decisions receives the line of each routing decision.
type Decisions interface {
	Add(event string, fields ...any)
}

// Searcher runs searches.
type Searcher struct {
	Config    config.Source
	Pinner    snapshot.Pinner
	Chooser   ReplicaChooser
	Sender    LeafSender
	Decisions Decisions
}

// Search pins a snapshot, sends one leaf request a shard and gathers what arrives before the deadline.
func (s *Searcher) Search(ctx context.Context, q Query) Answer {
	start := time.Now()
	answer := s.run(ctx, q)
	answer.Elapsed = time.Since(start)
	s.Decisions.Add("search", "request", answer.RequestID, "service", q.Service, "outcome", answer.Outcome,
		"reason", answer.Reason, "snapshot", answer.Snapshot, "config_version", answer.ConfigVersion,
		"answered", answer.Coverage.Answered, "expected", answer.Coverage.Expected, "elapsed", answer.Elapsed)
	return answer
}

func (s *Searcher) run(ctx context.Context, q Query) Answer {
	answer := Answer{RequestID: ident.NewRequestID(), Outcome: outcome.NotRun}
	force := s.Config.Current()
	if force == nil {
		answer.Reason = outcome.ReasonNoBundle
		return answer
	}
	answer.ConfigVersion = force.Bundle.Version
	service := force.Bundle.ServiceByID(q.Service)
	if service == nil {
		answer.Reason = outcome.ReasonUnknownService
		return answer
	}
	pinned := s.Pinner.Pin(service)
	answer.Snapshot = pinned.ID
	results := s.scatter(ctx, q, service, pinned, &answer)
	gather(&answer, pinned, results, q.MinCoverage)
	return answer
}

type leafDone struct {
	index  int
	result outcome.LeafResult
}

func (s *Searcher) scatter(ctx context.Context, q Query, service *bundle.Service, pinned *bundle.Snapshot, answer *Answer) []outcome.LeafResult {
	// The channel holds every reply, so a late sender never blocks and its reply is dropped with the channel.
	done := make(chan leafDone, len(pinned.Shards))
	for i := range pinned.Shards {
		go func() { done <- leafDone{i, s.sendShard(ctx, q, service, pinned, i, answer.ConfigVersion)} }()
	}
	results := make([]outcome.LeafResult, len(pinned.Shards))
	for i := range results {
		results[i] = outcome.LeafLost(outcome.ReasonDeadline, "no reply before the deadline")
	}
	for range pinned.Shards {
		select {
		case d := <-done:
			results[d.index] = d.result
		case <-ctx.Done():
			return results
		}
	}
	return results
}

func (s *Searcher) sendShard(ctx context.Context, q Query, service *bundle.Service, pinned *bundle.Snapshot, i int, version uint64) outcome.LeafResult {
	shard := &pinned.Shards[i]
	var tried []ident.TargetID
	result := outcome.LeafRefused(outcome.ReasonNoReplica, "no replica may receive work")
	for {
		target, ok := s.Chooser.Choose(service, shard, tried)
		if !ok || ctx.Err() != nil {
			return result
		}
		tried = append(tried, target)
		result = s.Sender.Send(ctx, outcome.LeafRequest{
			ID: ident.NewRequestID(), Service: service.ID, Target: target, Shard: shard.ID, Snapshot: pinned.ID,
			Query: q.Body, Kind: kindOf(len(tried)), ConfigVersion: version,
		})
		if result.Status == outcome.LeafOK {
			return result
		}
	}
}

func kindOf(attempt int) outcome.SendKind {
	if attempt == 1 {
		return outcome.SendFirst
	}
	return outcome.SendRetry
}

// gather fills the answer from the results, one for each shard of the pinned snapshot.
func gather(answer *Answer, pinned *bundle.Snapshot, results []outcome.LeafResult, minCoverage float64) {
	answer.Coverage.Expected = len(pinned.Shards)
	ran := false
	for i, r := range results {
		shard := pinned.Shards[i].ID
		if r.Status == outcome.LeafOK && r.Snapshot == pinned.ID {
			answer.Coverage.Answered++
			answer.Results = append(answer.Results, ShardResult{Shard: shard, Body: r.Body})
			continue
		}
		ran = ran || r.Status != outcome.LeafNotRun
		answer.Coverage.Missing = append(answer.Coverage.Missing, MissingShard{Shard: shard, Reason: r.Reason})
	}
	judge(answer, ran, minCoverage)
}

func judge(answer *Answer, ran bool, minCoverage float64) {
	c := answer.Coverage
	switch {
	case c.Answered == c.Expected:
		answer.Outcome = outcome.Complete
	case c.Answered == 0 && !ran:
		answer.Outcome, answer.Reason = outcome.NotRun, c.Missing[0].Reason
	case c.Answered == 0:
		answer.Outcome, answer.Reason = outcome.Unknown, c.Missing[0].Reason
	case c.Share() < minCoverage:
		answer.Outcome, answer.Reason, answer.Results = outcome.Unknown, outcome.ReasonCoverageTooLow, nil
	default:
		answer.Outcome, answer.Reason = outcome.Partial, c.Missing[0].Reason
	}
}
