package ticket

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
)

// Lifetimes of tickets and of their records.
const (
	// Lifetime is how long a ticket may be used after it was issued. It can be short because a caller uses a ticket at
	// once and resends only within its own timeout.
	Lifetime = 30 * time.Second
	// RecordRetention is how long the outcome of a used ticket is kept after the ticket expires.
	RecordRetention = 10 * time.Minute
)

// Sender sends one leaf request to its target and returns the result.
type Sender interface {
	Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
}

// Chooser picks the replica of a shard for the next send. tried lists the replicas already sent to; the result is false
// if no other one is left.
type Chooser interface {
	Choose(s *bundle.Service, shard *bundle.Shard, tried []ident.TargetID) (ident.TargetID, bool)
}

// Options are the dependencies and limits of an Issuer.
type Options struct {
	Clock   clockwork.Clock
	Viewer  membership.Viewer
	Source  config.Source
	Chooser Chooser
	Sender  Sender
	// MaxRecords and MaxBytes bound the table of outcomes; 0 selects the default of 32,768 records or 16 MiB.
	MaxRecords int
	MaxBytes   int
}

// Issuer issues the tickets of this incarnation and runs the request of each at most once. It is safe for concurrent
// use.
type Issuer struct {
	opts  Options
	self  membership.Member
	key   key
	start time.Time

	mu      sync.Mutex
	table   *table
	running sync.WaitGroup
}

// NewIssuer returns an issuer for the incarnation that the current view of o.Viewer has as Self.
func NewIssuer(o Options) *Issuer {
	if o.MaxRecords == 0 {
		o.MaxRecords = defaultMaxRecords
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMaxBytes
	}
	return &Issuer{opts: o, self: o.Viewer.View().Self, key: newKey(), start: o.Clock.Now(),
		table: newTable(o.MaxRecords, o.MaxBytes)}
}

// elapsed returns the time since the start of the incarnation, on the monotonic clock.
func (i *Issuer) elapsed() time.Duration { return i.opts.Clock.Since(i.start) }

// Issue returns a ticket for a shard of the service's newest snapshot, as a token and its claims. The shard may be empty
// if the snapshot has only one. Every error is a *RefusedError.
func (i *Issuer) Issue(service ident.ServiceID, shard ident.ShardID) (string, Claims, error) {
	inForce := i.opts.Source.Current()
	if inForce == nil {
		return "", Claims{}, &RefusedError{Reason: outcome.ReasonNoBundle}
	}
	s := inForce.Bundle.ServiceByID(service)
	if s == nil {
		return "", Claims{}, &RefusedError{outcome.ReasonUnknownService, "service", "is not in the bundle in force"}
	}
	newest := newestSnapshot(s)
	if shard == "" && len(newest.Shards) == 1 {
		shard = newest.Shards[0].ID
	}
	if findShard(newest, shard) == nil {
		return "", Claims{}, &RefusedError{outcome.ReasonNoReplica, "shard", "is not in the newest snapshot of the service"}
	}
	c := Claims{VM: i.self.ID, Incarnation: i.self.Incarnation.Token, Service: service, Shard: shard,
		Nonce: string(ident.NewRequestID())}
	i.mu.Lock()
	now := i.elapsed()
	c.Expires = now + Lifetime
	reserved := i.table.reserve(c.Nonce, now, c.Expires, c.Expires+RecordRetention)
	i.mu.Unlock()
	if !reserved {
		return "", Claims{}, &RefusedError{Reason: outcome.ReasonCapacity, Problem: "the table of outcomes is full"}
	}
	token, err := i.key.sign(c)
	if err != nil {
		return "", Claims{}, &RefusedError{Reason: outcome.ReasonTicketInvalid, Problem: err.Error()}
	}
	return token, c, nil
}

// Records returns how many records the table of outcomes holds, and the bytes they are accounted with.
func (i *Issuer) Records() (count, bytes int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.table.records), i.table.bytes
}

// Issued reports whether the claims name this incarnation as the issuer. It does not verify them.
func (i *Issuer) Issued(c Claims) bool {
	return c.VM == i.self.ID && c.Incarnation == i.self.Incarnation.Token
}

// Run runs the request of a ticket on its first submission. A resend with the same body gets the outcome of the first
// submission; while that is still running, the resend waits until its own deadline and then gets unknown with the reason
// ticket_in_progress. The outcome of a submission that used the ticket is final: after not_run the ticket never runs, so
// a delayed copy of the request cannot make the reported not_run false.
func (i *Issuer) Run(ctx context.Context, token string, body []byte) Outcome {
	c, err := ParseUnverified(token)
	if err != nil {
		return notRun(outcome.ReasonTicketInvalid)
	}
	if !i.Issued(c) {
		return UnknownOutcome(outcome.ReasonIncarnationMismatch)
	}
	if !i.key.verify(token) {
		return notRun(outcome.ReasonTicketInvalid)
	}
	r, first, refused := i.claim(c, sha256.Sum256(body))
	if refused != nil {
		return *refused
	}
	if first {
		// The run is not cancelled with the caller's connection: a caller that disconnected may resend to get the outcome.
		i.running.Go(func() { i.finish(r, i.execute(context.WithoutCancel(ctx), timeLeft(ctx), c, body)) })
	}
	return wait(ctx, r, !first)
}

