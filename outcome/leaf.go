package outcome

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

// SendKind says why a leaf request is sent.
type SendKind string

// Kinds of leaf requests.
const (
	SendFirst  SendKind = "first"
	SendHedge  SendKind = "hedge"
	SendRetry  SendKind = "retry"
	SendCanary SendKind = "canary"
	// SendDiscovery asks a target which snapshots it holds; its answer is part of no search.
	SendDiscovery SendKind = "discovery"
)

// LeafRequest is the part of a request that goes to one target. Its deadline travels in the context.
type LeafRequest struct {
	ID       ident.RequestID
	Service  ident.ServiceID
	Target   ident.TargetID
	Shard    ident.ShardID
	Snapshot ident.SnapshotID
	// Query is the caller's query, opaque to the tier.
	Query []byte
	Kind  SendKind
	// NonIdempotent requests are never sent twice unless the first provably did not run.
	NonIdempotent bool
	// ConfigVersion is the version of the bundle the sender routed by.
	ConfigVersion uint64
}

// LeafResult is what became of one leaf request.
type LeafResult struct {
	Status LeafStatus
	Reason Reason
	// Detail is for people; programs match on Reason.
	Detail string
	// ID, Shard and Snapshot are echoed by the target; a reply that differs from its request is foreign.
	ID       ident.RequestID
	Shard    ident.ShardID
	Snapshot ident.SnapshotID
	// Held lists the snapshots the target holds; nil if no reply said so.
	Held        []ident.SnapshotID
	Incarnation string
	Body        []byte
	// Load is the number of requests that wait or run at the owner's gate.
	Load uint32
	// Queued is the time spent in the owner's queue; Service is the time the target took.
	Queued  time.Duration
	Service time.Duration
	// Cold reports that the owner holds the target to its cold-start limit.
	Cold bool
}

// LeafRefused returns a result that says the request provably did not run.
func LeafRefused(reason Reason, detail string) LeafResult {
	return LeafResult{Status: LeafNotRun, Reason: reason, Detail: detail}
}

// LeafLost returns a result that says the request may have run.
func LeafLost(reason Reason, detail string) LeafResult {
	return LeafResult{Status: LeafUnknown, Reason: reason, Detail: detail}
}
