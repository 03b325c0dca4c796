// Package search scatters a query over the shards of one snapshot and gathers an answer that states its coverage
// truly.
package search

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/hedge"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/snapshot"
)

// LeafSender runs one leaf request, directly or through the owner of its target.
type LeafSender interface {
	Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
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

// Decisions receives the lines of decisions.
type Decisions interface {
	// Admit reports whether the next line of a frequent event is to be written, and that it stands for one in every
	// lines.
	Admit(event string) (every int, ok bool)
	// Add queues a line; it never blocks.
	Add(event string, fields ...any)
}

// Searcher runs searches. It is safe for concurrent use.
type Searcher struct {
	Clock     clockwork.Clock
	Catalog   catalog.Source
	Beliefs   *snapshot.Beliefs
	Replicas  *replica.Tracker
	Hedge     *hedge.Group
	Sender    LeafSender
	Decisions Decisions
	// Guard may be nil: then every query counts as safe.
	Guard Guard
	Stats Stats
}

// Search pins a snapshot, sends one leaf request a shard, hedges and retries within the budget, and gathers what
// arrives before the deadline of the context.
func (s *Searcher) Search(ctx context.Context, q Query) Answer {
	start := s.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	// Whatever is still under way when the answer is given is cancelled at its target.
	defer cancel()
	run, answer := s.begin(ctx, q)
	if run != nil {
		run.execute(&answer)
	}
	answer.Elapsed = s.Clock.Since(start)
	s.Stats.outcome(answer.Outcome)
	s.decide(run, &answer, q.Service)
	return answer
}

// begin pins a snapshot; without a run the answer says why nothing was sent.
func (s *Searcher) begin(ctx context.Context, q Query) (*run, Answer) {
	answer := Answer{RequestID: ident.NewRequestID(), Outcome: outcome.NotRun}
	current := s.Catalog.Current()
	if current == nil {
		answer.Reason = outcome.ReasonNoBundle
		return nil, answer
	}
	answer.ConfigVersion = current.InForce.Bundle.Version
	service, ok := current.Service(q.Service)
	if !ok {
		answer.Reason = outcome.ReasonUnknownService
		return nil, answer
	}
	pin := s.Beliefs.Pin(service, s.Replicas.Usable)
	answer.Snapshot = pin.Snapshot.ID
	return newRun(ctx, s, q, current, service, pin), answer
}
