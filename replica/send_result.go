package replica

import "teaselbank.example/teaselbank/outcome"

// sendResult classifies a leaf result by what it shows about its target.
type sendResult uint8

const (
	// neutral: the result shows nothing about the target.
	neutral sendResult = iota
	succeeded
	// unanswered: the send was cancelled or reached its deadline without a reply.
	unanswered
	failed
	// overloaded: the target, or the VM that sends to it, refused the request under load.
	overloaded
	// draining: the target refused the request because it is draining or leaving.
	draining
)

// sendResultOf returns the sendResult of a leaf result. Reasons that its switch does not list count as failed.
func sendResultOf(res *outcome.LeafResult) sendResult {
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
