// Package callerapi is the plug-in that serves the JSON API for callers over HTTP.
package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/admission"
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/plugin/peerapi"
	"teaselbank.example/teaselbank/search"
	"teaselbank.example/teaselbank/settings"
	"teaselbank.example/teaselbank/ticket"
)

// Limits of a caller's request.
const (
	maxBodyBytes   = 64 << 10
	maxHeaderBytes = 16 << 10
	headerTimeout  = 2 * time.Second
	bodyTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
)

func init() {
	kernel.Register(kernel.Plugin{Name: "callerapi", Options: func() fx.Option {
		return fx.Options(fx.Provide(newAPI), fx.Invoke(serve))
	}})
}

// API handles callers' requests.
type API struct {
	source   config.Source
	searcher *search.Searcher
	state    *lifecycle.State
	issuer   TicketIssuer
	runner   TicketRunner
	admitter *admission.Controller
}

func newAPI(source config.Source, searcher *search.Searcher, state *lifecycle.State, issuer *ticket.Issuer, router *ticket.Router, admitter *admission.Controller) *API {
	return &API{source: source, searcher: searcher, state: state, issuer: issuer, runner: router, admitter: admitter}
}

func serve(lc fx.Lifecycle, api *API, s *settings.Settings, logger *log.Logger) {
	server := &http.Server{Handler: api.Handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	peerapi.RegisterServer(lc, server, s.CallerListen, "caller", logger)
}

// Handler returns the HTTP handler of the callers' API.
func (a *API) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.Use(gin.Recovery())
	r.POST("/v1/search", a.search)
	r.POST("/v1/tickets", a.issueTicket)
	r.POST("/v1/requests", a.runRequest)
	return r
}

func (a *API) search(c *gin.Context) {
	end, ok := a.state.Begin()
	if !ok {
		refuse(c, outcome.ReasonDraining)
		return
	}
	defer end()
	var req SearchRequest
	if err := decode(c.Request, &req); err != nil {
		badRequest(c, err)
		return
	}
	current := a.source.Current()
	if current == nil {
		refuse(c, outcome.ReasonNoBundle)
		return
	}
	deadline, err := checkSearch(&req, current.Bundle)
	if err != nil {
		badRequest(c, err)
		return
	}
	done, ok := a.admitter.Admit(admission.Class(req.Class))
	if !ok {
		refuse(c, outcome.ReasonOverload)
		return
	}
	ctx, cancel := a.requestContext(c, deadline)
	defer cancel()
	defer func() { done(errors.Is(ctx.Err(), context.DeadlineExceeded)) }()
	answer := a.searcher.Search(ctx, search.Query{Service: ident.ServiceID(req.Service), Body: req.Query, MinCoverage: req.MinCoverage})
	c.JSON(statusOf(answer.Outcome), toResponse(answer))
}

// requestContext returns the context of a request that ends at its deadline, when its caller leaves, or when the process is
// about to end.
func (a *API) requestContext(c *gin.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), deadline)
	stop := context.AfterFunc(a.state.Ending(), cancel)
	return ctx, func() { stop(); cancel() }
}

func checkSearch(r *SearchRequest, b *bundle.Bundle) (time.Duration, error) {
	switch {
	case b.ServiceByID(ident.ServiceID(r.Service)) == nil:
		return 0, &FieldError{"service", fmt.Sprintf("%q is not a service of the bundle in force", r.Service)}
	case len(r.Query) == 0 || bytes.Equal(r.Query, []byte("null")):
		return 0, &FieldError{"query", "must be a JSON value"}
	case r.MinCoverage < 0 || r.MinCoverage > 1:
		return 0, &FieldError{"min_coverage", "must be from 0 to 1"}
	case r.Class != "" && !admission.Class(r.Class).Valid():
		return 0, &FieldError{"class", "must be urgent, normal or batch"}
	}
	return deadlineOf(r.DeadlineMillis, &b.Policy)
}

func deadlineOf(millis int, p *bundle.Policy) (time.Duration, error) {
	if millis == 0 {
		millis = p.DefaultDeadlineMillis
	}
	if millis < 0 || millis > p.MaxDeadlineMillis {
		return 0, &FieldError{"deadline_millis", fmt.Sprintf("must be from 1 to %d", p.MaxDeadlineMillis)}
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func decode(r *http.Request, into any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return &FieldError{"body", "could not be read: " + err.Error()}
	}
	if len(data) > maxBodyBytes {
		return &FieldError{"body", fmt.Sprintf("exceeds %d bytes", maxBodyBytes)}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return &FieldError{typeErr.Field, "must be " + typeErr.Type.String()}
		}
		return &FieldError{"body", err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{"body", "has data after the JSON value"}
	}
	return nil
}

func badRequest(c *gin.Context, err error) {
	var field *FieldError
	if !errors.As(err, &field) {
		field = &FieldError{"body", err.Error()}
	}
	c.JSON(http.StatusBadRequest, gin.H{"outcome": outcome.NotRun, "error": field})
}

func refuse(c *gin.Context, reason outcome.Reason) {
	c.JSON(http.StatusServiceUnavailable, gin.H{"outcome": outcome.NotRun, "reason": reason})
}

func statusOf(k outcome.Kind) int {
	switch k {
	case outcome.Complete, outcome.Partial:
		return http.StatusOK
	case outcome.NotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
