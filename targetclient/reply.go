package targetclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replyread"
)

// readReply reads the reply body, up to maxReplyBytes, and returns the result of the send.
func readReply(resp *http.Response, bodies *replyread.Budget, r outcome.LeafRequest) outcome.LeafResult {
	data, err := bodies.ReadAll(resp.Body, resp.ContentLength, maxReplyBytes)
	switch {
	case errors.Is(err, replyread.ErrTooLarge), errors.Is(err, replyread.ErrBusy):
		return outcome.UnknownResult(outcome.ReasonMalformedReply, err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return outcome.UnknownResult(failureReason(err), err.Error())
	case err != nil:
		return outcome.UnknownResult(outcome.ReasonTruncatedReply, err.Error())
	}
	return parseReply(resp.StatusCode, data, r)
}

// parseReply parses a reply body and returns the result of the send. Unless the body is a complete and valid reply to
// this request, it is unknown whether the request ran.
func parseReply(status int, data []byte, r outcome.LeafRequest) outcome.LeafResult {
	var reply Reply
	err := json.Unmarshal(data, &reply)
	switch {
	case err == nil:
		return classifyReply(status, &reply, r)
	case status != http.StatusOK:
		return outcome.UnknownResult(outcome.ReasonTargetError, fmt.Sprintf("reply has status %d and is no valid refusal: %v", status, err))
	case len(data) > 0 && isTruncated(err, len(data)):
		return outcome.UnknownResult(outcome.ReasonTruncatedReply, err.Error())
	default:
		return outcome.UnknownResult(outcome.ReasonMalformedReply, fmt.Sprintf("parse reply of %d bytes: %v", len(data), err))
	}
}

// isTruncated reports whether the data ended inside the JSON value. A reply that is delimited by the close of its
// connection states no length, so only its content shows that it was truncated.
func isTruncated(err error, length int) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax) && syntax.Offset >= int64(length) && syntax.Error() == "unexpected end of JSON input"
}

// classifyReply returns the result that a parsed reply gives. A reply to another request gives LeafUnknown.
func classifyReply(status int, reply *Reply, r outcome.LeafRequest) outcome.LeafResult {
	res := outcome.LeafResult{
		ID: ident.RequestID(reply.RequestID), Shard: ident.ShardID(reply.Shard),
		Snapshot: ident.SnapshotID(reply.Snapshot), Held: heldSnapshots(reply.Held),
		Incarnation: reply.Incarnation, ServiceTime: time.Duration(reply.ServiceMicros) * time.Microsecond,
	}
	refusal, refused := refusalReason(status, reply)
	switch {
	case res.ID != r.ID || res.Shard != r.Shard:
		res.Status, res.Reason = outcome.LeafUnknown, outcome.ReasonForeignReply
	case refused:
		res.Status, res.Reason = outcome.LeafNotRun, refusal
	case status != http.StatusOK:
		res.Status, res.Reason = outcome.LeafUnknown, outcome.ReasonTargetError
		res.Detail = fmt.Sprintf("reply has status %d and is no valid refusal", status)
	case reply.Refused != "":
		res.Status, res.Reason, res.Detail = outcome.LeafUnknown, outcome.ReasonMalformedReply, "reply is a refusal but has status 200"
	case res.Snapshot != r.Snapshot:
		res.Status, res.Reason = outcome.LeafUnknown, outcome.ReasonWrongSnapshot
	default:
		res.Status, res.Body = outcome.LeafOK, reply.Body
	}
	return res
}

// refusalReason returns the reason of a refusal, and whether the reply is a valid refusal. A valid refusal has status
// 503 or 409, a known value of Refused and no body.
func refusalReason(status int, reply *Reply) (outcome.Reason, bool) {
	if status != http.StatusServiceUnavailable && status != http.StatusConflict || len(reply.Body) > 0 {
		return outcome.ReasonNone, false
	}
	switch reply.Refused {
	case RefusedShed:
		return outcome.ReasonTargetShed, true
	case RefusedDraining:
		return outcome.ReasonTargetDraining, true
	case RefusedSnapshot:
		return outcome.ReasonSnapshotNotHeld, true
	case RefusedDeadline:
		return outcome.ReasonDeadline, true
	case RefusedConnections:
		return outcome.ReasonConnectionLimit, true
	default:
		return outcome.ReasonNone, false
	}
}

func heldSnapshots(held []string) []ident.SnapshotID {
	out := make([]ident.SnapshotID, len(held))
	for i, h := range held {
		out[i] = ident.SnapshotID(h)
	}
	return out
}
