package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/plugin/callerapi"
)

// Load is a closed-loop load of searches on a fleet, spread over the daemons that a simulated load balancer finds
// ready.
type Load struct {
	Service ident.ServiceID
	// Workers is the maximum number of concurrent searches. Each worker starts its searches at least Interval apart.
	Workers  int
	Interval time.Duration
	// DeadlineMillis is the deadline of each search in milliseconds.
	DeadlineMillis int
}

// LoadResult counts the searches of a load by outcome.
type LoadResult struct {
	Sent     int
	Complete int
	Partial  int
	NotRun   int
	// Unknown counts responses with an unknown outcome or any other than those above.
	Unknown int
	// CutOff counts searches that ended without a valid response.
	CutOff int
	// Latencies holds the duration of each search as seen by the caller, including those cut off.
	Latencies []time.Duration
}

// CompleteShare returns the share of searches with a complete response, from 0 to 1; it is 0 if none were sent.
func (r *LoadResult) CompleteShare() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.Complete) / float64(r.Sent)
}

// balancer distributes requests over ready daemons in turn. Like a real load balancer it sees a change in readiness
// only at its next check.
type balancer struct {
	ready atomic.Pointer[[]*Daemon]
	next  atomic.Uint64
}

// balancerInterval is the time between two readiness checks. The daemons' --balancer-delay must be longer, or requests
// would still be sent to a daemon that has stopped accepting them.
const balancerInterval = 50 * time.Millisecond

// run checks the readiness of the daemons until ctx ends.
func (b *balancer) run(ctx context.Context, daemons []*Daemon) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		ready := readyDaemons(daemons)
		b.ready.Store(&ready)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readyDaemons returns the daemons that are ready. It checks all of them concurrently, so that a frozen one does not
// delay the checks of the others; the result waits for the slowest check, up to readinessTimeout.
func readyDaemons(daemons []*Daemon) []*Daemon {
	isReady := make([]bool, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Go(func() { isReady[i] = d.Ready() })
	}
	wg.Wait()
	var ready []*Daemon
	for i, d := range daemons {
		if isReady[i] {
			ready = append(ready, d)
		}
	}
	return ready
}

// pick returns the next ready daemon, or nil if none is ready.
func (b *balancer) pick() *Daemon {
	ready := b.ready.Load()
	if ready == nil || len(*ready) == 0 {
		return nil
	}
	return (*ready)[b.next.Add(1)%uint64(len(*ready))]
}

// Run sends searches to the fleet until the context ends, waits for those in flight and returns the counts.
func (l Load) Run(ctx context.Context, f *Fleet) LoadResult {
	b := &balancer{}
	var wg sync.WaitGroup
	wg.Go(func() { b.run(ctx, f.Daemons) })
	results := make([]LoadResult, l.Workers)
	for i := range l.Workers {
		wg.Go(func() { l.worker(ctx, b, &results[i]) })
	}
	wg.Wait()
	var total LoadResult
	for _, r := range results {
		total.add(r)
	}
	return total
}

func (r *LoadResult) add(o LoadResult) {
	r.Sent += o.Sent
	r.Complete += o.Complete
	r.Partial += o.Partial
	r.NotRun += o.NotRun
	r.Unknown += o.Unknown
	r.CutOff += o.CutOff
	r.Latencies = append(r.Latencies, o.Latencies...)
}

func (l Load) worker(ctx context.Context, b *balancer, r *LoadResult) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(l.Interval)
		if d := b.pick(); d != nil {
			l.sendSearch(d, r)
		}
	}
}

// sendSearch sends one search and adds its outcome to r. It does not use the load's context, so that a search in flight
// at the end of the load is completed rather than cut off.
func (l Load) sendSearch(d *Daemon, r *LoadResult) {
	r.Sent++
	start := time.Now()
	var resp callerapi.SearchResponse
	request := callerapi.SearchRequest{Service: string(l.Service), Query: json.RawMessage(`{"bunker":"Vulcan 2"}`),
		DeadlineMillis: l.DeadlineMillis}
	_, err := Post(context.Background(), "http://"+d.CallerAddress+"/v1/search", request, &resp)
	r.Latencies = append(r.Latencies, time.Since(start))
	switch {
	case err != nil:
		r.CutOff++
	case resp.Outcome == "complete":
		r.Complete++
	case resp.Outcome == "partial":
		r.Partial++
	case resp.Outcome == "not_run":
		r.NotRun++
	default:
		r.Unknown++
	}
}
