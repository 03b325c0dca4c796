package membership

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/membership"
)

// Seeds returns the peer addresses of a few VMs. They may be stale, and may change while the process runs.
type Seeds func() []string

// Intervals of joins through seeds: joinInterval while the view has no other usable VM, rejoinInterval afterwards, so
// that the parts of a fleet merge again after a partition in which they lost each other.
const (
	joinInterval   = 400 * time.Millisecond
	rejoinInterval = 4 * time.Second
)

// joinSeeds joins, one after another, the seeds that are not usable members of the view, until the context ends.
func joinSeeds(ctx context.Context, d *Detector, seeds Seeds, logger *log.Logger) {
	alone := true
	for round := 0; ; round++ {
		view := d.View()
		if others := len(view.UsableIn("")) > 1; others == alone {
			alone = !others
			logger.Info("seeds", "alone", alone, "members", len(view.Members))
		}
		unknown := slices.DeleteFunc(slices.Clone(seeds()), func(address string) bool { return isMember(view, address) })
		if len(unknown) > 0 {
			d.Join(unknown[round%len(unknown)])
		}
		wait := rejoinInterval
		if alone {
			wait = joinInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-d.clock.After(wait):
		}
	}
}

func isMember(view *membership.View, address string) bool {
	if view.Self.Address == address {
		return true
	}
	return slices.ContainsFunc(view.Members, func(m membership.Member) bool { return m.Address == address && m.Usable() })
}
