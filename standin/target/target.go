// Package target is a small stand-in for a served target: it holds snapshots, runs a bounded number of requests at
// once, starts cold, sheds, drains, honours deadlines and cancellation, and reports a health that lags.
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
	ID        string
	Snapshots []string
	Slots     int
	// ColdSlots is how many requests it bears while cold; above them it falls over for ColdFailure.
	ColdSlots int
	// ColdRequests is how many requests warm it up; 0 means that it starts warm.
	ColdRequests int
	// ColdFailure is how long it answers nothing after more than ColdSlots ran at once while cold.
	ColdFailure time.Duration
	// ServiceTime is the time of one request; StragglerShare of them take StragglerFactor times as long.
	ServiceTime     time.Duration
	StragglerShare  float64
	StragglerFactor float64
	// CrashOn is a text; a query that contains it crashes the target: every connection breaks, and a new incarnation
	// starts at once. Empty for none.
	CrashOn string
	// HealthLag delays what the health endpoint says.
	HealthLag time.Duration
}

// Target is a running stand-in.
type Target struct {
	options Options

	mu          sync.Mutex
	incarnation string
	snapshots   []string
	running     int
	maxRunning  int
	warmth      int
	draining    bool
	failedUntil time.Time
	drainedAt   time.Time
	requests    map[string]context.CancelFunc
	stats       Stats
}

// Stats counts what the stand-in saw.
type Stats struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Shed      int `json:"shed"`
	// MaxRunning is the most requests that ran at once; Overfull counts arrivals above the slots.
	MaxRunning int `json:"max_running"`
	Overfull   int `json:"overfull"`
	// ColdOverload counts arrivals above ColdSlots while cold.
	ColdOverload int `json:"cold_overload"`
	// Crashes counts requests that crashed the target.
	Crashes int `json:"crashes"`
	// NonIdempotent counts the runs of each non-idempotent query.
	NonIdempotent map[string]int `json:"non_idempotent"`
}

// New returns a stand-in in its first incarnation.
func New(o Options) *Target {
	t := &Target{options: o, snapshots: o.Snapshots}
	t.Restart()
	return t
}

// Restart begins a new incarnation, cold if the options say so.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnation = ident.NewIncarnation(time.Now()).String()
	t.warmth = 0
	t.requests = map[string]context.CancelFunc{}
	if t.stats.NonIdempotent == nil {
		t.stats.NonIdempotent = map[string]int{}
	}
}

// SetSnapshots replaces the snapshots the target holds.
func (t *Target) SetSnapshots(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots = slices.Clone(ids)
}

// SetDraining makes the target refuse new requests, or accept them again.
func (t *Target) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining, t.drainedAt = draining, time.Now()
}

// Stats returns a copy of the counters.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.MaxRunning, s.NonIdempotent = t.maxRunning, maps.Clone(t.stats.NonIdempotent)
	return s
}

// Handler serves the target's protocol and an administration interface for tests.
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

func (t *Target) leaf(w http.ResponseWriter, r *http.Request) {
	var req targetclient.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(req.RemainingMicros)*time.Microsecond)
	defer cancel()
	reply := targetclient.Reply{RequestID: req.RequestID, Shard: req.Shard, Snapshot: req.Snapshot}
	if refused := t.begin(&req, &reply, cancel); refused != "" {
		reply.Refused = refused
		writeJSON(w, http.StatusServiceUnavailable, reply)
		return
	}
	if t.options.CrashOn != "" && bytes.Contains(req.Query, []byte(t.options.CrashOn)) {
		t.crash(&req)
	}
	start := time.Now()
	err := t.work(ctx)
	t.end(&req, err)
	if err != nil {
		// The caller has given up; a hijacked close tells apart a cut-off reply from an empty one.
		panic(http.ErrAbortHandler)
	}
	reply.ServiceMicros = time.Since(start).Microseconds()
	reply.Body, _ = json.Marshal(map[string]any{"target": t.options.ID, "shard": req.Shard, "query": req.Query})
	writeJSON(w, http.StatusOK, reply)
}

// crash breaks the connection of the request and begins a new incarnation.
func (t *Target) crash(req *targetclient.Request) {
	t.end(req, context.Canceled)
	t.mu.Lock()
	t.stats.Crashes++
	running := t.requests
	t.mu.Unlock()
	for _, stop := range running {
		stop()
	}
	t.Restart()
	panic(http.ErrAbortHandler)
}

// begin takes a slot, or says why the request is refused before running.
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
	t.requests[req.RequestID] = cancel
	if req.NonIdempotent {
		t.stats.NonIdempotent[string(req.Query)]++
	}
	return ""
}

func (t *Target) end(req *targetclient.Request, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	delete(t.requests, req.RequestID)
	if err != nil {
		t.stats.Cancelled++
		return
	}
	t.stats.Finished++
	t.warmth++
}

func (t *Target) cold() bool { return t.warmth < t.options.ColdRequests }

func (t *Target) work(ctx context.Context) error {
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

func (t *Target) cancel(w http.ResponseWriter, r *http.Request) {
	var req targetclient.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	stop := t.requests[req.RequestID]
	t.mu.Unlock()
	if stop != nil {
		stop()
	}
	w.WriteHeader(http.StatusNoContent)
}

// health lags: it says what was true HealthLag ago.
func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	drained := t.draining && time.Since(t.drainedAt) >= t.options.HealthLag
	t.mu.Unlock()
	if drained {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (t *Target) adminSnapshots(w http.ResponseWriter, r *http.Request) {
	var ids []string
	if err := json.NewDecoder(r.Body).Decode(&ids); err != nil || len(ids) == 0 {
		http.Error(w, errors.Join(errors.New("want a list of snapshot ids"), err).Error(), http.StatusBadRequest)
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
