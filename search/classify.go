package search

import (
	"bytes"
	"encoding/json"

	"teaselbank.example/teaselbank/outcome"
)

// Class says how the result of a leaf request counts. Only accepted replies reach a caller.
type Class string

// Classes of results.
const (
	Accepted Class = "accepted"
	// Late: a whole reply after the answer was given.
	Late Class = "late"
	// Duplicate: a whole reply for a shard that had already been answered.
	Duplicate Class = "duplicate"
	// Foreign: a reply to another request or for another shard.
	Foreign Class = "foreign"
	// Truncated: the reply was cut off, or its body is not a whole JSON value.
	Truncated Class = "truncated"
	// Empty: a reply without a body.
	Empty Class = "empty"
	// WrongSnapshot: a reply from another snapshot than the pinned one.
	WrongSnapshot Class = "wrong_snapshot"
	// Refused: the request provably did not run.
	Refused Class = "refused"
	// Lost: there is no usable reply, and the request may have run.
	Lost Class = "lost"
	// Cancelled: the send was given up because its answer was no longer needed.
	Cancelled Class = "cancelled"
)

// Classes lists every class.
var Classes = []Class{Accepted, Late, Duplicate, Foreign, Truncated, Empty, WrongSnapshot, Refused, Lost, Cancelled}

// classify judges a result by its own request alone.
func classify(req *outcome.LeafRequest, res *outcome.LeafResult) Class {
	// Identities come first: nothing in a reply to another request says anything about this one.
	identified := res.ID != "" || res.Status == outcome.LeafOK
	if res.Reason == outcome.ReasonForeign || identified && (res.ID != req.ID || res.Shard != req.Shard) {
		return Foreign
	}
	switch {
	case res.Status == outcome.LeafNotRun:
		return Refused
	case res.Status != outcome.LeafOK:
		return lostClass(res.Reason)
	case res.Snapshot != req.Snapshot:
		return WrongSnapshot
	case len(res.Body) == 0 || bytes.Equal(bytes.TrimSpace(res.Body), []byte("null")):
		return Empty
	case !json.Valid(res.Body):
		return Truncated
	default:
		return Accepted
	}
}

func lostClass(reason outcome.Reason) Class {
	switch reason {
	case outcome.ReasonTruncated:
		return Truncated
	case outcome.ReasonEmpty:
		return Empty
	case outcome.ReasonWrongSnapshot:
		return WrongSnapshot
	case outcome.ReasonCancelled:
		return Cancelled
	default:
		return Lost
	}
}

// late says how a result counts that arrives after the answer was given.
func late(class Class) Class {
	if class == Accepted {
		return Late
	}
	return class
}

// repeated says how a second result of one attempt counts.
func repeated(class Class) Class {
	if class == Accepted {
		return Duplicate
	}
	return class
}

// reasonOf names the reason of a result that was not accepted.
func reasonOf(class Class, res *outcome.LeafResult) outcome.Reason {
	switch class {
	case Foreign:
		return outcome.ReasonForeign
	case Truncated:
		return outcome.ReasonTruncated
	case Empty:
		return outcome.ReasonEmpty
	case WrongSnapshot:
		return outcome.ReasonWrongSnapshot
	default:
		return res.Reason
	}
}
