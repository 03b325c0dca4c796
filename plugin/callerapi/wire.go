package callerapi

import (
	"encoding/json"
	"fmt"

	"teaselbank.example/teaselbank/search"
)

// SearchRequest is the JSON body of POST /v1/search.
type SearchRequest struct {
	Service string `json:"service"`
	// Query is passed to the targets unchanged.
	Query json.RawMessage `json:"query"`
	// DeadlineMillis is the timeout of the search in milliseconds; 0 means the bundle's default.
	DeadlineMillis int `json:"deadline_millis"`
	// MinCoverage is the smallest share of shards that the caller accepts, from 0 to 1.
	MinCoverage float64 `json:"min_coverage"`
	// Class is the caller class: urgent, normal or batch; empty is normal.
	Class string `json:"class"`
}

// SearchResponse is the JSON response to POST /v1/search.
type SearchResponse struct {
	RequestID     string        `json:"request_id"`
	Outcome       string        `json:"outcome"`
	Reason        string        `json:"reason,omitempty"`
	Snapshot      string        `json:"snapshot"`
	ConfigVersion uint64        `json:"config_version"`
	Coverage      Coverage      `json:"coverage"`
	Results       []ShardResult `json:"results"`
	ElapsedMicros int64         `json:"elapsed_micros"`
}

// Coverage says how many shards of the snapshot the response covers, and which are missing.
type Coverage struct {
	Answered int            `json:"answered"`
	Expected int            `json:"expected"`
	Missing  []MissingShard `json:"missing,omitempty"`
}

// MissingShard is a shard that the response does not cover.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// ShardResult is the part of one shard in the response.
type ShardResult struct {
	Shard string          `json:"shard"`
	Body  json.RawMessage `json:"body"`
}

// FieldError is an invalid field of a caller's request. The response has status 400, or 409 if the body differs from
// the one first sent with the ticket.
type FieldError struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Problem) }

func toResponse(a search.Answer) SearchResponse {
	r := SearchResponse{
		RequestID: string(a.RequestID), Outcome: string(a.Outcome), Reason: string(a.Reason),
		Snapshot: string(a.Snapshot), ConfigVersion: a.ConfigVersion, ElapsedMicros: a.Elapsed.Microseconds(),
		Coverage: Coverage{Answered: a.Coverage.Answered, Expected: a.Coverage.Expected},
		Results:  make([]ShardResult, 0, len(a.Results)),
	}
	for _, m := range a.Coverage.Missing {
		r.Coverage.Missing = append(r.Coverage.Missing, MissingShard{Shard: string(m.Shard), Reason: string(m.Reason)})
	}
	for _, s := range a.Results {
		r.Results = append(r.Results, ShardResult{Shard: string(s.Shard), Body: s.Body})
	}
	return r
}
