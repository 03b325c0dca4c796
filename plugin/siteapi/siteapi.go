// Package siteapi is the plug-in that answers the balancer and operators of a site: readiness and metrics.
package siteapi

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/site"
)

const headerTimeout = 2 * time.Second

// ReadyPath is the path at which the balancer asks.
type ReadyPath string

func init() {
	kernel.Register(kernel.Plugin{Name: "siteapi", Options: func() fx.Option { return fx.Invoke(serve) }})
}

func serve(lc fx.Lifecycle, s *settings.Settings, m *site.Settings, path ReadyPath, state *lifecycle.State, registry *prometheus.Registry, logger *log.Logger) {
	server := &http.Server{Handler: handler(path, state, registry), ReadHeaderTimeout: headerTimeout}
	peerapi.Listen(lc, server, s.OpsListen, "ops", logger)
	if m.MetricsListen != "" {
		metrics := &http.Server{Handler: handler(path, state, registry), ReadHeaderTimeout: headerTimeout}
		peerapi.Listen(lc, metrics, m.MetricsListen, "metrics", logger)
	}
}

func handler(path ReadyPath, state *lifecycle.State, registry *prometheus.Registry) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.GET(string(path), func(c *gin.Context) {
		if !state.Ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	r.GET("/metrics", gin.WrapH(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	return r
}
