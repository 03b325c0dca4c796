// Package outcome defines the outcomes of requests. Outcomes are values, not errors: a caller always gets exactly one,
// and each states truthfully whether the request may have run.
package outcome

// Kind is the outcome of a whole request, as returned to its caller.
type Kind string

// Outcomes of a request.
const (
	// Complete: every expected shard replied, or the non-idempotent request ran and its reply is whole.
	Complete Kind = "complete"
	// Partial: some shards are missing, and the response names them.
	Partial Kind = "partial"
	// NotRun: the request provably did not run anywhere.
	NotRun Kind = "not_run"
	// Unknown: the request may have run.
	Unknown Kind = "unknown"
)

// LeafStatus is the outcome of one leaf request.
type LeafStatus uint8

// Outcomes of a leaf request.
const (
	// LeafUnknown: the target may have run the request. It is the zero value, so that a result without a status does
	// not claim that the request ran or did not run.
	LeafUnknown LeafStatus = iota
	// LeafOK: the target replied, and the reply is whole.
	LeafOK
	// LeafNotRun: the request provably did not run, because it was not sent or the target refused it before running it.
	LeafNotRun
)

// String returns the status as written in logs and metrics.
func (s LeafStatus) String() string {
	switch s {
	case LeafOK:
		return "ok"
	case LeafNotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Reason is the reason why a request was refused, failed or left shards uncovered. The values are stable, because
// callers and operators match on them.
type Reason string

// Reasons. ReasonNone means that there is none.
const (
	ReasonNone                Reason = ""
	ReasonDeadline            Reason = "deadline"
	ReasonCancelled           Reason = "cancelled"
	ReasonOverload            Reason = "overload"
	ReasonDraining            Reason = "draining"
	ReasonNotReady            Reason = "not_ready"
	ReasonNotOwner            Reason = "not_owner"
	ReasonZoneOut             Reason = "zone_out"
	ReasonTargetLeaving       Reason = "target_leaving"
	ReasonTargetShed          Reason = "target_shed"
	ReasonTargetDraining      Reason = "target_draining"
	ReasonColdStart           Reason = "cold_start"
	ReasonTakeoverDelay       Reason = "takeover_delay"
	ReasonQueueFull           Reason = "queue_full"
	ReasonDialFailed          Reason = "dial_failed"
	ReasonConnectionLost      Reason = "connection_lost"
	ReasonTruncatedReply      Reason = "truncated_reply"
	ReasonEmptyReply          Reason = "empty_reply"
	ReasonMalformedReply      Reason = "malformed_reply"
	ReasonForeignReply        Reason = "foreign_reply"
	ReasonWrongSnapshot       Reason = "wrong_snapshot"
	ReasonSnapshotNotHeld     Reason = "snapshot_not_held"
	ReasonNoReplica           Reason = "no_replica"
	ReasonPeerUnreachable     Reason = "peer_unreachable"
	ReasonQuarantined         Reason = "quarantined"
	ReasonCoverageTooLow      Reason = "coverage_too_low"
	ReasonTicketInvalid       Reason = "ticket_invalid"
	ReasonTicketExpired       Reason = "ticket_expired"
	ReasonIssuerGone          Reason = "issuer_gone"
	ReasonTargetError         Reason = "target_error"
	ReasonUnknownService      Reason = "unknown_service"
	ReasonStaleView           Reason = "stale_view"
	ReasonTicketInProgress    Reason = "ticket_in_progress"
	ReasonDifferentBody       Reason = "different_body"
	ReasonCapacity            Reason = "capacity"
	ReasonNoBundle            Reason = "no_bundle"
	ReasonTargetUnknown       Reason = "target_unknown"
	ReasonConnectionLimit     Reason = "connection_limit"
	ReasonIncarnationMismatch Reason = "incarnation_mismatch"
)
