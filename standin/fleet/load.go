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

// Load is a bounded closed-loop load on a fleet, spread over the daemons that a balancer finds ready.
type Load struct {
	Service ident.ServiceID
	// Workers is how many searches run at once; Pause is the time between two of one worker.
	Workers        int
	Pause          time.Duration
	DeadlineMillis int
}

// LoadResult counts the outcomes of a load.
type LoadResult struct {
	Sent     int
	Complete int
	Partial  int
	NotRun   int
	Unknown  int
	// CutOff counts requests that ended without any answer.
	CutOff int
	// Latencies holds the time of each search as its caller saw it.
	Latencies []time.Duration
}

// CompleteShare returns the share of searches that were answered in full.
func (r *LoadResult) CompleteShare() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.Complete) / float64(r.Sent)
}

// balancer spreads requests over ready daemons; it notices a change only at its next check, as a real one does.
type balancer struct {
	ready atomic.Pointer[[]*Daemon]
	next  atomic.Uint64
}

// balancerInterval is how often readiness is checked; a daemon's balancer delay must be longer.
const balancerInterval = 50 * time.Millisecond

func (b *balancer) run(ctx context.Context, daemons []*Daemon) {
	ticker := time.NewTicker(balancerInterval)
	defer ticker.Stop()
	for {
		ready := readyOf(daemons)
		b.ready.Store(&ready)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readyOf checks all daemons at once, so that a frozen one does not delay the check of the others.
func readyOf(daemons []*Daemon) []*Daemon {
	answers := make([]bool, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Go(func() { answers[i] = d.Ready() })
	}
	wg.Wait()
	var ready []*Daemon
	for i, d := range daemons {
		if answers[i] {
			ready = append(ready, d)
		}
	}
	return ready
}

func (b *balancer) pick() *Daemon {
	ready := b.ready.Load()
	if ready == nil || len(*ready) == 0 {
		return nil
	}
	return (*ready)[b.next.Add(1)%uint64(len(*ready))]
}

// Run sends searches until the context ends and returns the counts.
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
		timer.Reset(l.Pause)
		if d := b.pick(); d != nil {
			l.one(d, r)
		}
	}
}

// one sends one search. It does not end with the load's context: a search that was sent is waited for.
func (l Load) one(d *Daemon, r *LoadResult) {
	r.Sent++
	start := time.Now()
	var answer callerapi.SearchResponse
	request := callerapi.SearchRequest{Service: string(l.Service), Query: json.RawMessage(`{"bunker":"Vulcan 2"}`),
		DeadlineMillis: l.DeadlineMillis}
	_, err := Post(context.Background(), "http://"+d.Caller+"/v1/search", request, &answer)
	r.Latencies = append(r.Latencies, time.Since(start))
	switch {
	case err != nil:
		r.CutOff++
	case answer.Outcome == "complete":
		r.Complete++
	case answer.Outcome == "partial":
		r.Partial++
	case answer.Outcome == "not_run":
		r.NotRun++
	default:
		r.Unknown++
	}
}
