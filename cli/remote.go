package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"teaselbank.example/teaselbank/statusapi"
)

// maxResponseBytes limits how much of a response is read. A status lists up to 3,000 targets.
const maxResponseBytes = 16 << 20

type status struct {
	*env
	VMs     []string      `long:"vm" required:"true" description:"base URL of a VM's operator API; may be given several times"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"timeout of the request to each VM"`
}

// vmStatus is the status of one VM, or the error of the request for it.
type vmStatus struct {
	URL    string            `json:"url"`
	Error  string            `json:"error,omitempty"`
	Status *statusapi.Status `json:"status,omitempty"`
}

// Execute queries all VMs concurrently and prints every result. It returns an error if any VM returned no status.
func (c *status) Execute([]string) error {
	statuses := make([]vmStatus, len(c.VMs))
	var calls sync.WaitGroup
	for i, url := range c.VMs {
		calls.Go(func() { statuses[i] = c.fetch(url) })
	}
	calls.Wait()
	var lines []string
	failed := 0
	for _, s := range statuses {
		if s.Status == nil {
			failed++
		}
		lines = append(lines, s.lines()...)
	}
	if err := c.result(statuses, lines...); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("no status from %d of %d VMs", failed, len(statuses))
	}
	return nil
}

func (c *status) fetch(url string) vmStatus {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	s := vmStatus{URL: url}
	code, data, err := call(ctx, http.MethodGet, strings.TrimRight(url, "/")+"/v1/status", nil)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("HTTP status %d", code)
	}
	var got statusapi.Status
	if err == nil {
		err = json.Unmarshal(data, &got)
	}
	if err != nil {
		s.Error = err.Error()
		return s
	}
	s.Status = &got
	return s
}

// lines returns the status as lines of text.
func (s vmStatus) lines() []string {
	if s.Status == nil {
		return []string{fmt.Sprintf("%s: no answer: %s", s.URL, s.Error)}
	}
	st := s.Status
	lines := []string{fmt.Sprintf("%s: vm %s, zone %s, ready %t, %d config conflicts", s.URL, st.VM, st.Zone, st.Ready, st.Conflicts)}
	switch {
	case st.Site != nil:
		lines = append(lines, siteLines(st.Site)...)
	case st.Config == nil:
		lines = append(lines, "  no bundle in force")
	default:
		lines = append(lines, fmt.Sprintf("  version %d %q in force since %s, digest %s, author %s, reviewer %s, signed by %s, unconfirmed %t",
			st.Config.Version, st.Config.Name, st.Config.Since.Format(time.RFC3339), st.Config.Digest, st.Config.Author,
			st.Config.Reviewer, strings.Join(st.Config.Signers, ", "), st.Config.Unconfirmed))
	}
	if st.Conflict != nil {
		lines = append(lines, fmt.Sprintf("  ALARM config_conflict: version %d also exists as %s, signed by %s, since %s; publish a higher version",
			st.Conflict.Version, strings.Join(st.Conflict.Offered, ", "), strings.Join(st.Conflict.Signers, ", "), st.Conflict.Since.Format(time.RFC3339)))
	}
	for _, p := range st.Peers {
		lines = append(lines, fmt.Sprintf("  peer %s, zone %s, %s, %s", p.VM, p.Zone, p.Address, p.State))
	}
	for _, t := range st.Targets {
		line := fmt.Sprintf("  target %s, service %s, zone %s, %s", t.Target, t.Service, t.Zone, t.State)
		if st.Site == nil {
			line += ", owners " + strings.Join(t.Owners, ", ")
		}
		lines = append(lines, line)
	}
	return lines
}

// siteLines describes the configuration that a VM has read from the platform's store, directly or through peers, and
// how recent it is.
// listOrNone joins names with commas.
func listOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func siteLines(s *statusapi.SiteStatus) []string {
	formatTime := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return t.Format(time.RFC3339)
	}
	lines := []string{fmt.Sprintf("  configuration version %d, %d routes, store revision %d taken in at %s, %d requests running",
		s.Version, s.Routes, s.Revision, formatTime(s.Changed), s.Running),
		fmt.Sprintf("  follows the store %t, store heard %s, another zone heard %s", s.WatchesStore, formatTime(s.LastStoreResponse), formatTime(s.LastOtherZoneContact)),
		fmt.Sprintf("  coordinator %t, others in the zone %s, share of extra sends %.4f", s.Coordinator, listOrNone(s.Coordinators), s.ExtraShare),
		fmt.Sprintf("  searches handed over %d, run here %d, lost %d", s.SearchesHandedOver, s.SearchesNotHandedOver, s.SearchesLost)}
	if len(s.ZonesOut) > 0 {
		lines = append(lines, "  zones out: "+strings.Join(s.ZonesOut, ", "))
	}
	return lines
}

