// Package replica chooses which replica of a shard receives a leaf request.
package replica

import (
	"math/rand/v2"
	"slices"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
)

// Chooser picks among the replicas that may receive new work, the nearest zone first.
type Chooser struct {
	Zone   ident.Zone
	Config config.Source
}

// Choose returns a replica that was not tried yet. It refuses replicas that are leaving or in a zone taken out.
func (c *Chooser) Choose(s *bundle.Service, shard *bundle.Shard, tried []ident.TargetID) (ident.TargetID, bool) {
	force := c.Config.Current()
	var near, far []ident.TargetID
	for _, id := range shard.Replicas {
		t := s.TargetByID(id)
		if t == nil || slices.Contains(tried, id) || !Eligible(force.Bundle, t) {
			continue
		}
		if t.Zone == c.Zone {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return "", false
	}
	return near[rand.IntN(len(near))], true
}

// Eligible reports whether operators let the target receive new work.
func Eligible(b *bundle.Bundle, t *bundle.Target) bool {
	zone := b.ZoneByID(t.Zone)
	return t.State == bundle.TargetServing && zone != nil && zone.State == bundle.ZoneIn
}
