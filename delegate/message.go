package delegate

import (
	"net/http"
	"time"

	"teaselbank.example/teaselbank/forward"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
)

// requestToMessage converts a search to its protobuf message. Times are sent relative to now, because the clocks of VMs
// differ.
func requestToMessage(s *forward.Search, now time.Time) *peerv1.SearchRequest {
	r := s.Request
	msg := &peerv1.SearchRequest{ConfigVersion: s.Version, RequestId: r.ID, Method: r.Method, RequestUri: r.RequestURI, Host: r.Host,
		Body: r.Body, ElapsedUs: now.Sub(s.Arrived).Microseconds(), RemainingUs: r.Deadline.Sub(now).Microseconds(), Entry: string(s.Entry)}
	for name, values := range r.Header {
		msg.Headers = append(msg.Headers, &peerv1.Header{Name: name, Values: values})
	}
	return msg
}

// requestFromMessage converts a protobuf message that arrived now to a search.
func requestFromMessage(msg *peerv1.SearchRequest, now time.Time) *forward.Search {
	header := make(http.Header, len(msg.GetHeaders()))
	for _, h := range msg.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	return &forward.Search{Arrived: now.Add(-time.Duration(msg.GetElapsedUs()) * time.Microsecond), Version: msg.GetConfigVersion(),
		Entry: ident.VMID(msg.GetEntry()), Request: &leafconn.Request{ID: msg.GetRequestId(), Method: msg.GetMethod(), RequestURI: msg.GetRequestUri(),
			Host: msg.GetHost(), Header: header, Body: msg.GetBody(), Deadline: now.Add(time.Duration(msg.GetRemainingUs()) * time.Microsecond)}}
}

func replyToMessage(r *forward.SearchReply) *peerv1.SearchResponse {
	return &peerv1.SearchResponse{Status: uint32(r.Status), Reason: r.Reason, RetryAfterUs: r.RetryAfter.Microseconds(), //nolint:gosec // an HTTP status
		Signatures: r.Signatures, Missing: uint32(r.Missing), Body: r.Body} //nolint:gosec // a number of shards
}

func replyFromMessage(msg *peerv1.SearchResponse, from ident.VMID) *forward.SearchReply {
	return &forward.SearchReply{Status: int(msg.GetStatus()), Reason: msg.GetReason(), RetryAfter: time.Duration(msg.GetRetryAfterUs()) * time.Microsecond,
		Signatures: msg.GetSignatures(), Missing: int(msg.GetMissing()), Body: msg.GetBody(), Coordinator: from}
}
