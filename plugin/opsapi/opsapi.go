// Package opsapi is the plug-in that serves operators: health, readiness, metrics and this VM's view.
package opsapi

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/decisionlog"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/placement"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/relay"
	"teaselbank.example/teaselbank/settings"
)

const headerTimeout = 2 * time.Second

func init() {
	kernel.Register(kernel.Plugin{Name: "opsapi", Options: func() fx.Option {
		return fx.Options(fx.Provide(newAPI), fx.Invoke(serve))
	}})
}

// API handles operators' requests.
type API struct {
	source    config.Source
	store     *config.Store
	viewer    membership.Viewer
	planner   relay.Planner
	state     *lifecycle.State
	registry  *prometheus.Registry
	decisions *decisionlog.Log
}

func newAPI(source config.Source, store *config.Store, viewer membership.Viewer, planner relay.Planner,
	state *lifecycle.State, registry *prometheus.Registry, decisions *decisionlog.Log) *API {
	return &API{source, store, viewer, planner, state, registry, decisions}
}

func serve(lc fx.Lifecycle, api *API, s *settings.Settings, logger *log.Logger) {
	server := &http.Server{Handler: api.Handler(), ReadHeaderTimeout: headerTimeout}
	peerapi.Listen(lc, server, s.OpsListen, "ops", logger)
}

// Handler returns the HTTP handler of the operators' interface.
func (a *API) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.Use(gin.Recovery())
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", a.ready)
	r.GET("/metrics", gin.WrapH(promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{})))
	r.GET("/v1/status", func(c *gin.Context) { c.JSON(http.StatusOK, a.status()) })
	r.GET("/v1/explain", a.explain)
	return r
}

func (a *API) ready(c *gin.Context) {
	if !a.state.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (a *API) status() Status {
	view := a.viewer.View()
	s := Status{VM: string(view.Self.ID), Zone: string(view.Self.Zone), Incarnation: view.Self.Incarnation.String(),
		Ready: a.state.Ready(), Draining: a.state.Draining(), Generation: view.Generation,
		ViewUpdated: view.Updated, ViewStale: view.Stale, DecisionsDropped: a.decisions.Dropped(), Conflicts: a.store.Conflicts(),
		Conflict: conflictStatus(a.store.Alarm())}
	if force := a.source.Current(); force != nil {
		s.Config = &ConfigStatus{Version: force.Bundle.Version, Name: force.Bundle.Name, Digest: force.Digest.String(),
			Author: force.Bundle.Author, Reviewer: force.Bundle.Reviewer, Signers: force.Signers,
			Since: force.Since, Unconfirmed: force.Unconfirmed}
	}
	for _, m := range view.Members {
		s.Peers = append(s.Peers, peerStatus(m))
	}
	if plan := a.planner.Plan(); plan != nil {
		plan.Targets(func(t *placement.Target) { s.Targets = append(s.Targets, targetStatus(t)) })
	}
	sortTargets(s.Targets)
	return s
}
