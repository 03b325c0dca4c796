// Package target implements a small stand-in for a target. It holds snapshots, runs a bounded number of requests
// concurrently, starts cold, sheds load, drains, honours deadlines and cancellation, and reports draining in its health
// with a delay.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/targetclient"
)

// Options describe one stand-in target.
type Options struct {
	ID string
	// Snapshots are the IDs of the snapshots that the target holds, from oldest to newest.
	Snapshots []string
	// Slots is the number of requests that run concurrently; the target sheds further ones.
	Slots int
	// ColdSlots is the number of requests that may run concurrently while the target is cold. A further request makes
	// it fail for ColdFailure.
	ColdSlots int
	// ColdRequests is the number of requests that must finish before the target is warm; with 0 it starts warm.
	ColdRequests int
	// ColdFailure is how long the target closes the connection of each new request without a reply after a request
	// above ColdSlots arrived while it was cold.
	ColdFailure time.Duration
	// ServiceTime is the processing time of one request. A StragglerShare of the requests, from 0 to 1 and chosen at
	// random, takes StragglerFactor times as long.
	ServiceTime     time.Duration
	StragglerShare  float64
	StragglerFactor float64
	// CrashOn, if not empty, is a text that crashes the target when a query contains it: the connections of all running
	// requests are closed without a reply, and a new incarnation starts at once.
	CrashOn string
	// HealthLag is the time from the start of draining until the health endpoint reports it.
	HealthLag time.Duration
}

// Target is a stand-in target. It is safe for concurrent use.
type Target struct {
	options Options

	mu          sync.Mutex
	incarnation string
	snapshots   []string
	running     int
	maxRunning  int
	// warmupCount is the number of requests that finished since the last restart.
	warmupCount int
	draining    bool
	// failedUntil is the end of the last failure after an overload while cold.
	failedUntil    time.Time
	drainChangedAt time.Time
	// cancels holds the cancel function of each request running in this incarnation, by request ID.
	cancels map[string]context.CancelFunc
	stats   Stats
}

// Stats counts the leaf requests of a stand-in target, summed over its incarnations.
type Stats struct {
	// Started counts requests that took a slot; each ends as Finished or, without a reply, as Cancelled.
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	// Shed counts requests refused because all slots were taken.
	Shed int `json:"shed"`
	// MaxRunning is the largest number of requests that ran concurrently; Overfull counts requests that arrived while
	// all slots were taken.
	MaxRunning int `json:"max_running"`
	Overfull   int `json:"overfull"`
	// ColdOverload counts requests that arrived while the target was cold and ColdSlots requests were running.
	ColdOverload int `json:"cold_overload"`
	// Crashes counts requests that crashed the target.
	Crashes int `json:"crashes"`
	// NonIdempotent counts how often each non-idempotent query was started, by the text of the query.
	NonIdempotent map[string]int `json:"non_idempotent"`
}

// New returns a stand-in target in its first incarnation.
func New(o Options) *Target {
	t := &Target{options: o, snapshots: o.Snapshots}
	t.Restart()
	return t
}

// Restart starts a new incarnation, which is cold if ColdRequests is above 0. Running requests continue, but can no
// longer be cancelled by request ID.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnation = ident.NewIncarnation(time.Now()).String()
	t.warmupCount = 0
	t.cancels = map[string]context.CancelFunc{}
	if t.stats.NonIdempotent == nil {
		t.stats.NonIdempotent = map[string]int{}
	}
}

// SetSnapshots replaces the IDs of the snapshots that the target holds.
func (t *Target) SetSnapshots(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots = slices.Clone(ids)
}

// SetDraining sets whether the target refuses new requests with RefusedDraining.
func (t *Target) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining, t.drainChangedAt = draining, time.Now()
}

// Stats returns a copy of the counters.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.MaxRunning, s.NonIdempotent = t.maxRunning, maps.Clone(t.stats.NonIdempotent)
	return s
}

// Handler returns the handler of the target protocol and of an administration API for tests.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetclient.LeafPath, t.leaf)
	mux.HandleFunc("POST "+targetclient.CancelPath, t.cancel)
	mux.HandleFunc("GET /health", t.health)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, t.Stats()) })
	mux.HandleFunc("POST /admin/drain", func(http.ResponseWriter, *http.Request) { t.SetDraining(true) })
	mux.HandleFunc("POST /admin/restart", func(http.ResponseWriter, *http.Request) { t.Restart() })
	mux.HandleFunc("POST /admin/snapshots", t.adminSnapshots)
	return mux
}

