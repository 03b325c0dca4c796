package search

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// Guard runs a query whose fingerprint is not known to be safe on one shard first.
type Guard interface {
	// Check returns at once with Safe for a known fingerprint. Otherwise it runs the canary request on one of the
	// replicas and returns its result, so that the caller need not send that shard again.
	Check(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) GuardResult
}

// GuardResult is the verdict on a fingerprint.
type GuardResult struct {
	Verdict GuardVerdict
	// Leaf is the canary's result, or nil if none was run for this call.
	Leaf *outcome.LeafResult
	// Target is the replica that ran the canary.
	Target ident.TargetID
}

// GuardVerdict says whether a query may be fanned out.
type GuardVerdict string

// Verdicts.
const (
	GuardSafe        GuardVerdict = "safe"
	GuardQuarantined GuardVerdict = "quarantined"
	GuardFailed      GuardVerdict = "failed"
)

// Fingerprint returns the hash of a service and a canonical query: JSON with sorted keys and no white space. A query
// that is not JSON is hashed as it is.
func Fingerprint(service ident.ServiceID, query []byte) string {
	canonical := query
	dec := json.NewDecoder(bytes.NewReader(query))
	// Numbers keep their digits, so that two large numbers never fall together.
	dec.UseNumber()
	var value any
	if dec.Decode(&value) == nil {
		if encoded, err := json.Marshal(value); err == nil {
			canonical = encoded
		}
	}
	sum := sha256.Sum256(append([]byte(string(service)+"\x00"), canonical...))
	return hex.EncodeToString(sum[:])
}
