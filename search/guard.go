package search

import (
	"context"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// Guard runs a query whose fingerprint is not known to be safe on one shard first.
type Guard interface {
	// Check returns at once with Safe for a known fingerprint. Otherwise it runs the canary request on one of the
	// replicas and returns its result, so that the caller need not send that shard again.
	Check(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) GuardResult
}

// GuardResult is the verdict on a query. Leaf and Target are set if the canary was sent; the leaf echoes the canary's
// request id.
type GuardResult struct {
	Verdict GuardVerdict
	Leaf    *outcome.LeafResult
	Target  ident.TargetID
}

// GuardVerdict says whether a query may be fanned out.
type GuardVerdict string

// Verdicts of a guard.
const (
	GuardSafe        GuardVerdict = "safe"
	GuardQuarantined GuardVerdict = "quarantined"
	// GuardFailed: the canary got no answer, and the fingerprint is not quarantined.
	GuardFailed GuardVerdict = "failed"
)
