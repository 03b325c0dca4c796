package examples_test

import (
	"context"
	"fmt"
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

// fixedConfig is a configuration source that always returns the same bundle, built by the embedding program.
type fixedConfig struct{ inForce *config.InForce }

func (f fixedConfig) Current() *config.InForce { return f.inForce }

// inProcessSender answers leaf requests inside the process. Requests to the target named by down are refused.
type inProcessSender struct{ down ident.TargetID }

func (l inProcessSender) Send(_ context.Context, r outcome.LeafRequest) outcome.LeafResult {
	if r.Target == l.down {
		return outcome.NotRunResult(outcome.ReasonDialFailed, "the target is down")
	}
	return outcome.LeafResult{Status: outcome.LeafOK, ID: r.ID, Shard: r.Shard, Snapshot: r.Snapshot,
		Held: []ident.SnapshotID{r.Snapshot}, Incarnation: "1", Body: []byte(`{"hits":1}`)}
}

// discardDecisions discards decision lines.
type discardDecisions struct{}

func (discardDecisions) Admit(string) (int, bool) { return 1, false }
func (discardDecisions) Add(string, ...any)       {}

func twoShards() *bundle.Bundle {
	target := func(id ident.TargetID) bundle.Target {
		return bundle.Target{ID: id, Zone: "munster-a", Address: "127.0.0.1:1", State: bundle.TargetServing}
	}
	return &bundle.Bundle{
		Version: 1, Name: "pumpdesk", Author: "aoife", Reviewer: "brian",
		Zones: []bundle.Zone{{ID: "munster-a", State: bundle.ZoneIn}},
		Services: []bundle.Service{{
			ID: "van-search", Slots: 2, ColdSlots: 1, Connections: 25,
			Targets: []bundle.Target{target("a1"), target("a2"), target("b1")},
			Snapshots: []bundle.Snapshot{{ID: "monday", Shards: []bundle.Shard{
				{ID: "a", Replicas: []ident.TargetID{"a1", "a2"}},
				{ID: "b", Replicas: []ident.TargetID{"b1"}},
			}}},
		}},
		Policy: bundle.Policy{RequiredSigners: 1, ExtraLoadPercent: 5, MaxDeadlineMillis: 1000, DefaultDeadlineMillis: 100},
	}
}

func newSearcher(b *bundle.Bundle, sender search.LeafSender) *search.Searcher {
	clock := clockwork.NewRealClock()
	inForce := &config.InForce{Verified: &bundle.Verified{Bundle: b}, Since: clock.Now()}
	source := catalog.NewCache(fixedConfig{inForce})
	holdings := snapshot.NewHoldings(clock)
	return &search.Searcher{Clock: clock, Catalog: source, Holdings: holdings, Hedge: hedge.NewServices(clock),
		Replicas: replica.New("munster-a", clock, source, holdings), Sender: sender, Decisions: discardDecisions{}}
}

// An embedding program runs searches over its own transport. The answer lists the shards that it does not cover, with the
// reason.
func Example_embeddedSearch() {
	searcher := newSearcher(twoShards(), inProcessSender{down: "b1"})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer := searcher.Search(ctx, search.Query{Service: "van-search", Body: []byte(`{"fault":"E12"}`)})
	fmt.Println(answer.Outcome, answer.Snapshot, answer.Coverage.Answered, "of", answer.Coverage.Expected)
	for _, m := range answer.Coverage.Missing {
		fmt.Println("missing:", m.Shard, m.Reason)
	}
	// Output:
	// partial monday 1 of 2
	// missing: b dial_failed
}
