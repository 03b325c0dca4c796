package search

import (
	"bytes"
	"encoding/json"

	"teaselbank.example/teaselbank/outcome"
)

// Class is how the result of a leaf request is counted. Only accepted replies become part of an answer.
type Class string

// Classes of results.
const (
	// Accepted is a complete reply that is part of the answer.
	Accepted Class = "accepted"
	// Late is a complete reply that arrived after the answer was given.
	Late Class = "late"
	// Duplicate is a complete reply for a shard that was already answered.
	Duplicate Class = "duplicate"
	// Foreign is a reply to another request or for another shard.
	Foreign Class = "foreign"
	// Truncated is a reply that was cut off, or whose body is not a complete JSON value.
	Truncated Class = "truncated"
	// Empty is a reply without a body, or whose body is null.
	Empty Class = "empty"
	// WrongSnapshot is a reply from a snapshot other than the pinned one.
	WrongSnapshot Class = "wrong_snapshot"
	// Refused is the result of a request that provably did not run.
	Refused Class = "refused"
	// Lost is the result of a request that may have run but has no usable reply.
	Lost Class = "lost"
	// Cancelled is the result of a send that was given up because its reply was no longer needed.
	Cancelled Class = "cancelled"
)

// Classes lists every class.
var Classes = []Class{Accepted, Late, Duplicate, Foreign, Truncated, Empty, WrongSnapshot, Refused, Lost, Cancelled}

// classify returns the class of a result by comparing it with its own request only: it never returns Late or
// Duplicate.
func classify(req *outcome.LeafRequest, res *outcome.LeafResult) Class {
	// The identity is checked first: a reply to another request says nothing about this one.
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

// lateClass returns the class of a result that arrives after the answer was given.
func lateClass(class Class) Class {
	if class == Accepted {
		return Late
	}
	return class
}

// repeatedClass returns the class of a second result of one attempt.
func repeatedClass(class Class) Class {
	if class == Accepted {
		return Duplicate
	}
	return class
}

// reasonOf returns why a result was not accepted.
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
