package search_test

import (
	"context"
	"fmt"
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

// world is a searcher in front of scripted targets. It runs inside a synctest bubble, whose clock is fake.
type world struct {
	*search.Searcher
	current atomic.Pointer[config.InForce]
	version uint64

	mu    sync.Mutex
	sends []outcome.LeafRequest
	count map[ident.ShardID]int
	lines [][]any
	// reply runs a leaf request; n counts the sends to its shard, from 0.
	reply func(ctx context.Context, r outcome.LeafRequest, n int) outcome.LeafResult
}

func (w *world) Current() *config.InForce    { return w.current.Load() }
func (w *world) Admit(string) (int, bool)    { return 1, true }
func (w *world) Add(_ string, fields ...any) { w.lines = append(w.lines, fields) }

// newWorld has one service with the snapshots s1 and s2 of the given number of shards, each with two replicas.
func newWorld(shards int) *world {
	w := &world{count: map[ident.ShardID]int{}, reply: func(_ context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult { return whole(r) }}
	w.publish(shards, nil)
	clock := clockwork.NewRealClock()
	cache := catalog.NewCache(w)
	beliefs := snapshot.NewBeliefs(clock)
	w.Searcher = &search.Searcher{Clock: clock, Catalog: cache, Beliefs: beliefs, Hedge: hedge.NewGroup(clock), Sender: w,
		Replicas: replica.New("petrosani", clock, cache, beliefs), Decisions: w}
	return w
}

func (w *world) publish(shards int, change func(*bundle.Bundle)) {
	w.version++
	b := &bundle.Bundle{Version: w.version, Policy: bundle.Policy{ExtraLoadPercent: 5},
		Zones: []bundle.Zone{{ID: "petrosani", State: bundle.ZoneIn}, {ID: "lupeni", State: bundle.ZoneIn}}}
	service := bundle.Service{ID: "subventii"}
	var list []bundle.Shard
	for i := range shards {
		shard := bundle.Shard{ID: ident.ShardID(fmt.Sprint("shard", i))}
		for r, zone := range b.Zones {
			id := ident.TargetID(fmt.Sprintf("t%d-%d", i, r))
			service.Targets = append(service.Targets, bundle.Target{ID: id, Zone: zone.ID, State: bundle.TargetServing})
			shard.Replicas = append(shard.Replicas, id)
		}
		list = append(list, shard)
	}
	service.Snapshots = []bundle.Snapshot{{ID: "s1", Shards: list}, {ID: "s2", Shards: list}}
	b.Services = []bundle.Service{service}
	if change != nil {
		change(b)
	}
	w.current.Store(&config.InForce{Verified: &bundle.Verified{Bundle: b}})
}

// Send records the request and runs the script.
func (w *world) Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	w.mu.Lock()
	n := w.count[r.Shard]
	w.count[r.Shard]++
	w.sends = append(w.sends, r)
	w.mu.Unlock()
	return w.reply(ctx, r, n)
}

// deadline is no whole number of milliseconds, so that no scripted reply arrives at the very deadline.
const deadline = 100*time.Millisecond + 500*time.Microsecond

// search runs one search.
func (w *world) search(minCoverage float64) search.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return w.Search(ctx, search.Query{Service: "subventii", Body: []byte(`{"q":1}`), MinCoverage: minCoverage})
}

// whole is the right reply; its body names the request, so that a test can tell whose it is.
func whole(r outcome.LeafRequest) outcome.LeafResult {
	return outcome.LeafResult{Status: outcome.LeafOK, ID: r.ID, Shard: r.Shard, Snapshot: r.Snapshot, Incarnation: "1",
		Held: []ident.SnapshotID{"s1"}, Body: body(r)}
}

func body(r outcome.LeafRequest) []byte {
	return fmt.Appendf(nil, `{"shard":%q,"snapshot":%q,"request":%q}`, r.Shard, r.Snapshot, r.ID)
}

// after waits on the clock of the bubble; it reports false if the context ended first.
func after(ctx context.Context, d time.Duration) bool {
	select {
	case <-clockwork.NewRealClock().After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
