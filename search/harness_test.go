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

// harness is a searcher with scripted targets. It runs inside a synctest bubble, whose clock is fake.
type harness struct {
	*search.Searcher
	current atomic.Pointer[config.InForce]
	version uint64

	mu        sync.Mutex
	sends     []outcome.LeafRequest
	sendCount map[ident.ShardID]int
	lines     [][]any
	// reply returns the result of a leaf request, which is send number n of its shard, from 0.
	reply func(ctx context.Context, r outcome.LeafRequest, n int) outcome.LeafResult
}

func (h *harness) Current() *config.InForce    { return h.current.Load() }
func (h *harness) Admit(string) (int, bool)    { return 1, true }
func (h *harness) Add(_ string, fields ...any) { h.lines = append(h.lines, fields) }

// newHarness returns a harness with one service. Its snapshots s1 and s2 have the given number of shards, each with one
// replica in either zone.
func newHarness(shards int) *harness {
	h := &harness{sendCount: map[ident.ShardID]int{}, reply: func(_ context.Context, r outcome.LeafRequest, _ int) outcome.LeafResult { return completeReply(r) }}
	h.publish(shards, nil)
	clock := clockwork.NewRealClock()
	cache := catalog.NewCache(h)
	holdings := snapshot.NewHoldings(clock)
	h.Searcher = &search.Searcher{Clock: clock, Catalog: cache, Holdings: holdings, Hedge: hedge.NewServices(clock), Sender: h,
		Replicas: replica.New("petrosani", clock, cache, holdings), Decisions: h}
	return h
}

func (h *harness) publish(shards int, change func(*bundle.Bundle)) {
	h.version++
	b := &bundle.Bundle{Version: h.version, Policy: bundle.Policy{ExtraLoadPercent: 5},
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
	h.current.Store(&config.InForce{Verified: &bundle.Verified{Bundle: b}})
}

// Send records the request and returns the scripted result.
func (h *harness) Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	h.mu.Lock()
	n := h.sendCount[r.Shard]
	h.sendCount[r.Shard]++
	h.sends = append(h.sends, r)
	h.mu.Unlock()
	return h.reply(ctx, r, n)
}

// deadline is not a whole number of milliseconds, so that no scripted reply arrives exactly at the deadline.
const deadline = 100*time.Millisecond + 500*time.Microsecond

// search runs one search with the usual deadline.
func (h *harness) search(minCoverage float64) search.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	return h.Search(ctx, search.Query{Service: "subventii", Body: []byte(`{"q":1}`), MinCoverage: minCoverage})
}

// completeReply returns the correct reply to a request. Its body contains the request ID, so that a test can tell which
// request it answers.
func completeReply(r outcome.LeafRequest) outcome.LeafResult {
	return outcome.LeafResult{Status: outcome.LeafOK, ID: r.ID, Shard: r.Shard, Snapshot: r.Snapshot, Incarnation: "1",
		Held: []ident.SnapshotID{"s1"}, Body: body(r)}
}

func body(r outcome.LeafRequest) []byte {
	return fmt.Appendf(nil, `{"shard":%q,"snapshot":%q,"request":%q}`, r.Shard, r.Snapshot, r.ID)
}

// sleep waits on the clock of the bubble. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-clockwork.NewRealClock().After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