// leaf handles one leaf request.
func (t *Target) leaf(w http.ResponseWriter, r *http.Request) {
	var req targetclient.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(req.RemainingMicros)*time.Microsecond)
	defer cancel()
	reply := targetclient.Reply{RequestID: req.RequestID, Shard: req.Shard, Snapshot: req.Snapshot}
	if refusal := t.begin(&req, &reply, cancel); refusal != "" {
		reply.Refused = refusal
		writeJSON(w, http.StatusServiceUnavailable, reply)
		return
	}
	if t.options.CrashOn != "" && bytes.Contains(req.Query, []byte(t.options.CrashOn)) {
		t.crash(&req)
	}
	start := time.Now()
	err := t.simulateWork(ctx)
	t.end(&req, err)
	if err != nil {
		// The request was cancelled or its deadline passed. Returning would send an empty reply with status 200, so the
		// connection is closed instead.
		panic(http.ErrAbortHandler)
	}
	reply.ServiceMicros = time.Since(start).Microseconds()
	reply.Body, _ = json.Marshal(map[string]any{"target": t.options.ID, "shard": req.Shard, "query": req.Query})
	writeJSON(w, http.StatusOK, reply)
}

// crash cancels all running requests, starts a new incarnation and closes the connection of the request. It does not
// return.
func (t *Target) crash(req *targetclient.Request) {
	t.end(req, context.Canceled)
	t.mu.Lock()
	t.stats.Crashes++
	cancels := t.cancels
	t.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	t.Restart()
	panic(http.ErrAbortHandler)
}

// begin takes a slot for the request, or returns why the request is refused without being run. While the target fails
// because it was overloaded when cold, begin closes the connection without a reply.
func (t *Target) begin(req *targetclient.Request, reply *targetclient.Reply, cancel context.CancelFunc) targetclient.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply.Incarnation, reply.Held = t.incarnation, slices.Clone(t.snapshots)
	if time.Now().Before(t.failedUntil) {
		panic(http.ErrAbortHandler)
	}
	switch {
	case t.draining:
		return targetclient.RefusedDraining
	case req.RemainingMicros <= 0:
		return targetclient.RefusedDeadline
	case !slices.Contains(t.snapshots, req.Snapshot):
		return targetclient.RefusedSnapshot
	}
	if t.cold() && t.running >= t.options.ColdSlots {
		t.stats.ColdOverload++
		t.failedUntil = time.Now().Add(t.options.ColdFailure)
	}
	if t.running >= t.options.Slots {
		t.stats.Overfull++
		t.stats.Shed++
		return targetclient.RefusedShed
	}
	t.running++
	t.maxRunning = max(t.maxRunning, t.running)
	t.stats.Started++
	t.cancels[req.RequestID] = cancel
	if req.NonIdempotent {
		t.stats.NonIdempotent[string(req.Query)]++
	}
	return ""
}

// end releases the request's slot. err is nil if the request finished, and the cause if it was cancelled.
func (t *Target) end(req *targetclient.Request, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	delete(t.cancels, req.RequestID)
	if err != nil {
		t.stats.Cancelled++
		return
	}
	t.stats.Finished++
	t.warmupCount++
}

func (t *Target) cold() bool { return t.warmupCount < t.options.ColdRequests }

// simulateWork waits for the request's processing time, or returns the context's error if the context ends first.
func (t *Target) simulateWork(ctx context.Context) error {
	d := t.options.ServiceTime
	if rand.Float64() < t.options.StragglerShare {
		d = time.Duration(float64(d) * t.options.StragglerFactor)
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cancel handles the cancellation of a running request by its request ID. Unknown request IDs are ignored.
func (t *Target) cancel(w http.ResponseWriter, r *http.Request) {
	var req targetclient.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	cancel := t.cancels[req.RequestID]
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// health returns status 503 once the target has been draining for HealthLag, and 200 otherwise.
func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	reportDraining := t.draining && time.Since(t.drainChangedAt) >= t.options.HealthLag
	t.mu.Unlock()
	if reportDraining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// adminSnapshots replaces the snapshots held by those of the request body, a JSON list of IDs.
func (t *Target) adminSnapshots(w http.ResponseWriter, r *http.Request) {
	var ids []string
	if err := json.NewDecoder(r.Body).Decode(&ids); err != nil || len(ids) == 0 {
		http.Error(w, errors.Join(errors.New("request body is not a list of snapshot IDs"), err).Error(), http.StatusBadRequest)
		return
	}
	t.SetSnapshots(ids)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
