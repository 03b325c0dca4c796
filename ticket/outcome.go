package ticket

import (
	"fmt"

	"teaselbank.example/teaselbank/outcome"
)

// Outcome is what became of a ticketed request. Only the issuer says Complete or NotRun: any other VM cannot know
// whether an earlier copy of the same request has run, so what it refuses itself is Unknown.
type Outcome struct {
	Kind   outcome.Kind
	Reason outcome.Reason
	// Body is the target's reply.
	Body []byte
	// Recorded reports that this is the outcome of an earlier submission of the same ticket.
	Recorded bool
}

func notRun(reason outcome.Reason) Outcome { return Outcome{Kind: outcome.NotRun, Reason: reason} }

// UnknownOutcome says that the request may have run.
func UnknownOutcome(reason outcome.Reason) Outcome {
	return Outcome{Kind: outcome.Unknown, Reason: reason}
}

// RefusedError reports that no ticket was issued.
type RefusedError struct {
	Reason outcome.Reason
	// Field names the field of the caller's request that is at fault; empty if none is.
	Field   string
	Problem string
}

// Error states the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no ticket issued (%s): %s %s", e.Reason, e.Field, e.Problem)
}
