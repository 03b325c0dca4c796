package searchbench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/hedge"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
	"teaselbank.example/teaselbank/search"
	"teaselbank.example/teaselbank/snapshot"
)

// Parameters of the simulated fleet. Service times are log-normal around the median; the design document assumes 1.2
// to 3.5 ms per leaf request. The link delays are those of the Valea Jiului deployment.
const (
	fleetService    ident.ServiceID  = "subventii"
	fleetSnapshot   ident.SnapshotID = "s1"
	medianService                    = 3 * time.Millisecond
	serviceSigma                     = 0.2
	stragglerFactor                  = 20
	zoneDelay                        = 4 * time.Millisecond
	callerDelay                      = 3 * time.Millisecond
	targetSlots                      = 2
	fleetDeadline                    = 250 * time.Millisecond
)

// fleetZones are the availability zones; the searcher runs in the first one.
var fleetZones = []ident.Zone{"petrosani", "lupeni", "vulcan"}

// leafBody is the reply of every fake leaf.
var leafBody = []byte(`{"orders":[4711]}`)

// fleet is a searcher with fake leaf targets. Shard i has replicas in the zones i and i+1 (modulo 3), so one shard in
// three has no replica in the searcher's zone.
type fleet struct {
	searcher *search.Searcher
	zones    map[ident.TargetID]ident.Zone
	slots    map[ident.TargetID]chan struct{}
	// stragglers is the share of requests whose service time is multiplied by stragglerFactor.
	stragglers float64
	// slowdown multiplies every service time.
	slowdown atomic.Int64
	// lostTargets maps the ID of each lost target to its loss.
	lostTargets sync.Map
	// instant makes targets reply without delay, for measurements of cost.
	instant bool
	sends   atomic.Int64
	// uniqueQueries makes all queries different, so that each one first runs on one shard as a canary: the trial of a
	// query that is not known to be safe.
	uniqueQueries bool
	queries       atomic.Int64
}

// loss is the way in which sends to a lost target fail.
type loss string

const (
	// lossRefused: the process has ended, and its host refuses connections.
	lossRefused loss = "refused"
	// lossReset: connections are accepted and reset without a reply.
	lossReset loss = "reset"
	// lossBlackHole: requests are dropped silently.
	lossBlackHole loss = "black_hole"
)

// result returns the result of a send to the lost target; for a black hole it waits until ctx ends.
func (l loss) result(ctx context.Context) outcome.LeafResult {
	switch l {
	case lossRefused:
		return outcome.NotRunResult(outcome.ReasonDialFailed, "connection refused")
	case lossReset:
		return outcome.UnknownResult(outcome.ReasonConnectionLost, "connection reset")
	default:
		<-ctx.Done()
		return outcome.UnknownResult(outcome.ReasonCancelled, "cancelled without a reply")
	}
}

// fixedSource is a configuration that never changes.
type fixedSource struct{ force *config.InForce }

// Current returns the bundle in force.
func (s fixedSource) Current() *config.InForce { return s.force }

// discardDecisions implements search.DecisionLog without writing lines.
type discardDecisions struct{}

// Admit admits one decision line in 1000, chosen at random, and returns the sampling rate 1000. Add discards the
// admitted lines.
func (discardDecisions) Admit(string) (int, bool) { return 1000, rand.IntN(1000) == 0 }

// Add discards a decision line.
func (discardDecisions) Add(string, ...any) {}

// newFleet returns a fleet whose service has the given number of shards, with two replicas each.
func newFleet(shards, extraPercent int, stragglers float64) *fleet {
	f := &fleet{zones: map[ident.TargetID]ident.Zone{}, slots: map[ident.TargetID]chan struct{}{}, stragglers: stragglers}
	f.slowdown.Store(1)
	service := bundle.Service{ID: fleetService, Slots: targetSlots}
	snap := bundle.Snapshot{ID: fleetSnapshot}
	for i := range shards {
		shard := bundle.Shard{ID: ident.ShardID(fmt.Sprintf("shard-%d", i))}
		for r := range 2 {
			t := bundle.Target{ID: ident.TargetID(fmt.Sprintf("t%d-%d", i, r)), Zone: fleetZones[(i+r)%len(fleetZones)], State: bundle.TargetServing}
			f.zones[t.ID], f.slots[t.ID] = t.Zone, make(chan struct{}, targetSlots)
			service.Targets = append(service.Targets, t)
			shard.Replicas = append(shard.Replicas, t.ID)
		}
		snap.Shards = append(snap.Shards, shard)
	}
	service.Snapshots = []bundle.Snapshot{snap}
	b := &bundle.Bundle{Version: 1, Services: []bundle.Service{service}, Policy: bundle.Policy{ExtraLoadPercent: extraPercent}}
	for _, z := range fleetZones {
		b.Zones = append(b.Zones, bundle.Zone{ID: z, State: bundle.ZoneIn})
	}
	clock := clockwork.NewRealClock()
	source := catalog.NewCache(fixedSource{&config.InForce{Verified: &bundle.Verified{Bundle: b}}})
	holdings := snapshot.NewHoldings(clock)
	f.searcher = &search.Searcher{Clock: clock, Catalog: source, Holdings: holdings, Hedge: hedge.NewServices(clock), Sender: f,
		Replicas: replica.New(fleetZones[0], clock, source, holdings), Decisions: discardDecisions{}}
	return f
}

