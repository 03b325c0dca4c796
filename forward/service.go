package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/coordinator"
	"teaselbank.example/teaselbank/crashguard"
	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/routing"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
)

// Protocol translates the messages of callers and, as a leafconn.Protocol, those of targets.
type Protocol interface {
	leafconn.Protocol
	// Parse reads a caller's request without its body. remaining is how long the caller waits for a response.
	Parse(r *http.Request) (req *leafconn.Request, remaining time.Duration, err error)
	// CopyReplyHeader fills in the header of a response that passes on a target's reply.
	CopyReplyHeader(to http.Header, reply *leafconn.Reply)
	// SetCoverage fills in the header of a response that merges the replies of several shards: the signatures of the
	// replies, and the number of shards without one.
	SetCoverage(to http.Header, signatures []string, missing int)
}

// Options configures a Service.
type Options struct {
	VMID ident.VMID
	Zone ident.Zone
	// Regions holds the region of each zone, for routes that are limited to regions.
	Regions  map[ident.Zone]string
	Protocol Protocol
	Dialer   leafconn.Dialer
	// Extra bounds hedges and retries, and Cold the requests to cold targets; both are totals for all VMs.
	Extra site.ExtraBudget
	Cold  site.ColdBound
	// Guard may be nil.
	Guard CrashGuard
	// Report is called with the summary of each finished request; it must not block. It may be nil.
	Report func(*Summary)
	// LimitChanged is called when a target states another limit than before, in requests a second of all VMs; 0 if it no
	// longer states one. It must not block. It may be nil.
	LimitChanged func(t *topology.Target, perSecond float64)
	// TargetRests is called when a target states a time for which it wants no requests from this VM that ends later than the
	// one before. It must not block. It may be nil.
	TargetRests func(t *topology.Target, d time.Duration)
	// TargetLeaving is called when a target says for the first time that it is leaving. It must not block. It may be nil.
	TargetLeaving func(t *topology.Target)
	// CloseConnections reports whether callers should reconnect, so that the balancer gives them another VM. While it
	// reports true, responses close their connections. It may be nil.
	CloseConnections func() bool
	// Coordinators hands searches over to other VMs. It may be nil.
	Coordinators Coordinators
	// Relays sends requests to targets of other zones through VMs there. It may be nil.
	Relays Relays
	// Pace records how long this VM needs to send searches. It may be nil.
	Pace *coordinator.Pace
	// Refusing reports whether new requests are refused because the process is about to end. It may be nil.
	Refusing func() bool
}

// Service is the HTTP handler that serves callers' requests.
type Service struct {
	Options
	// Connections counts the connections to targets.
	Connections leafconn.Stats
	start       time.Time

	updateMu   sync.Mutex
	endpoints  atomic.Pointer[endpointSet]
	estimators sync.Map // routeKey to *dispatch.LatencyEstimator
	budgets    sync.Map // ident.ServiceID to *dispatch.Budget
	notices    notices
	running    atomic.Int64
	requests   atomic.Uint64
	unserved   atomic.Uint64
	refused    atomic.Uint64
	withheld   atomic.Uint64
	isolated   atomic.Bool
	// ending is done once requests must end because the process is about to; endRequests ends it.
	ending      context.Context
	endRequests context.CancelFunc
	// remoteReply is when a target of another zone last replied or accepted a probe's connection, in nanoseconds since
	// start; 0 if never.
	remoteReply atomic.Int64
}

// New returns a service without targets, which refuses requests until Update gives it a configuration.
func New(o Options) *Service {
	s := &Service{Options: o, start: time.Now()}
	s.ending, s.endRequests = context.WithCancel(context.Background())
	s.endpoints.Store(&endpointSet{snapshot: &topology.Snapshot{}})
	return s
}

// Running returns the number of requests in progress.
func (s *Service) Running() int64 { return s.running.Load() }

// Refused returns how many requests were refused because the process was about to end.
func (s *Service) Refused() uint64 { return s.refused.Load() }

// EndRequests ends the requests that are running, and at once those that start later. Their callers get a response that says
// whether the request may have run; without it the end of the process would cut them off.
func (s *Service) EndRequests() { s.endRequests() }

// Withheld returns how often a target was passed over because the limit or the rest that it states allows this VM no more
// requests.
func (s *Service) Withheld() uint64 { return s.withheld.Load() }

// Counts returns how many requests for targets have ended, and how many of them failed because too few targets served
// them or the deadline passed.
func (s *Service) Counts() (requests, unserved uint64) { return s.requests.Load(), s.unserved.Load() }

// SetIsolated sets whether the targets of other zones are out of reach. While they are, requests that need them are
// refused at once.
func (s *Service) SetIsolated(isolated bool) { s.isolated.Store(isolated) }

// LastRemoteReply returns when a target of another zone last replied or accepted a probe's connection; the zero time if
// none did.
func (s *Service) LastRemoteReply() time.Time {
	if since := s.remoteReply.Load(); since != 0 {
		return s.start.Add(time.Duration(since))
	}
	return time.Time{}
}

