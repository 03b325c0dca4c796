package replica

import "teaselbank.example/teaselbank/outcome"

// verdict is what a leaf result says of its target.
type verdict uint8

const (
	// neutral: the result says nothing of the target.
	neutral verdict = iota
	succeeded
	// unanswered: the send was given up without a reply.
	unanswered
	failed
	overloaded
	draining
)

func verdictOf(res *outcome.LeafResult) verdict {
	if res.Status == outcome.LeafOK {
		return succeeded
	}
	switch res.Reason {
	case outcome.ReasonDeadline, outcome.ReasonCancelled:
		if res.Status == outcome.LeafUnknown {
			return unanswered
		}
		return neutral
	case outcome.ReasonTargetShed, outcome.ReasonQueueFull, outcome.ReasonOverload, outcome.ReasonColdStart,
		outcome.ReasonConnectionLimit:
		return overloaded
	case outcome.ReasonTargetDraining, outcome.ReasonTargetLeaving:
		return draining
	case outcome.ReasonSnapshotNotHeld, outcome.ReasonWrongSnapshot, outcome.ReasonNoBundle, outcome.ReasonDraining,
		outcome.ReasonStaleView, outcome.ReasonZoneOut, outcome.ReasonNoReplica:
		return neutral
	default:
		return failed
	}
}
