// Package forwarding is the plug-in that forwards callers' requests to the targets of the topology.
package forwarding

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/coordinator"
	"teaselbank.example/teaselbank/decisionlog"
	"teaselbank.example/teaselbank/delegate"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	plugincoordinator "teaselbank.example/teaselbank/plugin/coordinator"
	plugintopology "teaselbank.example/teaselbank/plugin/topology"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
)

// Intervals of the update loop, and assumptions about VMs that are missing from the view.
const (
	maintainInterval = 500 * time.Millisecond
	// contactCheckInterval is how often the contact with other zones is checked. A loss of contact is detected after
	// four or five checks.
	contactCheckInterval = 200 * time.Millisecond
	// viewSettleTime is the time after the start in which the view may still lack VMs. Until then the fleet is assumed
	// to be large.
	viewSettleTime = 4 * time.Second
	// assumedVMs is the minimum number of VMs that the fleet is assumed to have until viewSettleTime has passed, a
	// quarter of them in each known zone.
	assumedVMs = 24
)

func init() {
	kernel.Register(kernel.Plugin{Name: "forwarding", Options: func() fx.Option {
		return fx.Options(fx.Provide(newService, newInstruments), fx.Invoke(startLoops, registerConnections))
	}})
}

// statsInterval is how often the connection statistics are logged.
const statsInterval = 10 * time.Second

// logConnections logs the total numbers of opened and closed connections to targets, and the number of running
// requests.
func logConnections(ctx context.Context, service *forward.Service, logger *log.Logger) {
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			fields := []any{"opened", service.Connections.Opened(), "running", service.Running()}
			for _, reason := range leafconn.CloseReasons() {
				fields = append(fields, "closed_"+reason.String(), service.Connections.Closed(reason))
			}
			logger.Info("connections", fields...)
		case <-ctx.Done():
			return
		}
	}
}

func newService(s *site.Settings, protocol forward.Protocol, dialer leafconn.Dialer, decisions *decisionlog.Log, state *lifecycle.State,
	guard forward.CrashGuard, coordinators forward.Coordinators, relays forward.Relays, pace *coordinator.Pace, inst *instruments, logger *log.Logger) *forward.Service {
	logger = logger.With("component", "forwarding")
	return forward.New(forward.Options{VMID: s.VMID, Zone: s.Zone, Regions: s.Regions, Protocol: protocol, Dialer: dialer,
		Extra: s.Extra, Cold: s.Cold, Guard: guard, Coordinators: coordinators, Relays: relays, Pace: pace, Report: reporter(decisions, inst), CloseConnections: func() bool { return !state.Ready() }, Refusing: state.Draining,
		LimitChanged:  func(t *topology.Target, perSecond float64) { logLimit(logger, inst, t, perSecond) },
		TargetRests:   func(t *topology.Target, d time.Duration) { logRest(logger, inst, t, d) },
		TargetLeaving: func(t *topology.Target) { logLeaving(logger, inst, t) }})
}

// logRest logs and counts a time for which a target wants no requests from this VM.
func logRest(logger *log.Logger, inst *instruments, t *topology.Target, d time.Duration) {
	inst.rests.Add(context.Background(), 1)
	logger.Info("target_rest", "target", t.ID, "service", t.Service, "zone_of", t.Zone, "stated", d)
}

// logLeaving logs and counts a target that says in a reply that it is leaving.
func logLeaving(logger *log.Logger, inst *instruments, t *topology.Target) {
	inst.departures.Add(context.Background(), 1)
	logger.Info("target_leaving", "target", t.ID, "service", t.Service, "zone_of", t.Zone, "known_from_registry", !t.LeavingSince.IsZero())
}

// logLimit logs and counts a change of the limit that a target states.
func logLimit(logger *log.Logger, inst *instruments, t *topology.Target, perSecond float64) {
	inst.limits.Add(context.Background(), 1)
	logger.Info("target_limit", "target", t.ID, "service", t.Service, "zone_of", t.Zone, "per_second", perSecond)
}

// startLoops adds hooks that keep the service's targets and the VM's readiness up to date and log the connections.
func startLoops(lc fx.Lifecycle, s *site.Settings, service *forward.Service, topo *topology.State, viewer membership.Viewer, contacts *plugintopology.ContactTracker,
	delegates *delegate.Client, state *lifecycle.State, logger *log.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	changed := make(chan struct{}, 1)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			topo.OnChange(func(*topology.Snapshot) {
				select {
				case changed <- struct{}{}:
				default:
				}
			})
			loops.Go(func() {
				runUpdates(ctx, s, service, topo, viewer, contacts, state, delegates.OtherZoneContact, changed, logger.With("component", "forwarding"))
			})
			loops.Go(func() { logConnections(ctx, service, logger.With("component", "forwarding")) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			loops.Wait()
			return nil
		},
	})
}

