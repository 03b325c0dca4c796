package membership

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/membership"
)

// Seeds returns the peer addresses of a few VMs, which may be stale. They may change while the process runs.
type Seeds func() []string

// Pace of the calls to seeds: often while no other VM is known, and now and then later, so that two parts of a fleet
// that lost each other find together again.
const (
	joinInterval   = 400 * time.Millisecond
	rejoinInterval = 4 * time.Second
)

// joinSeeds makes this VM known to seeds that are not among its members.
func joinSeeds(ctx context.Context, t *Table, seeds Seeds, logger *log.Logger) {
	alone := true
	for turn := 0; ; turn++ {
		view := t.View()
		if others := len(view.UsableIn("")) > 1; others == alone {
			alone = !others
			logger.Info("seeds", "alone", alone, "members", len(view.Members))
		}
		unknown := slices.DeleteFunc(slices.Clone(seeds()), func(address string) bool { return knows(view, address) })
		if len(unknown) > 0 {
			t.Join(unknown[turn%len(unknown)])
		}
		wait := rejoinInterval
		if alone {
			wait = joinInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-t.clock.After(wait):
		}
	}
}

func knows(view *membership.View, address string) bool {
	if view.Self.Address == address {
		return true
	}
	return slices.ContainsFunc(view.Members, func(m membership.Member) bool { return m.Address == address && m.Usable() })
}