// claim marks the ticket as used by the body with this hash; first reports that it was unused. For a resend with the same
// body it returns the record of the first submission. If the ticket cannot be used, refused is the outcome to return.
func (i *Issuer) claim(c Claims, body [sha256.Size]byte) (r *record, first bool, refused *Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.elapsed()
	r = i.table.records[c.Nonce]
	refuse := func(o Outcome) (*record, bool, *Outcome) { return nil, false, &o }
	switch {
	case r == nil && now >= c.Expires && now < c.Expires+RecordRetention:
		// The ticket was never used: the record of a used one is kept until the end of the retention.
		return refuse(notRun(outcome.ReasonTicketExpired))
	case r == nil:
		return refuse(UnknownOutcome(outcome.ReasonTicketExpired))
	case r.used && r.body != body:
		return refuse(notRun(outcome.ReasonDifferentBody))
	case r.used:
		return r, false, nil
	case now >= r.expires:
		return refuse(notRun(outcome.ReasonTicketExpired))
	}
	r.used, r.body = true, body
	return r, true, nil
}

func (i *Issuer) finish(r *record, o Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.table.finish(r, o)
}

// wait waits for the outcome of a record until the context ends; then it returns unknown with ticket_in_progress.
func wait(ctx context.Context, r *record, resend bool) Outcome {
	select {
	case <-r.done:
	case <-ctx.Done():
		if !r.finished() {
			o := UnknownOutcome(outcome.ReasonTicketInProgress)
			o.Recorded = resend
			return o
		}
	}
	o := r.result
	o.Recorded = resend
	return o
}

// timeLeft returns the time until the deadline of the context, or Lifetime if it has none.
func timeLeft(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return Lifetime
}

// execute sends the request to one replica of the shard after the other until one may have run it: the next replica is
// tried only if the target provably did not run the request.
func (i *Issuer) execute(ctx context.Context, remaining time.Duration, c Claims, body []byte) Outcome {
	ctx, cancel := context.WithTimeout(ctx, min(remaining, c.Expires-i.elapsed()))
	defer cancel()
	inForce := i.opts.Source.Current()
	if inForce == nil {
		return notRun(outcome.ReasonNoBundle)
	}
	service := inForce.Bundle.ServiceByID(c.Service)
	if service == nil {
		return notRun(outcome.ReasonUnknownService)
	}
	newest := newestSnapshot(service)
	shard := findShard(newest, c.Shard)
	if shard == nil {
		return notRun(outcome.ReasonNoReplica)
	}
	lastRefusal := notRun(outcome.ReasonNoReplica)
	for tried := []ident.TargetID(nil); ; {
		target, ok := i.opts.Chooser.Choose(service, shard, tried)
		if !ok {
			return lastRefusal
		}
		tried = append(tried, target)
		if reason := i.sendRefusal(ctx, c); reason != outcome.ReasonNone {
			return notRun(reason)
		}
		res := i.opts.Sender.Send(ctx, outcome.LeafRequest{ID: ident.NewRequestID(), Service: c.Service, Target: target,
			Shard: c.Shard, Snapshot: newest.ID, Query: body, Kind: sendKind(len(tried)), NonIdempotent: true,
			ConfigVersion: inForce.Bundle.Version})
		switch res.Status {
		case outcome.LeafOK:
			return Outcome{Kind: outcome.Complete, Body: res.Body}
		case outcome.LeafNotRun:
			lastRefusal = notRun(res.Reason)
		default:
			return UnknownOutcome(res.Reason)
		}
	}
}

// sendRefusal returns the reason why nothing may be sent now, or ReasonNone. It is checked right before each send,
// because the process may have been paused since the ticket was claimed.
func (i *Issuer) sendRefusal(ctx context.Context, c Claims) outcome.Reason {
	switch {
	case i.elapsed() >= c.Expires:
		return outcome.ReasonTicketExpired
	case ctx.Err() != nil:
		return outcome.ReasonDeadline
	case i.opts.Viewer.View().Stale:
		return outcome.ReasonStaleView
	}
	return outcome.ReasonNone
}

// Close waits until the running requests have ended. If the context ends first, it returns the context's error.
func (i *Issuer) Close(ctx context.Context) error {
	idle := make(chan struct{})
	go func() { i.running.Wait(); close(idle) }()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sendKind returns the kind of the nth send of a ticket, counted from 1.
func sendKind(attempt int) outcome.SendKind {
	if attempt == 1 {
		return outcome.SendFirst
	}
	return outcome.SendRetry
}

// newestSnapshot returns the last snapshot listed; a valid bundle lists at least one.
func newestSnapshot(s *bundle.Service) *bundle.Snapshot { return &s.Snapshots[len(s.Snapshots)-1] }

func findShard(s *bundle.Snapshot, id ident.ShardID) *bundle.Shard {
	for n := range s.Shards {
		if s.Shards[n].ID == id {
			return &s.Shards[n]
		}
	}
	return nil
}
