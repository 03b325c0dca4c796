// Package relay sends leaf requests from the VM that received the caller's request to the VM that owns the target, and
// serves the leaf requests that other VMs send for targets of this VM. It also carries tickets, canaries and quarantines
// between VMs.
package relay

import (
	"context"
	"time"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// RequestToMessage encodes a leaf request. The context's deadline is encoded as the remaining time.
func RequestToMessage(ctx context.Context, r outcome.LeafRequest) *peerv1.SendLeafRequest {
	m := &peerv1.SendLeafRequest{
		RequestId: string(r.ID), Service: string(r.Service), TargetId: string(r.Target), Shard: string(r.Shard),
		Snapshot: string(r.Snapshot), Query: r.Query, Kind: string(r.Kind), NonIdempotent: r.NonIdempotent,
		ConfigVersion: r.ConfigVersion,
	}
	if deadline, ok := ctx.Deadline(); ok {
		m.RemainingUs = time.Until(deadline).Microseconds()
	}
	return m
}

// RequestFromMessage decodes a leaf request, without its remaining time.
func RequestFromMessage(m *peerv1.SendLeafRequest) outcome.LeafRequest {
	return outcome.LeafRequest{
		ID: ident.RequestID(m.GetRequestId()), Service: ident.ServiceID(m.GetService()),
		Target: ident.TargetID(m.GetTargetId()), Shard: ident.ShardID(m.GetShard()),
		Snapshot: ident.SnapshotID(m.GetSnapshot()), Query: m.GetQuery(), Kind: outcome.SendKind(m.GetKind()),
		NonIdempotent: m.GetNonIdempotent(), ConfigVersion: m.GetConfigVersion(),
	}
}

// ResultToMessage encodes a leaf result, without its Detail.
func ResultToMessage(r outcome.LeafResult) *peerv1.SendLeafResponse {
	held := make([]string, len(r.Held))
	for i, h := range r.Held {
		held[i] = string(h)
	}
	return &peerv1.SendLeafResponse{
		Status: statusToMessage(r.Status), Reason: string(r.Reason), RequestId: string(r.ID), Shard: string(r.Shard),
		Snapshot: string(r.Snapshot), HeldSnapshots: held, TargetIncarnation: r.Incarnation, Body: r.Body,
		Load: r.Load, QueuedUs: r.QueueTime.Microseconds(), ServiceUs: r.ServiceTime.Microseconds(), Cold: r.Cold,
	}
}

// ResultFromMessage decodes a leaf result.
func ResultFromMessage(m *peerv1.SendLeafResponse) outcome.LeafResult {
	held := make([]ident.SnapshotID, len(m.GetHeldSnapshots()))
	for i, h := range m.GetHeldSnapshots() {
		held[i] = ident.SnapshotID(h)
	}
	return outcome.LeafResult{
		Status: statusFromMessage(m.GetStatus()), Reason: outcome.Reason(m.GetReason()),
		ID: ident.RequestID(m.GetRequestId()), Shard: ident.ShardID(m.GetShard()),
		Snapshot: ident.SnapshotID(m.GetSnapshot()), Held: held, Incarnation: m.GetTargetIncarnation(),
		Body: m.GetBody(), Load: m.GetLoad(), QueueTime: time.Duration(m.GetQueuedUs()) * time.Microsecond,
		ServiceTime: time.Duration(m.GetServiceUs()) * time.Microsecond, Cold: m.GetCold(),
	}
}

func statusToMessage(s outcome.LeafStatus) peerv1.LeafStatus {
	switch s {
	case outcome.LeafOK:
		return peerv1.LeafStatus_LEAF_STATUS_OK
	case outcome.LeafNotRun:
		return peerv1.LeafStatus_LEAF_STATUS_NOT_RUN
	default:
		return peerv1.LeafStatus_LEAF_STATUS_UNKNOWN
	}
}

// statusFromMessage decodes a status. Any other value, as from a newer peer, becomes LeafUnknown, which asserts nothing
// about whether the request ran.
func statusFromMessage(s peerv1.LeafStatus) outcome.LeafStatus {
	switch s {
	case peerv1.LeafStatus_LEAF_STATUS_OK:
		return outcome.LeafOK
	case peerv1.LeafStatus_LEAF_STATUS_NOT_RUN:
		return outcome.LeafNotRun
	default:
		return outcome.LeafUnknown
	}
}
