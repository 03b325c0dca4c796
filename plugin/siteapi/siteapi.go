// Package siteapi is the plug-in that serves the balancer and the operators of a site: health, readiness, metrics and
// status.
package siteapi

import (
	"net/http"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/decisionlog"
	"teaselbank.example/teaselbank/delegate"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	plugincoordinator "teaselbank.example/teaselbank/plugin/coordinator"
	"teaselbank.example/teaselbank/plugin/opsapi"
	"teaselbank.example/teaselbank/plugin/peerapi"
	plugintopology "teaselbank.example/teaselbank/plugin/topology"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/statusapi"
	"teaselbank.example/teaselbank/topology"
)

const headerTimeout = 2 * time.Second

// ReadyPath is the URL path of the balancer's readiness checks.
type ReadyPath string

func init() {
	kernel.Register(kernel.Plugin{Name: "siteapi", Options: func() fx.Option { return fx.Invoke(serve) }})
}

func serve(lc fx.Lifecycle, s *settings.Settings, siteSettings *site.Settings, path ReadyPath, p params, registry *prometheus.Registry, logger *log.Logger) {
	handler := opsapi.NewRouter(p.State, registry, p.status, string(path))
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	peerapi.RegisterServer(lc, server, s.OpsListen, "ops", logger)
	if siteSettings.MetricsListen != "" {
		metrics := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		peerapi.RegisterServer(lc, metrics, siteSettings.MetricsListen, "metrics", logger)
	}
}

// params are the dependencies from which a status is built.
type params struct {
	fx.In

	State     *lifecycle.State
	Viewer    membership.Viewer
	Topology  *topology.State
	Contacts  *plugintopology.ContactTracker
	Service   *forward.Service
	Delegates *delegate.Client
	Decisions *decisionlog.Log
}

func (p *params) status() opsapi.Status {
	s := opsapi.NewStatus(p.Viewer.View(), p.State, p.Decisions)
	now, snapshot := time.Now(), p.Topology.Current()
	s.Site = &statusapi.SiteStatus{Revision: snapshot.Revision, Changed: snapshot.Built, LastOtherZoneContact: p.Contacts.LastOtherZoneContact(), Running: p.Service.Running()}
	s.Site.LastStoreResponse, s.Site.WatchesStore = p.Contacts.LastStoreContact()
	roles := plugincoordinator.Roles(p.Viewer.View(), now)
	s.Site.Coordinator, s.Site.ExtraShare = roles.Self, roles.ShareOfBound(0)
	for _, m := range roles.Local {
		s.Site.Coordinators = append(s.Site.Coordinators, string(m.ID))
	}
	s.Site.SearchesHandedOver, s.Site.SearchesNotHandedOver, s.Site.SearchesLost = p.Delegates.Counts()
	if snapshot.Table != nil {
		s.Site.Version, s.Site.Routes = snapshot.Table.Version, snapshot.Table.RouteCount()
	}
	for zone := range snapshot.ZonesOut {
		s.Site.ZonesOut = append(s.Site.ZonesOut, string(zone))
	}
	slices.Sort(s.Site.ZonesOut)
	for _, list := range snapshot.Targets {
		for _, t := range list {
			s.Targets = append(s.Targets, statusapi.TargetStatus{Target: string(t.ID), Service: string(t.Service), Zone: string(t.Zone), State: stateOf(t, now)})
		}
	}
	opsapi.SortTargets(s.Targets)
	return s
}

// stateOf returns the state of a target as shown in the status: leaving, cold or serving.
func stateOf(t *topology.Target, now time.Time) string {
	switch {
	case !t.LeavingSince.IsZero():
		return "leaving"
	case now.Before(t.ColdUntil):
		return "cold"
	}
	return "serving"
}
