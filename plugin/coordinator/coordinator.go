// Package coordinator is the plug-in that hands searches over to the coordinators of this VM's zone and runs searches of
// other VMs if this VM is a coordinator.
package coordinator

import (
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/coordinator"
	"teaselbank.example/teaselbank/delegate"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/observe"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/plugin/topology"
	"teaselbank.example/teaselbank/site"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "coordinator", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newPace, newClient),
			fx.Provide(func(c *delegate.Client) (forward.Coordinators, forward.Relays) { return c, c }),
			fx.Provide(fx.Annotate(newHandler, fx.ResultTags(peerapi.HandlerGroup))),
			fx.Invoke(registerMetrics),
		)
	}})
}

func newPace(s *site.Settings) *coordinator.Pace { return coordinator.NewPace(s.Capacity) }

func newClient(pace *coordinator.Pace, viewer membership.Viewer, dialer leafconn.Dialer, failures membership.FailureReporter, clock clockwork.Clock, logger *log.Logger) *delegate.Client {
	cache := &rolesCache{viewer: viewer}
	return delegate.NewClient(delegate.Options{Roles: cache.current, Pace: pace, Clock: clock,
		Dial: dialer.DialContext, Failures: failures, Logger: logger.With("component", "coordinator")})
}

// rolesCache holds the roles of the newest view, because each search needs them.
type rolesCache struct {
	viewer membership.Viewer
	newest atomic.Pointer[rolesOfView]
}

type rolesOfView struct {
	view  *membership.View
	roles coordinator.Roles
}

func (c *rolesCache) current() *coordinator.Roles {
	view := c.viewer.View()
	if newest := c.newest.Load(); newest != nil && newest.view == view {
		return &newest.roles
	}
	next := &rolesOfView{view: view, roles: Roles(view, time.Now())}
	c.newest.Store(next)
	return &next.roles
}

// LostVMRetention is how long a VM that is no longer usable is still counted, because it may only be out of reach.
const LostVMRetention = 10 * time.Second

// Roles returns the roles of the VMs in a view.
func Roles(view *membership.View, now time.Time) coordinator.Roles {
	return coordinator.Assign(view, func(m membership.Member) bool { return now.Sub(m.Since) <= LostVMRetention })
}

// LastOtherZoneContact returns when a VM or a target of another zone last replied to this VM or sent it a message; the zero
// time if none did.
func LastOtherZoneContact(contacts *topology.ContactTracker, service *forward.Service) time.Time {
	last := contacts.LastOtherZoneContact()
	if reply := service.LastRemoteReply(); reply.After(last) {
		return reply
	}
	return last
}

func newHandler(service *forward.Service, pace *coordinator.Pace, state *lifecycle.State, contacts *topology.ContactTracker) peerapi.Handler {
	path, h := peerv1connect.NewCoordinatorServiceHandler(&delegate.Server{Runner: service, Pace: pace, Ready: state.Ready,
		OtherZoneContact: func() time.Time { return LastOtherZoneContact(contacts, service) }}, connect.WithReadMaxBytes(delegate.MaxMessageBytes))
	return peerapi.Handler{Path: path, Handler: h}
}

// registerMetrics exposes the counters of searches that were handed over; docs/operations/metrics.md lists them.
func registerMetrics(c *delegate.Client, meter metric.Meter) error {
	count := func(which func(handedOver, notStarted, lost uint64) uint64) func() int64 {
		return observe.Uint64(func() uint64 { return which(c.Counts()) })
	}
	return observe.Counters(meter,
		observe.Instrument{Name: "searches_handed_over", Description: "searches that a coordinator ran for this VM",
			Read: count(func(handedOver, _, _ uint64) uint64 { return handedOver })},
		observe.Instrument{Name: "searches_not_handed_over", Description: "searches that this VM ran although its zone has coordinators",
			Read: count(func(_, notStarted, _ uint64) uint64 { return notStarted })},
		observe.Instrument{Name: "searches_lost_at_coordinator", Description: "searches whose coordinator no longer replied",
			Read: count(func(_, _, lost uint64) uint64 { return lost })},
	)
}
