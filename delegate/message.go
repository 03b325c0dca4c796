package delegate

import (
	"math"
	"net/http"
	"time"

	"teaselbank.example/teaselbank/forward"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
)

// httpRequestToMessage converts a caller's request to its protobuf message. The deadline is sent relative to now, because
// the clocks of VMs differ.
func httpRequestToMessage(r *leafconn.Request, now time.Time) *peerv1.HttpRequest {
	msg := &peerv1.HttpRequest{Id: r.ID, Method: r.Method, Uri: r.RequestURI, Host: r.Host, Body: r.Body, RemainingUs: r.Deadline.Sub(now).Microseconds()}
	for name, values := range r.Header {
		msg.Headers = append(msg.Headers, &peerv1.Header{Name: name, Values: values})
	}
	return msg
}

func httpRequestFromMessage(msg *peerv1.HttpRequest, now time.Time) *leafconn.Request {
	header := make(http.Header, len(msg.GetHeaders()))
	for _, h := range msg.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	return &leafconn.Request{ID: msg.GetId(), Method: msg.GetMethod(), RequestURI: msg.GetUri(), Host: msg.GetHost(), Header: header,
		Body: msg.GetBody(), Deadline: now.Add(microseconds(msg.GetRemainingUs()))}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func searchToMessage(s *forward.Search, now time.Time) *peerv1.SearchRequest {
	return &peerv1.SearchRequest{ConfigVersion: s.Version, Request: httpRequestToMessage(s.Request, now), ElapsedUs: now.Sub(s.Arrived).Microseconds(),
		Entry: string(s.Entry)}
}

// searchFromMessage converts a protobuf message that arrived now to a search.
func searchFromMessage(msg *peerv1.SearchRequest, now time.Time) *forward.Search {
	return &forward.Search{Request: httpRequestFromMessage(msg.GetRequest(), now), Arrived: now.Add(-microseconds(msg.GetElapsedUs())),
		Version: msg.GetConfigVersion(), Entry: ident.VMID(msg.GetEntry())}
}

func replyToMessage(r *forward.SearchReply) *peerv1.SearchResponse {
	return &peerv1.SearchResponse{Status: uint32(r.Status), Reason: r.Reason, RetryAfterUs: r.RetryAfter.Microseconds(), //nolint:gosec // an HTTP status
		Signatures: r.Signatures, Missing: uint32(r.Missing), Body: r.Body} //nolint:gosec // a number of shards
}

func replyFromMessage(msg *peerv1.SearchResponse, from ident.VMID) *forward.SearchReply {
	return &forward.SearchReply{Status: int(msg.GetStatus()), Reason: msg.GetReason(), RetryAfter: microseconds(msg.GetRetryAfterUs()),
		Signatures: msg.GetSignatures(), Missing: int(msg.GetMissing()), Body: msg.GetBody(), Coordinator: from}
}

func relayToMessage(r *forward.Relay, now time.Time) *peerv1.SendAllRequest {
	msg := &peerv1.SendAllRequest{Request: httpRequestToMessage(r.Request, now), TopRecords: uint32(max(0, r.TopRecords)), //nolint:gosec // a small number
		FlushUs: r.FlushAfter.Microseconds()}
	for _, s := range r.Sends {
		msg.Sends = append(msg.Sends, &peerv1.TargetSend{Service: string(s.Service), TargetId: string(s.Target)})
	}
	return msg
}

func relayFromMessage(msg *peerv1.SendAllRequest, now time.Time) *forward.Relay {
	r := &forward.Relay{Request: httpRequestFromMessage(msg.GetRequest(), now), TopRecords: int(msg.GetTopRecords()), FlushAfter: microseconds(msg.GetFlushUs())}
	for _, s := range msg.GetSends() {
		r.Sends = append(r.Sends, forward.RelaySend{Service: ident.ServiceID(s.GetService()), Target: ident.TargetID(s.GetTargetId())})
	}
	return r
}

// sendStatuses maps the results of relayed sends to their protobuf values.
var sendStatuses = map[forward.RelayStatus]peerv1.SendStatus{
	forward.RelayRan:         peerv1.SendStatus_SEND_STATUS_RAN,
	forward.RelayRefused:     peerv1.SendStatus_SEND_STATUS_REFUSED,
	forward.RelayMisdirected: peerv1.SendStatus_SEND_STATUS_MISDIRECTED,
	forward.RelayNotSent:     peerv1.SendStatus_SEND_STATUS_NOT_SENT,
	forward.RelayBroken:      peerv1.SendStatus_SEND_STATUS_BROKEN,
}

func batchToMessage(b *forward.RelayBatch) *peerv1.SendAllResponse {
	msg := &peerv1.SendAllResponse{Records: b.Records}
	for _, r := range b.Results {
		msg.Results = append(msg.Results, &peerv1.SendResult{Index: uint32(r.Index), Status: sendStatuses[r.Status], //nolint:gosec // an index
			HttpStatus: uint32(r.HTTPStatus), Signature: r.Signature, TookUs: r.Took.Microseconds(),
			RateLimit: r.RateLimit, Leaving: r.Leaving, RetryAfterUs: r.RetryAfter.Microseconds()}) //nolint:gosec // an HTTP status
	}
	return msg
}

// batchFromMessage converts a protobuf message to a batch. A status that a later version of the protocol may define counts
// as RelayBroken, which assumes least.
func batchFromMessage(msg *peerv1.SendAllResponse) *forward.RelayBatch {
	b := &forward.RelayBatch{Records: msg.GetRecords()}
	for _, r := range msg.GetResults() {
		result := forward.RelayResult{Index: int(r.GetIndex()), Status: forward.RelayBroken, HTTPStatus: int(r.GetHttpStatus()), Signature: r.GetSignature(),
			Took: microseconds(r.GetTookUs()), Leaving: r.GetLeaving(), RetryAfter: max(0, microseconds(r.GetRetryAfterUs()))}
		if limit := r.GetRateLimit(); limit > 0 && !math.IsInf(limit, 0) {
			result.RateLimit = limit
		}
		for status, value := range sendStatuses {
			if value == r.GetStatus() {
				result.Status = status
			}
		}
		b.Results = append(b.Results, result)
	}
	return b
}
