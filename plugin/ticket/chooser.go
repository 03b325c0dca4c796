package ticket

import (
	"slices"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/catalog"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
)

// chooser picks replicas for non-idempotent requests with the replica tracker, which learns the state of targets from
// the replies to searches.
type chooser struct {
	catalog  catalog.Source
	replicas *replica.Tracker
}

// Choose implements ticket.Chooser. It finds shards of the newest snapshot only, because non-idempotent requests are
// sent for that snapshot.
func (c *chooser) Choose(s *bundle.Service, shard *bundle.Shard, tried []ident.TargetID) (ident.TargetID, bool) {
	service, ok := c.catalog.Current().Service(s.ID)
	if !ok || len(service.Snapshots) == 0 {
		return "", false
	}
	newest := service.Snapshots[len(service.Snapshots)-1]
	i := slices.IndexFunc(newest.Shards, func(candidate catalog.Shard) bool { return candidate.ID == shard.ID })
	if i < 0 {
		return "", false
	}
	kind := outcome.SendFirst
	if len(tried) > 0 {
		kind = outcome.SendRetry
	}
	choice, reason := c.replicas.Choose(replica.Criteria{Service: s.ID, Snapshot: newest.ID, Shard: &newest.Shards[i],
		Kind: kind, Tried: tried, AllowProbe: true})
	if reason != outcome.ReasonNone {
		return "", false
	}
	return choice.Target.ID, true
}
