package search

import (
	"context"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// Guard decides whether a query may be fanned out. A query whose fingerprint has no verdict yet runs on one shard first:
// that leaf request is its canary.
type Guard interface {
	// Check returns at once if the fingerprint has a verdict. Otherwise it runs the canary on one of the replicas, which
	// are listed in order of preference, and returns the result, so that the caller need not send that shard again.
	Check(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) GuardResult
}

// GuardResult is the verdict on a query. Leaf is the result of the canary; a reply in it echoes the canary's request
// ID. Leaf is nil if there is no such result, for example because the fingerprint already had a verdict. Target is the
// target of that result; it is empty if the canary was sent to none.
type GuardResult struct {
	Verdict GuardVerdict
	Leaf    *outcome.LeafResult
	Target  ident.TargetID
}

// GuardVerdict says whether a query may be fanned out.
type GuardVerdict string

// Verdicts of a guard.
const (
	// GuardSafe means that the query may be fanned out.
	GuardSafe GuardVerdict = "safe"
	// GuardQuarantined means that the query crashed several targets and must not be sent.
	GuardQuarantined GuardVerdict = "quarantined"
	// GuardFailed means that the canary has no usable reply, and the fingerprint is not quarantined.
	GuardFailed GuardVerdict = "failed"
)