func runUpdates(ctx context.Context, s *site.Settings, service *forward.Service, topo *topology.State, viewer membership.Viewer,
	contacts *plugintopology.ContactTracker, state *lifecycle.State, zoneContact func(context.Context) (time.Time, bool), changed <-chan struct{}, logger *log.Logger) {
	start := time.Now()
	maintain, contactCheck := time.NewTicker(maintainInterval), time.NewTicker(contactCheckInterval)
	defer maintain.Stop()
	defer contactCheck.Stop()
	ready := &readiness{service: service, contacts: contacts, state: state, zoneContact: zoneContact, logger: logger}
	for {
		fleet := fleetView(viewer.View(), s.Zone, time.Now(), start)
		snapshot := topo.Current()
		service.Update(snapshot, fleet)
		service.Maintain(time.Now())
		ready.update(time.Now(), snapshot)
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-contactCheck.C:
				ready.update(time.Now(), topo.Current())
			case <-maintain.C:
				service.Maintain(time.Now())
				waiting = sameFleet(fleet, fleetView(viewer.View(), s.Zone, time.Now(), start))
			case <-ctx.Done():
				return
			}
		}
	}
}

func sameFleet(a, b forward.FleetView) bool {
	return a.All == b.All && maps.Equal(a.InZone, b.InZone) && slices.Equal(a.Members, b.Members) &&
		maps.Equal(a.Coordinators, b.Coordinators) && slices.Equal(a.LocalCoordinators, b.LocalCoordinators)
}

// fleetView returns the usable VMs of the view, and upper bounds of the number of VMs that share the targets.
func fleetView(view *membership.View, zone ident.Zone, now, start time.Time) forward.FleetView {
	roles := plugincoordinator.Roles(view, now)
	fleet := forward.FleetView{InZone: map[ident.Zone]int{}, MembersIn: map[ident.Zone][]ident.VMID{}, CoordinatorsIn: map[ident.Zone][]ident.VMID{}, Coordinators: roles.Coordinators, Coordinator: roles.Self}
	if roles.Self {
		fleet.LocalCoordinators = append(fleet.LocalCoordinators, view.Self.ID)
	}
	for _, m := range roles.Local {
		fleet.LocalCoordinators = append(fleet.LocalCoordinators, m.ID)
	}
	fleet.CoordinatorsIn[zone] = fleet.LocalCoordinators
	for z, remote := range roles.Remote {
		for _, m := range remote {
			fleet.CoordinatorsIn[z] = append(fleet.CoordinatorsIn[z], m.ID)
		}
	}
	for _, m := range view.Members {
		if !m.Usable() && now.Sub(m.Since) > plugincoordinator.LostVMRetention {
			continue
		}
		fleet.All++
		fleet.InZone[m.Zone]++
		if m.Usable() {
			fleet.Members = append(fleet.Members, m.ID)
			fleet.MembersIn[m.Zone] = append(fleet.MembersIn[m.Zone], m.ID)
		}
		if m.Zone == zone && m.Usable() {
			fleet.Peers = append(fleet.Peers, m.ID)
		}
	}
	if now.Sub(start) < viewSettleTime {
		fleet.All = max(fleet.All, assumedVMs)
		for z := range fleet.InZone {
			fleet.InZone[z] = max(fleet.InZone[z], assumedVMs/4)
		}
	}
	fleet.ExtraShare = roles.ShareOfBound(fleet.All)
	return fleet
}

// Events of the decision log. Served requests are sampled.
const (
	eventServed   = "request"
	eventUnserved = "request_unserved"
)

// reporter returns a function that records the metrics and the decision line of a finished request.
func reporter(decisions *decisionlog.Log, inst *instruments) func(*forward.Summary) {
	return func(sum *forward.Summary) {
		inst.observe(sum)
		event := eventServed
		if sum.Status >= 400 || sum.CallerLeft || sum.Late || sum.Covered < sum.Shards {
			event = eventUnserved
		}
		every, ok := servedSample, rand.IntN(servedSample) == 0
		if event == eventUnserved {
			every, ok = decisions.Admit(event)
		}
		if !ok {
			return
		}
		fields := []any{"id", sum.ID, "route", sum.Route, "status", sum.Status, "ms", sum.Took.Milliseconds(), "version", sum.Version,
			"revision", sum.Revision, "covered", sum.Covered, "shards", sum.Shards, "extras", sum.ExtraSends, "denied", sum.DeniedExtraSends, "max_targets", sum.MaxTargets, "every", every}
		if sum.Late {
			fields = append(fields, "late", true)
		}
		if sum.CallerLeft {
			fields = append(fields, "caller_left", true)
		}
		if sum.Entry != "" {
			fields = append(fields, "entry", sum.Entry)
		}
		if sum.Coordinator != "" {
			fields = append(fields, "coordinator", sum.Coordinator)
		}
		if sum.Reason != "" {
			fields = append(fields, "reason", sum.Reason)
		}
		for _, a := range sum.Attempts {
			fields = append(fields, "unit_"+a.Service, describe(a))
		}
		decisions.Add(event, fields...)
	}
}

// servedSample is the sampling rate of served requests: one decision line stands for this many of them.
const servedSample = 100

// describe returns the targets that a unit was sent to, with their zones, and the result of the unit. A unit is the
// part of a request that one target can run. Example: "i-1@lupeni:served".
func describe(a forward.UnitAttempts) string {
	out := ""
	for i, t := range a.Targets {
		if i > 0 {
			out += ","
		}
		out += string(t.ID) + "@" + string(t.Zone)
	}
	if a.Served {
		return out + ":served"
	}
	switch {
	case a.Err == nil:
		return out + ":unserved"
	case errors.Is(a.Err, leafconn.ErrNotSent):
		return out + ":not_sent"
	}
	return out + ":" + a.Err.Error()
}
