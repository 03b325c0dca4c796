// Package forwarding is the plug-in that serves callers' requests from the targets of the topology.
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

	"teaselbank.example/teaselbank/decisionlog"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	plugintopology "teaselbank.example/teaselbank/plugin/topology"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
)

// Intervals of periodic work.
const (
	maintainInterval = 500 * time.Millisecond
	// reachInterval is how often the contact with other zones is checked; a cut shows after four or five of them.
	reachInterval = 200 * time.Millisecond
	// settleTime is how long after the start the view of the fleet may lack VMs; until then it is taken to be large.
	settleTime = 4 * time.Second
	// unsettledVMs is the size that a fleet is taken to have until then.
	unsettledVMs = 24
	// deadCounts is how long a VM that was lost still counts, because it may only be out of reach.
	deadCounts = 10 * time.Second
)

func init() {
	kernel.Register(kernel.Plugin{Name: "forwarding", Options: func() fx.Option {
		return fx.Options(fx.Provide(newService, newInstruments), fx.Invoke(follow, registerConnections))
	}})
}

// statsInterval is how often a line sums up the connections.
const statsInterval = 10 * time.Second

// logConnections writes a line with what the connections did since the last one.
func logConnections(ctx context.Context, service *forward.Service, logger *log.Logger) {
	ticker := time.NewTicker(statsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			fields := []any{"opened", service.Connections.Opened(), "running", service.Running()}
			for _, why := range leafconn.CloseReasons() {
				fields = append(fields, "closed_"+why.String(), service.Connections.Closed(why))
			}
			logger.Info("connections", fields...)
		case <-ctx.Done():
			return
		}
	}
}

func newService(s *site.Settings, protocol forward.Protocol, dialer leafconn.Dialer, decisions *decisionlog.Log, state *lifecycle.State,
	guard forward.CrashGuard, counted *instruments) *forward.Service {
	return forward.New(forward.Options{VMID: s.VMID, Zone: s.Zone, Regions: s.Regions, Protocol: protocol, Dialer: dialer,
		Extra: s.Extra, Cold: s.Cold, Guard: guard, Report: reporter(decisions, counted), CloseConnections: func() bool { return !state.Ready() }, Refusing: state.Draining})
}

// follow keeps the service's backends up to date and makes the VM ready once requests can be served.
func follow(lc fx.Lifecycle, s *site.Settings, service *forward.Service, topo *topology.State, viewer membership.Viewer, contacts *plugintopology.Contacts,
	state *lifecycle.State, logger *log.Logger) {
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
				update(ctx, s, service, topo, viewer, contacts, state, changed, logger.With("component", "forwarding"))
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

func update(ctx context.Context, s *site.Settings, service *forward.Service, topo *topology.State, viewer membership.Viewer,
	contacts *plugintopology.Contacts, state *lifecycle.State, changed <-chan struct{}, logger *log.Logger) {
	start := time.Now()
	maintain, reach := time.NewTicker(maintainInterval), time.NewTicker(reachInterval)
	defer maintain.Stop()
	defer reach.Stop()
	ready := &readiness{service: service, contacts: contacts, state: state, logger: logger}
	for {
		fleet := count(viewer.View(), s.Zone, time.Now(), start)
		snapshot := topo.Current()
		service.Update(snapshot, fleet)
		service.Maintain(time.Now())
		ready.update(time.Now(), snapshot)
		for waiting := true; waiting; {
			select {
			case <-changed:
				waiting = false
			case <-reach.C:
				ready.update(time.Now(), topo.Current())
			case <-maintain.C:
				service.Maintain(time.Now())
				waiting = same(fleet, count(viewer.View(), s.Zone, time.Now(), start))
			case <-ctx.Done():
				return
			}
		}
	}
}

func same(a, b forward.FleetView) bool {
	return a.All == b.All && maps.Equal(a.InZone, b.InZone) && slices.Equal(a.Members, b.Members)
}

// count returns upper bounds of the VMs that share the targets.
func count(view *membership.View, zone ident.Zone, now, start time.Time) forward.FleetView {
	fleet := forward.FleetView{InZone: map[ident.Zone]int{}}
	for _, m := range view.Members {
		if !m.Usable() && now.Sub(m.Since) > deadCounts {
			continue
		}
		fleet.All++
		fleet.InZone[m.Zone]++
		if m.Usable() {
			fleet.Members = append(fleet.Members, m.ID)
		}
		if m.Zone == zone && m.Usable() {
			fleet.Peers = append(fleet.Peers, m.ID)
		}
	}
	if now.Sub(start) < settleTime {
		fleet.All = max(fleet.All, unsettledVMs)
		for z := range fleet.InZone {
			fleet.InZone[z] = max(fleet.InZone[z], unsettledVMs/4)
		}
	}
	return fleet
}

// slowEvent and failEvent are the decision lines of requests; ordinary ones are sampled.
const (
	eventServed   = "request"
	eventUnserved = "request_unserved"
)

func reporter(decisions *decisionlog.Log, counted *instruments) func(*forward.Summary) {
	return func(sum *forward.Summary) {
		counted.observe(sum)
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
		if sum.Reason != "" {
			fields = append(fields, "reason", sum.Reason)
		}
		for _, a := range sum.Attempts {
			fields = append(fields, "unit_"+a.Service, describe(a))
		}
		decisions.Add(event, fields...)
	}
}

// servedSample is how many served requests one line stands for.
const servedSample = 100

// describe names the targets of a unit with their zones, and what became of it.
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
