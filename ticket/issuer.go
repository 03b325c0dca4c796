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

// Times of a ticket.
const (
	// Lifetime is how long a ticket may be used: a caller needs it at once, and resends within its own patience.
	Lifetime = 30 * time.Second
	// RecordRetention is how long an outcome is kept after the ticket expired.
	RecordRetention = 10 * time.Minute
)

// Sender runs one leaf request.
type Sender interface {
	Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
}

// Chooser picks the replica of a shard for a send; tried lists those already used.
type Chooser interface {
	Choose(s *bundle.Service, shard *bundle.Shard, tried []ident.TargetID) (ident.TargetID, bool)
}

// Options are the parts of an issuer.
type Options struct {
	Clock   clockwork.Clock
	Viewer  membership.Viewer
	Source  config.Source
	Chooser Chooser
	Sender  Sender
	// MaxRecords and MaxBytes bound the table of outcomes; 0 takes the defaults.
	MaxRecords int
	MaxBytes   int
}

// Issuer issues the tickets of this incarnation and runs their requests at most once.
type Issuer struct {
	o     Options
	self  membership.Member
	key   key
	start time.Time

	mu      sync.Mutex
	table   *table
	running sync.WaitGroup
}

// NewIssuer returns the issuer of the incarnation that the view names as its own.
func NewIssuer(o Options) *Issuer {
	if o.MaxRecords == 0 {
		o.MaxRecords = defaultMaxRecords
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMaxBytes
	}
	return &Issuer{o: o, self: o.Viewer.View().Self, key: newKey(), start: o.Clock.Now(),
		table: newTable(o.MaxRecords, o.MaxBytes)}
}

func (i *Issuer) now() time.Duration { return i.o.Clock.Since(i.start) }

// Issue returns a ticket for a shard of the newest snapshot. The shard may be left out if there is only one. Every
// failure is a *RefusedError.
func (i *Issuer) Issue(service ident.ServiceID, shard ident.ShardID) (string, Claims, error) {
	force := i.o.Source.Current()
	if force == nil {
		return "", Claims{}, &RefusedError{Reason: outcome.ReasonNoBundle}
	}
	s := force.Bundle.ServiceByID(service)
	if s == nil {
		return "", Claims{}, &RefusedError{outcome.ReasonUnknownService, "service", "is not in the bundle in force"}
	}
	newest := newestSnapshot(s)
	if shard == "" && len(newest.Shards) == 1 {
		shard = newest.Shards[0].ID
	}
	if shardOf(newest, shard) == nil {
		return "", Claims{}, &RefusedError{outcome.ReasonNoReplica, "shard", "is not in the newest snapshot of the service"}
	}
	c := Claims{VM: i.self.ID, Incarnation: i.self.Incarnation.Token, Service: service, Shard: shard,
		Nonce: string(ident.NewRequestID())}
	i.mu.Lock()
	now := i.now()
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

// Records returns how many records the table of outcomes holds, and the bytes they take.
func (i *Issuer) Records() (count, bytes int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.table.records), i.table.bytes
}

// Issued reports whether the claims name this incarnation.
func (i *Issuer) Issued(c Claims) bool {
	return c.VM == i.self.ID && c.Incarnation == i.self.Incarnation.Token
}

// Run runs the request of a ticket unless it was submitted before; then it returns the outcome of the first
// submission. A resend that comes while the first runs waits for it until its own deadline, then gets unknown with
// ticket_in_progress. Every outcome of a submission that used the ticket is final: after not_run the ticket never runs,
// so a delayed copy cannot make that answer untrue.
func (i *Issuer) Run(ctx context.Context, token string, body []byte) Outcome {
	c, err := Parse(token)
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
		// The run does not end with the caller's connection: a caller that went away may resend and wants the outcome.
		i.running.Go(func() { i.finish(r, i.execute(context.WithoutCancel(ctx), deadlineOf(ctx), c, body)) })
	}
	return wait(ctx, r, !first)
}

// claim marks the ticket as used by this body, or returns the record of the submission that used it before.
func (i *Issuer) claim(c Claims, body [sha256.Size]byte) (r *record, first bool, refused *Outcome) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	r = i.table.records[c.Nonce]
	refuse := func(o Outcome) (*record, bool, *Outcome) { return nil, false, &o }
	switch {
	case r == nil && now >= c.Expires && now < c.Expires+RecordRetention:
		// A used ticket would still have its record.
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

// wait returns the outcome of a record once it stands.
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

func deadlineOf(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return Lifetime
}

// execute sends the request, to a second replica only after the first send provably did not run.
func (i *Issuer) execute(ctx context.Context, remaining time.Duration, c Claims, body []byte) Outcome {
	ctx, cancel := context.WithTimeout(ctx, min(remaining, c.Expires-i.now()))
	defer cancel()
	force := i.o.Source.Current()
	if force == nil {
		return notRun(outcome.ReasonNoBundle)
	}
	service := force.Bundle.ServiceByID(c.Service)
	if service == nil {
		return notRun(outcome.ReasonUnknownService)
	}
	newest := newestSnapshot(service)
	shard := shardOf(newest, c.Shard)
	if shard == nil {
		return notRun(outcome.ReasonNoReplica)
	}
	last := notRun(outcome.ReasonNoReplica)
	for tried := []ident.TargetID(nil); ; {
		target, ok := i.o.Chooser.Choose(service, shard, tried)
		if !ok {
			return last
		}
		tried = append(tried, target)
		if reason := i.forbidden(ctx, c); reason != outcome.ReasonNone {
			return notRun(reason)
		}
		res := i.o.Sender.Send(ctx, outcome.LeafRequest{ID: ident.NewRequestID(), Service: c.Service, Target: target,
			Shard: c.Shard, Snapshot: newest.ID, Query: body, Kind: kindOf(len(tried)), NonIdempotent: true,
			ConfigVersion: force.Bundle.Version})
		switch res.Status {
		case outcome.LeafOK:
			return Outcome{Kind: outcome.Complete, Body: res.Body}
		case outcome.LeafNotRun:
			last = notRun(res.Reason)
		default:
			return UnknownOutcome(res.Reason)
		}
	}
}

// forbidden says why nothing may be sent now. It stands right before each send, because the process may have been
// paused since the ticket was claimed.
func (i *Issuer) forbidden(ctx context.Context, c Claims) outcome.Reason {
	switch {
	case i.now() >= c.Expires:
		return outcome.ReasonTicketExpired
	case ctx.Err() != nil:
		return outcome.ReasonDeadline
	case i.o.Viewer.View().Stale:
		return outcome.ReasonStaleView
	}
	return outcome.ReasonNone
}

// Close waits until the running requests have ended or the context ends.
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

func kindOf(attempt int) outcome.SendKind {
	if attempt == 1 {
		return outcome.SendFirst
	}
	return outcome.SendRetry
}

// newestSnapshot returns the last snapshot listed; a valid bundle lists at least one.
func newestSnapshot(s *bundle.Service) *bundle.Snapshot { return &s.Snapshots[len(s.Snapshots)-1] }

func shardOf(s *bundle.Snapshot, id ident.ShardID) *bundle.Shard {
	for n := range s.Shards {
		if s.Shards[n].ID == id {
			return &s.Shards[n]
		}
	}
	return nil
}
