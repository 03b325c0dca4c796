package outcome

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

// SendKind is the purpose for which a leaf request is sent.
type SendKind string

// Kinds of leaf requests.
const (
	SendFirst  SendKind = "first"
	SendHedge  SendKind = "hedge"
	SendRetry  SendKind = "retry"
	SendCanary SendKind = "canary"
	// SendDiscovery queries a target for the snapshots that it holds. The reply is not part of any search.
	SendDiscovery SendKind = "discovery"
)

// LeafRequest is the part of a request that is sent to one target. Its deadline is that of the context.
type LeafRequest struct {
	ID       ident.RequestID
	Service  ident.ServiceID
	Target   ident.TargetID
	Shard    ident.ShardID
	Snapshot ident.SnapshotID
	// Query is the caller's query, a JSON value that only the target interprets.
	Query []byte
	Kind  SendKind
	// NonIdempotent reports that the request must not be sent again unless the first send provably did not run.
	NonIdempotent bool
	// ConfigVersion is the version of the bundle by which the sender routed the request.
	ConfigVersion uint64
}

// LeafResult is the result of one leaf request.
type LeafResult struct {
	Status LeafStatus
	Reason Reason
	// Detail is free text for logs and operators; programs match on Reason.
	Detail string
	// ID, Shard and Snapshot are those that the target states in its reply. They must equal those of the request.
	// A different ID or Shard gives ReasonForeignReply, a different Snapshot ReasonWrongSnapshot.
	ID       ident.RequestID
	Shard    ident.ShardID
	Snapshot ident.SnapshotID
	// Held lists the snapshots that the target holds; nil if no reply stated them.
	Held        []ident.SnapshotID
	Incarnation string
	Body        []byte
	// Load is the number of requests that wait or run at the owner's gate.
	Load uint32
	// QueueTime is the time spent in the owner's queue. ServiceTime is the processing time that the target reported.
	QueueTime   time.Duration
	ServiceTime time.Duration
	// Cold reports that the owner treats the target as being in cold start.
	Cold bool
}

// NotRunResult returns the result of a request that provably did not run, with status LeafNotRun.
func NotRunResult(reason Reason, detail string) LeafResult {
	return LeafResult{Status: LeafNotRun, Reason: reason, Detail: detail}
}

// UnknownResult returns the result of a request that may have run, with status LeafUnknown.
func UnknownResult(reason Reason, detail string) LeafResult {
	return LeafResult{Status: LeafUnknown, Reason: reason, Detail: detail}
}
