// Package opsapi is the plug-in that serves the operators' API: health, readiness, metrics, status and explanations.
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
	peerapi.RegisterServer(lc, server, s.OpsListen, "ops", logger)
}

// Handler returns the HTTP handler of the operators' API.
func (a *API) Handler() http.Handler {
	r := NewRouter(a.state, a.registry, a.status)
	r.GET("/v1/explain", a.explain)
	return r
}

// NewRouter returns a router with the endpoints that every VM has: health, readiness, metrics and status. readyPaths
// are additional paths of the readiness endpoint.
func NewRouter(state *lifecycle.State, registry *prometheus.Registry, status func() Status, readyPaths ...string) *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.Use(gin.Recovery())
	ready := func(c *gin.Context) {
		if !state.Ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	}
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	for _, path := range append([]string{"/readyz"}, readyPaths...) {
		r.GET(path, ready)
	}
	r.GET("/metrics", gin.WrapH(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	r.GET("/v1/status", func(c *gin.Context) { c.JSON(http.StatusOK, status()) })
	return r
}

// NewStatus returns a status with the fields that are set on every VM.
func NewStatus(view *membership.View, state *lifecycle.State, decisions *decisionlog.Log) Status {
	s := Status{VM: string(view.Self.ID), Zone: string(view.Self.Zone), Incarnation: view.Self.Incarnation.String(),
		Ready: state.Ready(), Draining: state.Draining(), Generation: view.Generation,
		ViewUpdated: view.Updated, ViewStale: view.Stale, DecisionsDropped: decisions.Dropped()}
	for _, m := range view.Members {
		s.Peers = append(s.Peers, peerStatus(m))
	}
	return s
}

func (a *API) status() Status {
	s := NewStatus(a.viewer.View(), a.state, a.decisions)
	s.Conflicts, s.Conflict = a.store.Conflicts(), conflictStatus(a.store.Alarm())
	if current := a.source.Current(); current != nil {
		s.Config = &ConfigStatus{Version: current.Bundle.Version, Name: current.Bundle.Name, Digest: current.Digest.String(),
			Author: current.Bundle.Author, Reviewer: current.Bundle.Reviewer, Signers: current.Signers,
			Since: current.Since, Unconfirmed: current.Unconfirmed}
	}
	if plan := a.planner.Plan(); plan != nil {
		plan.Targets(func(t *placement.Target) { s.Targets = append(s.Targets, targetStatus(t)) })
	}
	SortTargets(s.Targets)
	return s
}
