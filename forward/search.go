package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"teaselbank.example/teaselbank/crashguard"
	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/routing"
)

// Search is a search that one VM hands over to another.
type Search struct {
	// Request is the caller's request with its deadline.
	Request *leafconn.Request
	// Arrived is when the caller's request arrived at the entry VM, and AnswerBy when its response is due there.
	Arrived, AnswerBy time.Time
	// Version is the version of the configuration by which the entry VM routes.
	Version uint64
	// Entry is the VM that received the caller's request.
	Entry ident.VMID
}

// SearchReply is the response to a search: the merged replies of its shards, or why it was not served.
type SearchReply struct {
	// Status is the HTTP status of the response. If it is not 200, Reason says why, RetryAfter is the time after which the
	// caller may retry, 0 if none is stated, and the other fields are not set.
	Status     int
	Reason     string
	RetryAfter time.Duration
	// Signatures are those of the replies that the response covers, Missing is the number of the other shards.
	Signatures []string
	Missing    int
	Body       []byte
	// Coordinator is the VM that ran the search.
	Coordinator ident.VMID
}

// Errors of handing a search over. After ErrNotStarted no target has the search; after any other error some may have run
// it.
var (
	ErrNotStarted = errors.New("no coordinator started the search")
	errStopping   = errors.New("this VM is stopping")
	errVersion    = errors.New("this VM has another version of the configuration")
	errNoSearch   = errors.New("no route over shards has this host and path")
)

// NewerVersionError says that no coordinator started a search because they route by a newer version of the configuration
// than this VM.
type NewerVersionError struct{ Version uint64 }

// Error states the version.
func (e *NewerVersionError) Error() string {
	return fmt.Sprintf("the coordinators have version %d of the configuration", e.Version)
}

// Unwrap returns ErrNotStarted.
func (e *NewerVersionError) Unwrap() error { return ErrNotStarted }

// Coordinators hands searches over to other VMs.
type Coordinators interface {
	// Run has another VM run a search and returns its reply. If no VM does, it returns ErrNotStarted.
	Run(ctx context.Context, s *Search) (*SearchReply, error)
}

// serveSearch has a coordinator run a search, or runs it on this VM if none does, and writes the response.
func (s *Service) serveSearch(ctx context.Context, w http.ResponseWriter, set *endpointSet, route *routing.Route, req *leafconn.Request, f crashguard.Fingerprint, sum *Summary) {
	reply, newer := s.handOver(ctx, route, req, sum)
	if newer > 0 {
		if next, nextRoute := s.awaitVersion(ctx, newer, req); nextRoute != nil {
			set, route, sum.Version, sum.Revision = next, nextRoute, nextRoute.Version, next.snapshot.Revision
			reply, _ = s.handOver(ctx, route, req, sum)
		}
	}
	if reply == nil {
		j := s.newJob(set, route, req, sum.Arrived, dispatch.AnswerBy(sum.Arrived, route.Objective))
		reply = s.runSearch(ctx, j, f, sum)
	}
	switch {
	case sum.CallerLeft:
		panic(http.ErrAbortHandler)
	case reply.Status == http.StatusOK:
		s.writeSearchReply(w, reply, sum)
	default:
		sum.refuse(w, reply.Status, reply.Reason, reply.RetryAfter)
	}
}

// Waiting for a version of the configuration that the coordinators have already. It reaches all VMs of a zone within a
// fraction of a second. A small VM that runs a search itself meanwhile, under a set of shards that it has no connections
// to, takes longer.
const (
	versionWait = 80 * time.Millisecond
	versionPoll = 4 * time.Millisecond
)