// probedZones is how many other zones are probed at a time: a single one that answers is enough.
const probedZones = 2

// ProbeOtherZones opens a connection to one target in each of at most probedZones other zones, and reports whether there
// was one to probe. It does not wait; a successful probe updates LastRemoteReply.
func (s *Service) ProbeOtherZones() bool {
	probed := 0
	for _, e := range s.targetsOfOtherZones() {
		if probed++; probed > probedZones {
			break
		}
		e.Pool.Probe(func(err error) {
			if err == nil {
				s.recordRemoteReply(time.Now())
			}
		})
	}
	return probed > 0
}

func (s *Service) recordRemoteReply(at time.Time) { s.remoteReply.Store(int64(at.Sub(s.start))) }

// RecordContact records that a VM of this zone had contact with another zone.
func (s *Service) RecordContact(at time.Time) {
	if at.After(s.LastRemoteReply()) {
		s.recordRemoteReply(at)
	}
}

// HasTargetsInOtherZones reports whether there is a target in another zone that may get requests.
func (s *Service) HasTargetsInOtherZones() bool { return len(s.targetsOfOtherZones()) > 0 }

// targetsOfOtherZones returns one target of each other zone that may get requests.
func (s *Service) targetsOfOtherZones() map[ident.Zone]*Endpoint {
	set, byZone := s.endpoints.Load(), map[ident.Zone]*Endpoint{}
	for _, list := range set.byService {
		for _, e := range list {
			if !e.local && e.Target.LeavingSince.IsZero() && !set.snapshot.ZonesOut[e.Target.Zone] {
				byZone[e.Target.Zone] = e
			}
		}
	}
	return byZone
}

// LocalTargetsSuffice reports whether the usable targets of this VM's zone alone can reach the minimum coverage of
// every scatter route. It returns true while there is no configuration.
func (s *Service) LocalTargetsSuffice(now time.Time) bool {
	set := s.endpoints.Load()
	if set.snapshot.Table == nil {
		return true
	}
	covered := map[ident.ServiceID]bool{}
	for service, list := range set.byService {
		covered[service] = slices.ContainsFunc(list, func(e *Endpoint) bool {
			return e.local && e.Target.LeavingSince.IsZero() && !e.Tracker.Load(now).Down
		})
	}
	return set.snapshot.Table.AllScatterRoutes(func(r *routing.Route) bool {
		n := 0
		for _, shard := range r.Shards {
			if covered[shard] {
				n++
			}
		}
		return n >= r.MinShards()
	})
}

// routeKey identifies a route across versions of the configuration.
type routeKey struct{ host, prefix string }

// estimator returns the latency estimator of a route, which is kept across versions of the configuration.
func (s *Service) estimator(r *routing.Route) *dispatch.LatencyEstimator {
	key := routeKey{r.Host, r.Prefix}
	if e, ok := s.estimators.Load(key); ok {
		return e.(*dispatch.LatencyEstimator)
	}
	e, _ := s.estimators.LoadOrStore(key, dispatch.NewLatencyEstimator(r.Objective))
	return e.(*dispatch.LatencyEstimator)
}

// budget returns the budget of extra sends of a service.
func (s *Service) budget(id ident.ServiceID) *dispatch.Budget {
	if b, ok := s.budgets.Load(id); ok {
		return b.(*dispatch.Budget)
	}
	b, _ := s.budgets.LoadOrStore(id, dispatch.NewBudget(s.Extra.Ratio, s.Extra.Slack, s.Extra.Window))
	return b.(*dispatch.Budget)
}

