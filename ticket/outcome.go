package ticket

import (
	"fmt"

	"teaselbank.example/teaselbank/outcome"
)

// Outcome is the outcome of a ticketed request. Only the issuer reports Complete, or NotRun for a well-formed ticket:
// no other VM can rule out that an earlier copy of the request has run, so a VM that cannot forward a request reports
// Unknown.
type Outcome struct {
	Kind   outcome.Kind
	Reason outcome.Reason
	// Body is the body of the target's reply if Kind is Complete. It is empty if the reply was too large to be recorded.
	Body []byte
	// Recorded reports whether this is the outcome of an earlier submission of the same ticket.
	Recorded bool
}

func notRun(reason outcome.Reason) Outcome { return Outcome{Kind: outcome.NotRun, Reason: reason} }

// UnknownOutcome returns an outcome of kind Unknown: the request may have run.
func UnknownOutcome(reason outcome.Reason) Outcome {
	return Outcome{Kind: outcome.Unknown, Reason: reason}
}

// RefusedError is the error of Issue: no ticket was issued.
type RefusedError struct {
	Reason outcome.Reason
	// Field is the invalid field of the caller's request; empty if no field is.
	Field string
	// Problem says what is wrong with the field, or why no ticket could be issued; it may be empty.
	Problem string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no ticket issued (%s): %s %s", e.Reason, e.Field, e.Problem)
}