// Send runs a leaf request at a fake target.
func (f *fleet) Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	f.sends.Add(1)
	if how, lost := f.lostTargets.Load(r.Target); lost {
		return how.(loss).result(ctx)
	}
	var took time.Duration
	if !f.instant {
		var ok bool
		if took, ok = f.work(ctx, r.Target); !ok {
			return outcome.UnknownResult(outcome.ReasonCancelled, "cancelled at the target")
		}
	}
	return outcome.LeafResult{Status: outcome.LeafOK, ID: r.ID, Shard: r.Shard, Snapshot: r.Snapshot, Incarnation: "1",
		Held: []ident.SnapshotID{fleetSnapshot}, Body: leafBody, ServiceTime: took}
}

// work waits for the delay of the link to the target, a free slot, the service time and the delay of the link back. It
// returns the service time, and false if ctx ends first.
func (f *fleet) work(ctx context.Context, target ident.TargetID) (time.Duration, bool) {
	linkDelay := time.Duration(0)
	if f.zones[target] != fleetZones[0] {
		linkDelay = zoneDelay
	}
	if !wait(ctx, linkDelay) {
		return 0, false
	}
	slots := f.slots[target]
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return 0, false
	}
	took := f.serviceTime()
	ok := wait(ctx, took)
	<-slots
	return took, ok && wait(ctx, linkDelay)
}

// serviceTime returns a random service time.
func (f *fleet) serviceTime() time.Duration {
	d := float64(medianService) * math.Exp(serviceSigma*rand.NormFloat64()) * float64(f.slowdown.Load())
	if rand.Float64() < f.stragglers {
		d *= stragglerFactor
	}
	return time.Duration(d)
}

// wait waits for d and reports whether it passed before ctx ended.
func wait(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// search runs one search and returns its answer and its latency, including the delay of the caller's link in both
// directions.
func (f *fleet) search() (search.Answer, time.Duration) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), fleetDeadline)
	defer cancel()
	answer := f.searcher.Search(ctx, search.Query{Service: fleetService, Body: f.query()})
	return answer, time.Since(start) + 2*callerDelay
}

// query returns the body of the next query.
func (f *fleet) query() []byte {
	if !f.uniqueQueries {
		return []byte(`{"bunker":12}`)
	}
	return fmt.Appendf(nil, `{"bunker":%d}`, f.queries.Add(1))
}

// load holds the results of searches at a steady rate: their latencies, and the shards answered and expected in total.
type load struct {
	latencies []time.Duration
	answered  int
	expected  int
}

// quantile returns the q-quantile of the latencies, with q from 0 to 1.
func (l *load) quantile(q float64) time.Duration {
	slices.Sort(l.latencies)
	return l.latencies[min(len(l.latencies)-1, int(math.Ceil(q*float64(len(l.latencies))))-1)]
}

// coverage returns the share of the expected shards that were answered.
func (l *load) coverage() float64 { return float64(l.answered) / float64(l.expected) }

// run starts searches at a steady rate without waiting for earlier ones, then waits for all of them to end.
func (f *fleet) run(searches, perSecond int) *load {
	l := &load{}
	var mu sync.Mutex
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for range searches {
		<-ticker.C
		pending.Go(func() {
			answer, took := f.search()
			mu.Lock()
			defer mu.Unlock()
			l.latencies = append(l.latencies, took)
			l.answered += answer.Coverage.Answered
			l.expected += answer.Coverage.Expected
		})
	}
	pending.Wait()
	return l
}

// extraShare returns the ratio of extra sends (hedges, retries and discovery sends) to first sends.
func (f *fleet) extraShare() float64 {
	s := &f.searcher.Stats
	extra := s.Sends(outcome.SendHedge) + s.Sends(outcome.SendRetry) + s.Sends(outcome.SendDiscovery)
	return float64(extra) / float64(s.Sends(outcome.SendFirst))
}
