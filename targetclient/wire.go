// Package targetclient sends leaf requests to targets over HTTP/1.1 and tells apart what provably did not run from
// what may have run.
package targetclient

import "encoding/json"

// LeafPath is the target's endpoint for leaf requests.
const LeafPath = "/v1/leaf"

// CancelPath is the target's endpoint that cancels a running leaf request.
const CancelPath = "/v1/cancel"

// Request is the JSON body of a leaf request.
type Request struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
	Shard     string `json:"shard"`
	Snapshot  string `json:"snapshot"`
	// RemainingMicros is the time left until the deadline, in microseconds.
	RemainingMicros int64           `json:"remaining_micros"`
	NonIdempotent   bool            `json:"non_idempotent,omitempty"`
	Query           json.RawMessage `json:"query"`
}

// Reply is the JSON body of a target's answer. Refused is set, with a 503 or 409 status, when the target did not
// run the request.
type Reply struct {
	RequestID     string          `json:"request_id"`
	Shard         string          `json:"shard"`
	Snapshot      string          `json:"snapshot"`
	Held          []string        `json:"held"`
	Incarnation   string          `json:"incarnation"`
	Refused       Refusal         `json:"refused,omitempty"`
	ServiceMicros int64           `json:"service_micros"`
	Body          json.RawMessage `json:"body,omitempty"`
}

// Refusal says why a target did not run a request.
type Refusal string

// Refusals of a target.
const (
	RefusedShed        Refusal = "shed"
	RefusedDraining    Refusal = "draining"
	RefusedSnapshot    Refusal = "snapshot_not_held"
	RefusedDeadline    Refusal = "deadline"
	RefusedConnections Refusal = "connection_limit"
)

// Header names that both sides use.
const (
	// HeaderIncarnation carries the target's incarnation on every reply.
	HeaderIncarnation = "Teaselbank-Incarnation"
)
