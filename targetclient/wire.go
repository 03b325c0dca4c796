// Package targetclient sends leaf requests to targets over HTTP/1.1. Its results distinguish requests that provably did
// not run from those that may have run.
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

// Reply is the JSON body of a target's reply. RequestID, Shard and, unless the request is refused, Snapshot repeat those
// of the request.
type Reply struct {
	RequestID string `json:"request_id"`
	Shard     string `json:"shard"`
	Snapshot  string `json:"snapshot"`
	// Held lists the snapshots that the target holds.
	Held        []string `json:"held"`
	Incarnation string   `json:"incarnation"`
	// Refused is set, with status 503 or 409, if the target refused the request without running it.
	Refused Refusal `json:"refused,omitempty"`
	// ServiceMicros is the time that the target took for the request, in microseconds.
	ServiceMicros int64           `json:"service_micros"`
	Body          json.RawMessage `json:"body,omitempty"`
}

// Refusal is the reason why a target refused a request.
type Refusal string

// Reasons of refusals.
const (
	RefusedShed        Refusal = "shed"
	RefusedDraining    Refusal = "draining"
	RefusedSnapshot    Refusal = "snapshot_not_held"
	RefusedDeadline    Refusal = "deadline"
	RefusedConnections Refusal = "connection_limit"
)

// Headers of the protocol between this client and targets.
const (
	// HeaderIncarnation is the header in which every reply carries the target's incarnation.
	HeaderIncarnation = "Teaselbank-Incarnation"
)