// ServeHTTP serves one request of a caller. It panics with http.ErrAbortHandler if the caller has left.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.CloseConnections != nil && s.CloseConnections() {
		w.Header().Set("Connection", "close")
	}
	set := s.endpoints.Load()
	sum := &Summary{Arrived: arrived, Revision: set.snapshot.Revision}
	defer s.report(sum)
	req, remaining, err := s.Protocol.Parse(r)
	if err != nil {
		sum.refuse(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	sum.ID = req.ID
	if s.refuseStopping(w, sum) {
		return
	}
	table := set.snapshot.Table
	if table == nil {
		sum.refuse(w, http.StatusServiceUnavailable, "no configuration is known yet", retryUnconfigured)
		return
	}
	sum.Version = table.Version
	route := table.Lookup(r.Host, req.Path())
	if route == nil {
		sum.refuse(w, http.StatusNotFound, "no route has this host and path", 0)
		return
	}
	sum.Route = route.Name
	if route.Timeout > 0 && route.Timeout < remaining {
		remaining = route.Timeout
	}
	req.Deadline = arrived.Add(remaining)
	if status, err := readBody(w, r, req, table.Limits.MaxBodyBytes); err != nil {
		sum.refuse(w, status, err.Error(), 0)
		return
	}
	// The body may have taken long to arrive.
	if s.refuseStopping(w, sum) {
		return
	}
	s.serve(r.Context(), w, set, route, req, sum)
}

// refuseStopping refuses a request if the process is about to end, and reports whether it did.
func (s *Service) refuseStopping(w http.ResponseWriter, sum *Summary) bool {
	if s.Refusing == nil || !s.Refusing() {
		return false
	}
	s.refused.Add(1)
	w.Header().Set("Connection", "close")
	sum.refuse(w, http.StatusServiceUnavailable, "this VM is stopping", retryStopping)
	return true
}

// Values of Retry-After.
const (
	retryUnconfigured = 300 * time.Millisecond
	retryNoTarget     = 250 * time.Millisecond
	retryQuarantined  = time.Minute
	// retryStopping is short because another VM takes the request.
	retryStopping = 10 * time.Millisecond
	// retrySpread is the largest part of a value that is added at random, so that callers do not retry all at once.
	retrySpread = 0.5
)

// readBody reads the whole body, so that it can be resent and a caller that stalls can't cut a send short. On an error
// it returns the status of the response.
func readBody(w http.ResponseWriter, r *http.Request, req *leafconn.Request, limit int64) (status int, err error) {
	if r.Body == nil || r.Body == http.NoBody {
		return 0, nil
	}
	body := io.Reader(r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, r.Body, limit)
	}
	req.Body, err = io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, err
	case err != nil:
		return http.StatusBadRequest, err
	}
	return 0, nil
}

// serve sends a request to targets of its route and writes the response.
func (s *Service) serve(ctx context.Context, w http.ResponseWriter, set *endpointSet, route *routing.Route, req *leafconn.Request, sum *Summary) {
	var f crashguard.Fingerprint
	if s.Guard != nil {
		if f = fingerprint(req); s.Guard.Refused(f) {
			sum.refuse(w, http.StatusServiceUnavailable, "the request crashed several targets", retryQuarantined)
			return
		}
	}
	if route.IsScatter() {
		s.serveSearch(ctx, w, set, route, req, f, sum)
		return
	}
	j := s.newJob(set, route, req, sum.Arrived, dispatch.AnswerBy(sum.Arrived, route.Objective))
	reason := s.runJob(ctx, j, f, sum)
	reply := j.units[0].finalReply()
	switch {
	case reason == endCallerLeft:
		// The caller has left, so there is nobody to send a response to; only close the connection.
		panic(http.ErrAbortHandler)
	case reply != nil:
		s.writeReply(w, reply, sum)
	default:
		status, wait := j.failureStatus(reason)
		sum.refuse(w, status, j.explain(reason, time.Now()), wait)
	}
}

// runJob runs a job, and records its result in the summary, the counters and the crash guard.
func (s *Service) runJob(ctx context.Context, j *job, f crashguard.Fingerprint, sum *Summary) endReason {
	reason := j.run(ctx)
	sum.fill(j, reason)
	s.reportToGuard(j, f, reason)
	s.countRequest(reason == endFailed || reason == endDeadline)
	return reason
}

func (s *Service) countRequest(unserved bool) {
	s.requests.Add(1)
	if unserved {
		s.unserved.Add(1)
	}
}

// failureStatus returns the status of a response to a request that was not served, and the time after which the caller
// may retry; 0 if none is stated.
func (j *job) failureStatus(reason endReason) (status int, wait time.Duration) {
	switch {
	case !j.mayHaveRun() && reason == endStopping:
		return http.StatusServiceUnavailable, retryStopping
	case !j.mayHaveRun():
		return http.StatusServiceUnavailable, max(retryNoTarget, j.restWait(time.Now()))
	case reason == endDeadline:
		return http.StatusGatewayTimeout, 0
	}
	return http.StatusBadGateway, 0
}

// writeReply passes a target's reply on to the caller.
func (s *Service) writeReply(w http.ResponseWriter, reply *leafconn.Reply, sum *Summary) {
	h := w.Header()
	s.Protocol.CopyReplyHeader(h, reply)
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	sum.Status = reply.Status
	w.WriteHeader(reply.Status)
	_, sum.WriteErr = w.Write(reply.Body)
}

// refuse responds with a status of this VM's own. A positive wait, lengthened at random, is sent as Retry-After.
func (sum *Summary) refuse(w http.ResponseWriter, status int, reason string, wait time.Duration) {
	sum.Status, sum.Reason = status, reason
	h := w.Header()
	if wait > 0 {
		spread := time.Duration(float64(wait) * retrySpread * rand.Float64())
		h.Set("Retry-After", strconv.FormatFloat((wait+spread).Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, sum.WriteErr = io.WriteString(w, reason+"\n")
}

func (s *Service) report(sum *Summary) {
	sum.Took = time.Since(sum.Arrived)
	if s.Report != nil {
		s.Report(sum)
	}
}
