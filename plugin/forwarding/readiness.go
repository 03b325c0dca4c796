package forwarding

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/lifecycle"
	plugincoordinator "teaselbank.example/teaselbank/plugin/coordinator"
	plugintopology "teaselbank.example/teaselbank/plugin/topology"
	"teaselbank.example/teaselbank/topology"
)

// readiness updates whether the balancer should send requests to this VM.
type readiness struct {
	service  *forward.Service
	contacts *plugintopology.ContactTracker
	state    *lifecycle.State
	logger   *log.Logger
	// zoneContact asks a coordinator of the zone when it last had contact with another zone; ok is false if none replies.
	zoneContact func(ctx context.Context) (at time.Time, ok bool)
	asking      atomic.Bool
	// probedAt is when targets of other zones were first probed after the last contact with another zone.
	probedAt time.Time
	wasReady bool
}

// probe looks for contact with other zones without waiting for the result, and reports whether there was anything to
// probe. A coordinator of the zone that has contact shows that the zone is not cut off; only without one are targets of
// other zones probed. In a fleet of hundreds of VMs most send no request to another zone for seconds, and each connection
// to a target takes it several milliseconds to accept.
func (r *readiness) probe() bool {
	if !r.asking.CompareAndSwap(false, true) {
		return true
	}
	if !r.service.HasTargetsInOtherZones() {
		r.asking.Store(false)
		return false
	}
	go func() {
		defer r.asking.Store(false)
		if at, ok := r.zoneContact(context.Background()); ok && !dispatch.ContactIsOld(time.Now(), at) {
			r.service.RecordContact(at)
			return
		}
		r.service.ProbeOtherZones()
	}()
	return true
}

// update decides whether this VM is ready. If there was no recent contact with other zones, it probes targets in those
// zones.
func (r *readiness) update(now time.Time, snapshot *topology.Snapshot) {
	lastContact := plugincoordinator.LastOtherZoneContact(r.contacts, r.service)
	contact := dispatch.ZoneContact{LastContact: lastContact, ProbedAt: r.probedAt}
	if contact.ShouldProbe(now) && r.probe() && !r.probedAt.After(lastContact) {
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
