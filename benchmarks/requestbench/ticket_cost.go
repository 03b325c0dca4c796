package requestbench

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/ticket"
)

// ticketRuns is the number of tickets issued, run and resent; the table of outcomes at the issuer, the process that
// issues the tickets and runs their requests, can hold that many records.
const ticketRuns = 10_000

// maxTicketMicros bounds the time to issue and run a ticket, without the target's own time: 0.1% of the 76 ms of a
// search.
const maxTicketMicros = 76

func init() { bench.Register("ticket_cost", ticketCost) }

// ticketCost measures the mean time to issue a ticket, which lets a non-idempotent request run at most once, to run the
// request of the ticket, and to resend that request.
func ticketCost() ([]bench.Result, error) {
	var fake fakeFleet
	issuer := ticket.NewIssuer(ticket.Options{Clock: clockwork.NewRealClock(), Viewer: fake, Source: fake, Chooser: fake, Sender: fake})
	tokens := make([]string, ticketRuns)
	start := time.Now()
	for i := range tokens {
		token, _, err := issuer.Issue("orders", "s1")
		if err != nil {
			return nil, fmt.Errorf("issue ticket %d: %w", i, err)
		}
		tokens[i] = token
	}
	issued := time.Since(start) / ticketRuns
	run := runTickets(issuer, tokens)
	resent := runTickets(issuer, tokens)
	micros := func(d time.Duration) float64 { return float64(d.Nanoseconds()) / float64(time.Microsecond) }
	return []bench.Result{
		{Name: "ticket_issue_cost", Value: micros(issued), Unit: "us", Informative: true},
		{Name: "ticket_run_cost", Value: micros(run), Unit: "us", Informative: true},
		{Name: "ticket_resend_cost", Value: micros(resent), Unit: "us", Informative: true},
		{Name: "ticket_issue_and_run_cost", Value: micros(issued + run), Unit: "us", Bound: maxTicketMicros, LowerIsBetter: true},
	}, nil
}

// runTickets submits a request with each token and returns the mean duration of a submission.
func runTickets(issuer *ticket.Issuer, tokens []string) time.Duration {
	ctx, body := context.Background(), []byte(`{"order":1}`)
	start := time.Now()
	for _, token := range tokens {
		issuer.Run(ctx, token, body)
	}
	return time.Since(start) / time.Duration(len(tokens))
}

// fakeFleet provides a fixed view and bundle, and one target that replies immediately.
type fakeFleet struct{}

// View returns a view of one VM.
func (fakeFleet) View() *membership.View {
	return &membership.View{Self: membership.Member{ID: "vm1", Incarnation: ident.Incarnation{Token: "i1"}}}
}

// Current returns a bundle with one shard.
func (fakeFleet) Current() *config.InForce {
	shards := []bundle.Shard{{ID: "s1", Replicas: []ident.TargetID{"t1"}}}
	return &config.InForce{Verified: &bundle.Verified{Bundle: &bundle.Bundle{Services: []bundle.Service{
		{ID: "orders", Snapshots: []bundle.Snapshot{{ID: "v1", Shards: shards}}}}}}}
}

// Choose returns the only replica.
func (fakeFleet) Choose(_ *bundle.Service, s *bundle.Shard, tried []ident.TargetID) (ident.TargetID, bool) {
	return s.Replicas[0], len(tried) == 0
}

// Send returns the target's reply immediately.
func (fakeFleet) Send(context.Context, outcome.LeafRequest) outcome.LeafResult {
	return outcome.LeafResult{Status: outcome.LeafOK, Body: []byte(`{"ok":true}`)}
}
