package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/admission"
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/ticket"
)

// fakes implements config.Source, TicketIssuer and TicketRunner.
type fakes struct{ result ticket.Outcome }

func (fakes) Current() *config.InForce {
	return &config.InForce{Verified: &bundle.Verified{Bundle: &bundle.Bundle{Services: []bundle.Service{{ID: "orders"}},
		Policy: bundle.Policy{DefaultDeadlineMillis: 100, MaxDeadlineMillis: 1000}}}}
}

func (fakes) Issue(service ident.ServiceID, _ ident.ShardID) (string, ticket.Claims, error) {
	switch service {
	case "orders":
		return "token", ticket.Claims{Shard: "s1"}, nil
	case "full":
		return "", ticket.Claims{}, &ticket.RefusedError{Reason: outcome.ReasonCapacity}
	default:
		return "", ticket.Claims{}, &ticket.RefusedError{Reason: outcome.ReasonUnknownService, Field: "service"}
	}
}

func (f fakes) Run(context.Context, string, []byte) ticket.Outcome { return f.result }

func newTestAPI(f fakes) *API {
	return &API{source: f, state: lifecycle.New(), issuer: f, runner: f, admitter: admission.New(clockwork.NewFakeClock())}
}

type response struct {
	Outcome string
	Reason  string
	Ticket  string
	Error   struct{ Field string }
}

func post(t *testing.T, a *API, path, body string) (int, response) {
	w := httptest.NewRecorder()
	a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	var r response
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &r))
	return w.Code, r
}

// Guards against refusals that do not name the field, or that have the wrong status.
func TestTicketsAreIssuedOrRefused(t *testing.T) {
	a := newTestAPI(fakes{})
	status, r := post(t, a, "/v1/tickets", `{"service":"orders"}`)
	assert.Equal(t, 200, status)
	assert.Equal(t, "token", r.Ticket)
	status, r = post(t, a, "/v1/tickets", `{"service":"none"}`)
	assert.Equal(t, 400, status)
	assert.Equal(t, "service", r.Error.Field)
	status, r = post(t, a, "/v1/tickets", `{"service":"full"}`)
	assert.Equal(t, 503, status)
	assert.Equal(t, response{Outcome: "not_run", Reason: "capacity"}, r)
}

// noopLeaver has no peers to notify of a leave.
type noopLeaver struct{}

func (noopLeaver) Leave(done func(int)) { done(0) }

// Guards against the outcome not_run for a submission that the receiving VM refuses itself: an earlier submission of
// the ticket may have run.
func TestOnlyTheIssuerReportsNotRun(t *testing.T) {
	a := newTestAPI(fakes{})
	for field, body := range map[string]string{"deadline_millis": `{"ticket":"t","body":1,"deadline_millis":5000}`,
		"body": `{"ticket":"t","body":null}`} {
		status, r := post(t, a, "/v1/requests", body)
		assert.Equal(t, 400, status)
		assert.Equal(t, "unknown", r.Outcome)
		assert.Equal(t, field, r.Error.Field)
	}
	drain := lifecycle.Drain{State: a.state, Clock: clockwork.NewRealClock(), Leaver: noopLeaver{}, Timeout: time.Minute}
	require.NoError(t, drain.Run(t.Context()))
	status, r := post(t, a, "/v1/requests", `{"ticket":"t","body":1}`)
	assert.Equal(t, 503, status)
	assert.Equal(t, response{Outcome: "unknown", Reason: "draining"}, r)
}

// waitingRunner is a TicketRunner whose requests run until their context ends.
type waitingRunner struct{ began chan struct{} }

func (r waitingRunner) Run(ctx context.Context, _ string, _ []byte) ticket.Outcome {
	close(r.began)
	<-ctx.Done()
	return ticket.Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonCancelled}
}

// Guards against a request that outlasts the drain and whose connection the end of the process closes without a response.
func TestDrainEndsRequestsInTimeForTheirResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAPI(fakes{})
		runner := waitingRunner{make(chan struct{})}
		a.runner = runner
		type result struct {
			status int
			response
		}
		results := make(chan result, 1)
		go func() {
			status, r := post(t, a, "/v1/requests", `{"ticket":"t","body":1,"deadline_millis":1000}`)
			results <- result{status, r}
		}()
		<-runner.began
		drain := lifecycle.Drain{State: a.state, Clock: clockwork.NewRealClock(), Leaver: noopLeaver{}, Timeout: 800 * time.Millisecond}
		require.NoError(t, drain.Run(t.Context()), "no request may be cut off")
		require.Equal(t, result{504, response{Outcome: "unknown", Reason: "cancelled"}}, <-results)
	})
}

// Guards against an outcome that is returned with the HTTP status of another one.
func TestOutcomesMapToHTTPStatuses(t *testing.T) {
	for status, o := range map[int]ticket.Outcome{
		200: {Kind: outcome.Complete},
		400: {Kind: outcome.NotRun, Reason: outcome.ReasonTicketInvalid},
		409: {Kind: outcome.NotRun, Reason: outcome.ReasonDifferentBody},
		503: {Kind: outcome.NotRun, Reason: outcome.ReasonTargetShed},
		504: {Kind: outcome.Unknown, Reason: outcome.ReasonIssuerGone},
	} {
		got, r := post(t, newTestAPI(fakes{o}), "/v1/requests", `{"ticket":"t","body":1}`)
		assert.Equal(t, status, got)
		assert.Equal(t, string(o.Kind), r.Outcome)
	}
}

// Guards against a search that is fanned out although admission refused it.
func TestSearchAboveTheLimitIsNotRun(t *testing.T) {
	a := newTestAPI(fakes{})
	for {
		if _, ok := a.admitter.Admit(admission.Batch); !ok {
			break
		}
	}
	// An admitted search would panic, because the API under test has no searcher.
	status, r := post(t, a, "/v1/search", `{"service":"orders","query":1,"class":"batch"}`)
	assert.Equal(t, 503, status)
	assert.Equal(t, response{Outcome: "not_run", Reason: "overload"}, r)
}
