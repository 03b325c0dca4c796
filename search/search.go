// Package search scatters a query over the shards of one snapshot and gathers their replies into an answer that states
// which shards it covers.
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

// LeafSender sends one leaf request and returns its result. It sends to the target directly, or through the VM that
// owns the target.
type LeafSender interface {
	Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
}

// Query is a caller's search.
type Query struct {
	Service ident.ServiceID
	Body    []byte
	// MinCoverage is the smallest share of shards, from 0 to 1, with which the caller accepts an answer.
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

// Coverage counts the shards of the pinned snapshot and those that answered, and lists the missing ones.
type Coverage struct {
	Expected int
	Answered int
	Missing  []MissingShard
}

// Share returns the share of shards that answered, from 0 to 1.
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

// DecisionLog is the log of the decisions of searches.
type DecisionLog interface {
	// Admit reports whether sampling lets the next line of a frequent event be written. If so, every is how many lines of
	// the event the written line stands for.
	Admit(event string) (every int, ok bool)
	// Add queues a line; it never blocks.
	Add(event string, fields ...any)
}

// Searcher runs searches. It is safe for concurrent use.
type Searcher struct {
	Clock     clockwork.Clock
	Catalog   catalog.Source
	Holdings  *snapshot.Holdings
	Replicas  *replica.Tracker
	Hedge     *hedge.Services
	Sender    LeafSender
	Decisions DecisionLog
	// Guard may be nil; every query then counts as safe.
	Guard Guard
	Stats Stats
}

// Search pins a snapshot, sends one leaf request per shard, hedges and retries within the budget, and gathers the
// replies that arrive before the deadline of the context.
func (s *Searcher) Search(ctx context.Context, q Query) Answer {
	start := s.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	// The sends that are still in flight when the answer is given are cancelled at their targets.
	defer cancel()
	run, answer := s.begin(ctx, q)
	if run != nil {
		run.execute(&answer)
	}
	answer.Elapsed = s.Clock.Since(start)
	s.Stats.countSearch(answer.Outcome)
	s.logDecision(run, &answer, q.Service)
	return answer
}

// begin pins a snapshot and returns the run. If the run is nil, the answer says why nothing was sent.
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
	pin := s.Holdings.Pin(service, s.Replicas.Usable)
	answer.Snapshot = pin.Snapshot.ID
	return newRun(ctx, s, q, current, service, pin), answer
}