type search struct {
	*env
	VM          string        `long:"vm" required:"true" description:"base URL of the VM's caller API"`
	Service     string        `long:"service" required:"true" description:"service to search"`
	Query       string        `long:"query" required:"true" description:"query as JSON"`
	Deadline    time.Duration `long:"deadline" description:"deadline of the search; the default of the bundle in force if not set"`
	MinCoverage float64       `long:"min-coverage" description:"minimum share of shards that must answer, from 0 to 1"`
	Class       string        `long:"class" choice:"urgent" choice:"normal" choice:"batch" default:"normal" description:"caller class"`
	Timeout     time.Duration `long:"timeout" default:"70s" description:"timeout of the whole call"`
}

// searchRequest is the body of POST /v1/search.
type searchRequest struct {
	Service        string          `json:"service"`
	Query          json.RawMessage `json:"query"`
	DeadlineMillis int64           `json:"deadline_millis"`
	MinCoverage    float64         `json:"min_coverage"`
	Class          string          `json:"class"`
}

// searchResponse holds the fields of a response of POST /v1/search that the text output shows.
type searchResponse struct {
	Outcome       string `json:"outcome"`
	Reason        string `json:"reason"`
	Snapshot      string `json:"snapshot"`
	ConfigVersion uint64 `json:"config_version"`
	Coverage      struct {
		Answered int `json:"answered"`
		Expected int `json:"expected"`
		Missing  []struct {
			Shard  string `json:"shard"`
			Reason string `json:"reason"`
		} `json:"missing"`
	} `json:"coverage"`
	ElapsedMicros int64 `json:"elapsed_micros"`
	Results       []struct {
		Shard string          `json:"shard"`
		Body  json.RawMessage `json:"body"`
	} `json:"results"`
}

// Execute sends one search and prints the response. It returns an error unless the outcome is complete or partial.
func (c *search) Execute([]string) error {
	if !json.Valid([]byte(c.Query)) {
		return &usageError{"--query is not valid JSON"}
	}
	body, err := json.Marshal(searchRequest{Service: c.Service, Query: json.RawMessage(c.Query),
		DeadlineMillis: c.Deadline.Milliseconds(), MinCoverage: c.MinCoverage, Class: c.Class})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	code, data, err := call(ctx, http.MethodPost, strings.TrimRight(c.VM, "/")+"/v1/search", body)
	if err != nil {
		return err
	}
	if code == http.StatusBadRequest {
		return &refusedError{c.VM, errors.New(strings.TrimSpace(string(data)))}
	}
	var response searchResponse
	if err := json.Unmarshal(data, &response); err != nil || response.Outcome == "" {
		return fmt.Errorf("%s: HTTP status %d: %s", c.VM, code, strings.TrimSpace(string(data)))
	}
	if err := c.result(json.RawMessage(data), response.lines()...); err != nil {
		return err
	}
	if response.Outcome != "complete" && response.Outcome != "partial" {
		return fmt.Errorf("%s: outcome %s: %s", c.VM, response.Outcome, response.Reason)
	}
	return nil
}

func (s searchResponse) lines() []string {
	lines := []string{fmt.Sprintf("%s: %d of %d shards, snapshot %s, config version %d, %s", s.Outcome, s.Coverage.Answered,
		s.Coverage.Expected, s.Snapshot, s.ConfigVersion, time.Duration(s.ElapsedMicros)*time.Microsecond)}
	for _, m := range s.Coverage.Missing {
		lines = append(lines, fmt.Sprintf("  missing %s: %s", m.Shard, m.Reason))
	}
	for _, r := range s.Results {
		lines = append(lines, fmt.Sprintf("  %s %s", r.Shard, r.Body))
	}
	return lines
}

// call sends one HTTP request with a JSON body and returns the status code and at most maxResponseBytes of the response
// body.
func call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, data, err
}
