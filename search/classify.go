package search

import (
	"bytes"
	"encoding/json"

	"teaselbank.example/teaselbank/outcome"
)

// ResultClass is how the result of a leaf request is counted. Only accepted replies become part of an answer.
type ResultClass string

// Classes of results.
const (
	// Accepted is a complete reply that is part of the answer.
	Accepted ResultClass = "accepted"
	// Late is a complete reply that arrived after the answer was given.
	Late ResultClass = "late"
	// Duplicate is a complete reply for a shard that was already answered.
	Duplicate ResultClass = "duplicate"
	// Foreign is a reply to another request or for another shard.
	Foreign ResultClass = "foreign"
	// Truncated is a reply that was cut off, or whose body is not a complete JSON value.
	Truncated ResultClass = "truncated"
	// Empty is a reply without a body, or whose body is null.
	Empty ResultClass = "empty"
	// WrongSnapshot is a reply from a snapshot other than the pinned one.
	WrongSnapshot ResultClass = "wrong_snapshot"
	// Refused is the result of a request that provably did not run.
	Refused ResultClass = "refused"
	// Lost is the result of a request that may have run but has no usable reply.
	Lost ResultClass = "lost"
	// Cancelled is the result of a send that was given up because its reply was no longer needed.
	Cancelled ResultClass = "cancelled"
)

// ResultClasses lists every class.
var ResultClasses = []ResultClass{Accepted, Late, Duplicate, Foreign, Truncated, Empty, WrongSnapshot, Refused, Lost, Cancelled}

// classify returns the class of a result by comparing it with its own request only: it never returns Late or
// Duplicate.
func classify(req *outcome.LeafRequest, res *outcome.LeafResult) ResultClass {
	// The identity is checked first: a reply to another request says nothing about this one.
	identified := res.ID != "" || res.Status == outcome.LeafOK
	if res.Reason == outcome.ReasonForeignReply || identified && (res.ID != req.ID || res.Shard != req.Shard) {
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

func lostClass(reason outcome.Reason) ResultClass {
	switch reason {
	case outcome.ReasonTruncatedReply:
		return Truncated
	case outcome.ReasonEmptyReply:
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
func lateClass(class ResultClass) ResultClass {
	if class == Accepted {
		return Late
	}
	return class
}

// repeatedClass returns the class of a second result of one attempt.
func repeatedClass(class ResultClass) ResultClass {
	if class == Accepted {
		return Duplicate
	}
	return class
}

// reasonOf returns why a result was not accepted.
func reasonOf(class ResultClass, res *outcome.LeafResult) outcome.Reason {
	switch class {
	case Foreign:
		return outcome.ReasonForeignReply
	case Truncated:
		return outcome.ReasonTruncatedReply
	case Empty:
		return outcome.ReasonEmptyReply
	case WrongSnapshot:
		return outcome.ReasonWrongSnapshot
	default:
		return res.Reason
	}
}