// awaitVersion waits until this VM routes by a version of the configuration, or a newer one, and returns its targets and
// the route over shards that this version has for the request. It returns a nil route if there is none or versionWait has
// passed.
func (s *Service) awaitVersion(ctx context.Context, version uint64, req *leafconn.Request) (*endpointSet, *routing.Route) {
	ctx, cancel := context.WithTimeout(ctx, versionWait)
	defer cancel()
	ticker := time.NewTicker(versionPoll)
	defer ticker.Stop()
	for {
		set := s.endpoints.Load()
		if table := set.snapshot.Table; table != nil && table.Version >= version {
			if route := table.Lookup(req.Host, req.Path()); route != nil && route.IsScatter() {
				return set, route
			}
			return nil, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// handOver has a coordinator run a search. It returns no reply if the search was not started, and then this VM must run
// it; newer is the version of the configuration that the coordinators have if that is why, and 0 otherwise.
func (s *Service) handOver(ctx context.Context, route *routing.Route, req *leafconn.Request, sum *Summary) (reply *SearchReply, newer uint64) {
	if s.Coordinators == nil {
		return nil, 0
	}
	answerBy := dispatch.AnswerBy(sum.Arrived, route.Objective)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ending, cancel)()
	reply, err := s.Coordinators.Run(callCtx, &Search{Request: req, Arrived: sum.Arrived, AnswerBy: answerBy, Version: sum.Version, Entry: s.VMID})
	if errors.Is(err, ErrNotStarted) && ctx.Err() == nil {
		var other *NewerVersionError
		if errors.As(err, &other) {
			return nil, other.Version
		}
		return nil, 0
	}
	sum.Shards, sum.MaxTargets = len(route.Shards), route.MaxTargets
	sum.Late = time.Now().After(answerBy.Add(time.Millisecond))
	sum.CallerLeft = ctx.Err() != nil
	switch {
	case err == nil:
		sum.Coordinator = reply.Coordinator
	case !time.Now().Before(req.Deadline):
		reply = &SearchReply{Status: http.StatusGatewayTimeout, Reason: endDeadline.String()}
	case s.ending.Err() != nil:
		reply = &SearchReply{Status: http.StatusBadGateway, Reason: endStopping.String()}
	default:
		reply = &SearchReply{Status: http.StatusBadGateway, Reason: err.Error()}
	}
	s.countRequest(reply.Status != http.StatusOK && !sum.CallerLeft)
	return reply, 0
}

// RunSearch runs a search as the coordinator of another VM. Any error means that the search was not started.
func (s *Service) RunSearch(ctx context.Context, search *Search) (*SearchReply, error) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.Refusing != nil && s.Refusing() {
		return nil, errStopping
	}
	set, req := s.endpoints.Load(), search.Request
	table := set.snapshot.Table
	if table == nil || table.Version != search.Version {
		return nil, fmt.Errorf("%w: %d, the entry VM has %d", errVersion, s.ConfigurationVersion(), search.Version)
	}
	route := table.Lookup(req.Host, req.Path())
	if route == nil || !route.IsScatter() {
		return nil, fmt.Errorf("%w: %s%s", errNoSearch, req.Host, req.Path())
	}
	sum := &Summary{ID: req.ID, Route: route.Name, Arrived: search.Arrived, Version: table.Version, Revision: set.snapshot.Revision, Entry: search.Entry}
	defer s.report(sum)
	var f crashguard.Fingerprint
	if s.Guard != nil {
		f = fingerprint(req)
	}
	j := s.newJob(set, route, req, search.Arrived, dispatch.AnswerByAtCoordinator(search.Arrived, route.Objective))
	reply := s.runSearch(ctx, j, f, sum)
	sum.Status, sum.Reason = reply.Status, reply.Reason
	return reply, nil
}

// ConfigurationVersion returns the version of the configuration by which this VM routes; 0 if it has none.
func (s *Service) ConfigurationVersion() uint64 {
	if table := s.endpoints.Load().snapshot.Table; table != nil {
		return table.Version
	}
	return 0
}

// runSearch runs the job of a search on this VM.
func (s *Service) runSearch(ctx context.Context, j *job, f crashguard.Fingerprint, sum *Summary) *SearchReply {
	reason := s.runJob(ctx, j, f, sum)
	if reason != endAnswered {
		status, wait := j.failureStatus(reason)
		return &SearchReply{Status: status, Reason: j.explain(reason, time.Now()), RetryAfter: wait, Coordinator: s.VMID}
	}
	return j.merge()
}

// merge merges the shards' replies.
func (j *job) merge() *SearchReply {
	top, reply := newTopRecords(j.route.TopRecords), &SearchReply{Status: http.StatusOK, Coordinator: j.s.VMID}
	for i := range j.units {
		if r := j.units[i].reply; r != nil {
			top.add(r.Body)
			reply.Signatures = append(reply.Signatures, r.Signature)
		}
	}
	reply.Body, reply.Missing = top.sorted(), len(j.units)-len(reply.Signatures)
	return reply
}

// writeSearchReply writes the response to a search that was served.
func (s *Service) writeSearchReply(w http.ResponseWriter, reply *SearchReply, sum *Summary) {
	h := w.Header()
	s.Protocol.SetCoverage(h, reply.Signatures, reply.Missing)
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	sum.Status, sum.Covered = http.StatusOK, len(reply.Signatures)
	w.WriteHeader(http.StatusOK)
	_, sum.WriteErr = w.Write(reply.Body)
}
