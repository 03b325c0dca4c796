package forwarding

import (
	"time"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/lifecycle"
	plugintopology "teaselbank.example/teaselbank/plugin/topology"
	"teaselbank.example/teaselbank/topology"
)

// readiness keeps the VM's readiness up to date.
type readiness struct {
	service  *forward.Service
	contacts *plugintopology.Contacts
	state    *lifecycle.State
	logger   *log.Logger
	asked    time.Time
	was      bool
}

// update decides whether this VM is ready, and asks other zones for a sign of life when nothing was heard of them.
func (r *readiness) update(now time.Time, snapshot *topology.Snapshot) {
	heard := r.contacts.OtherZone()
	if replied := r.service.LastRemoteReply(); replied.After(heard) {
		heard = replied
	}
	reach := dispatch.ZoneContact{LastContact: heard, ProbedAt: r.asked}
	if reach.ShouldProbe(now) && r.service.ProbeOtherZones() && !r.asked.After(heard) {
		r.asked = now
		reach.ProbedAt = now
	}
	isolated := reach.Isolated(now)
	r.service.SetIsolated(isolated)
	sufficient := (isolated || heard.IsZero()) && r.service.LocalTargetsSuffice(now)
	ready := reach.Ready(now, sufficient) && snapshot.Table != nil && snapshot.Count() > 0
	if ready != r.was {
		r.was = ready
		requests, lacking := r.service.Counts()
		r.logger.Info("readiness", "ready", ready, "requests", requests, "lacking", lacking, "targets", snapshot.Count(),
			"isolated", isolated, "other_zone_heard", heard, "asked", r.asked)
	}
	r.state.SetReady(ready)
}
