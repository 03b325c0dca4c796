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

// readiness updates whether the balancer should send requests to this VM.
type readiness struct {
	service  *forward.Service
	contacts *plugintopology.ContactTracker
	state    *lifecycle.State
	logger   *log.Logger
	// probedAt is when targets of other zones were first probed after the last contact with another zone.
	probedAt time.Time
	wasReady bool
}

// update decides whether this VM is ready. If there was no recent contact with other zones, it probes targets in those
// zones.
func (r *readiness) update(now time.Time, snapshot *topology.Snapshot) {
	lastContact := r.contacts.LastOtherZoneContact()
	if lastReply := r.service.LastRemoteReply(); lastReply.After(lastContact) {
		lastContact = lastReply
	}
	contact := dispatch.ZoneContact{LastContact: lastContact, ProbedAt: r.probedAt}
	if contact.ShouldProbe(now) && r.service.ProbeOtherZones() && !r.probedAt.After(lastContact) {
		r.probedAt = now
		contact.ProbedAt = now
	}
	isolated := contact.Isolated(now)
	r.service.SetIsolated(isolated)
	sufficient := (isolated || lastContact.IsZero()) && r.service.LocalTargetsSuffice(now)
	ready := contact.Ready(now, sufficient) && snapshot.Table != nil && snapshot.Count() > 0
	if ready != r.wasReady {
		r.wasReady = ready
		requests, lacking := r.service.Counts()
		r.logger.Info("readiness", "ready", ready, "requests", requests, "lacking", lacking, "targets", snapshot.Count(),
			"isolated", isolated, "other_zone_heard", lastContact, "asked", r.probedAt)
	}
	r.state.SetReady(ready)
}
