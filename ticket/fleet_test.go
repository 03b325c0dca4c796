package ticket

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
)

// What the fake targets do with a request.
const (
	replies    = iota // runs the request and replies
	refuses           // replies that it did not run the request
	losesReply        // runs the request; the reply is lost
	holdsReply        // runs the request; the reply is sent once the test closes fleet.release
)

// fleet is a set of VMs in front of fake targets that count the runs of each request.
type fleet struct {
	clock   *clockwork.FakeClock
	members []membership.Member
	issuers []*Issuer
	// partitioned holds the broken links as pairs of sending and receiving VM.
	partitioned map[[2]int]bool
	// runs counts the runs by request body.
	runs     map[string]int
	behavior int
	// pause is how long a process is paused between the claim of a ticket and the send.
	pause     time.Duration
	staleView bool
	// entered receives a value when a target holds a reply; closing release lets the target reply.
	entered  chan struct{}
	release  chan struct{}
	replicas []ident.TargetID
}

type testingT interface {
	require.TestingT
	Helper()
}

func newFleet(t testingT, vms int, maxRecords int) *fleet {
	t.Helper()
	f := &fleet{clock: clockwork.NewFakeClock(), partitioned: map[[2]int]bool{}, runs: map[string]int{},
		entered: make(chan struct{}, 1), release: make(chan struct{}), replicas: []ident.TargetID{"t1", "t2"}}
	for n := range vms {
		f.members = append(f.members, membership.Member{ID: ident.VMID(fmt.Sprintf("vm%d", n)), Address: fmt.Sprint(n), State: membership.Alive})
		f.issuers = append(f.issuers, nil)
		f.restart(n, maxRecords)
	}
	return f
}

func (f *fleet) restart(n, maxRecords int) {
	f.members[n].Incarnation = ident.NewIncarnation(f.clock.Now())
	f.issuers[n] = NewIssuer(Options{Clock: f.clock, Viewer: vm{f, n}, Source: f, Chooser: f, Sender: f, MaxRecords: maxRecords})
}

// vm is the membership view and the network of one VM.
type vm struct {
	f *fleet
	n int
}

func (v vm) View() *membership.View {
	view := membership.NewView(v.f.members[v.n], v.f.members, 1, v.f.clock.Now())
	view.Stale = v.f.staleView
	return view
}

func (v vm) RunTicket(ctx context.Context, address, token string, body []byte) (Outcome, error) {
	var to int
	_, _ = fmt.Sscan(address, &to)
	if v.f.partitioned[[2]int{v.n, to}] {
		return Outcome{}, errors.New("dial failed")
	}
	o := v.f.issuers[to].Run(ctx, token, body)
	if v.f.partitioned[[2]int{to, v.n}] {
		return Outcome{}, errors.New("reply lost")
	}
	return o, nil
}

func (f *fleet) Current() *config.InForce {
	shards := []bundle.Shard{{ID: "s1", Replicas: f.replicas}}
	return &config.InForce{Verified: &bundle.Verified{Bundle: &bundle.Bundle{Version: 1, Services: []bundle.Service{{ID: "orders",
		Snapshots: []bundle.Snapshot{{ID: "v1", Shards: append([]bundle.Shard{{ID: "s0"}}, shards...)}, {ID: "v2", Shards: shards}}}}}}}
}

// Choose pauses the process: it is called between the claim of a ticket and the send.
func (f *fleet) Choose(_ *bundle.Service, s *bundle.Shard, tried []ident.TargetID) (ident.TargetID, bool) {
	f.clock.Advance(f.pause)
	if len(tried) == len(s.Replicas) {
		return "", false
	}
	return s.Replicas[len(tried)], true
}

func (f *fleet) Send(_ context.Context, r outcome.LeafRequest) outcome.LeafResult {
	if f.behavior == refuses {
		return outcome.NotRunResult(outcome.ReasonTargetShed, "")
	}
	f.runs[string(r.Query)]++
	switch f.behavior {
	case losesReply:
		return outcome.UnknownResult(outcome.ReasonConnectionLost, "")
	case holdsReply:
		f.entered <- struct{}{}
		<-f.release
	}
	return outcome.LeafResult{Status: outcome.LeafOK, Body: r.Query}
}

func (f *fleet) submit(ctx context.Context, entry int, token, body string) Outcome {
	return (&Router{Issuer: f.issuers[entry], Viewer: vm{f, entry}, Peer: vm{f, entry}}).Run(ctx, token, []byte(body))
}

// A request must run at most once, and must not be reported as not_run after it ran, under any interleaving of resends
// through any VM, restarts, pauses, ticket expiry and one-way partitions.
func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 3
		f := newFleet(t, vms, 4)
		first, _, err := f.issuers[0].Issue("orders", "s1")
		require.NoError(t, err)
		tokens := []string{first}
		answered := map[string]map[outcome.Kind]bool{}
		anyVM := rapid.IntRange(0, vms-1)
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				if token, _, err := f.issuers[anyVM.Draw(t, "vm")].Issue("orders", "s1"); err == nil {
					tokens = append(tokens, token)
				}
			},
			"submit": func(t *rapid.T) {
				n := rapid.SampledFrom([]int{len(tokens) - 1, 0}).Draw(t, "ticket")
				f.behavior = rapid.IntRange(replies, losesReply).Draw(t, "target")
				f.pause = rapid.SampledFrom([]time.Duration{0, 0, 0, Lifetime}).Draw(t, "pause")
				f.staleView = rapid.IntRange(0, 4).Draw(t, "stale") == 0
				body := fmt.Sprint(n)
				o := f.submit(context.Background(), anyVM.Draw(t, "entry"), tokens[n], body)
				if answered[body] == nil {
					answered[body] = map[outcome.Kind]bool{}
				}
				answered[body][o.Kind] = true
			},
			"restart": func(t *rapid.T) { f.restart(anyVM.Draw(t, "vm"), 4) },
			"partition": func(t *rapid.T) {
				link := [2]int{anyVM.Draw(t, "from"), anyVM.Draw(t, "to")}
				f.partitioned[link] = !f.partitioned[link]
			},
			"advance": func(t *rapid.T) {
				f.clock.Advance(rapid.SampledFrom([]time.Duration{time.Second, Lifetime, RecordRetention}).Draw(t, "by"))
			},
			"": func(t *rapid.T) {
				for body, runs := range f.runs {
					require.LessOrEqual(t, runs, 1, "request %s ran more than once", body)
					require.False(t, answered[body][outcome.NotRun], "request %s was reported as not_run although it ran", body)
				}
			},
		})
	})
}

// A resend that arrives while the target runs the first submission must wait for its outcome and not run again.
func TestResendWaitsForTheOutcomeOfTheFirst(t *testing.T) {
	f := newFleet(t, 2, 4)
	f.behavior = holdsReply
	token, _, err := f.issuers[0].Issue("orders", "")
	require.NoError(t, err)
	first, resend := make(chan Outcome, 1), make(chan Outcome, 1)
	go func() { first <- f.submit(context.Background(), 0, token, "1") }()
	<-f.entered
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	afterCancel := f.submit(cancelled, 0, token, "1")
	assert.Equal(t, Outcome{Kind: outcome.Unknown, Reason: outcome.ReasonTicketInProgress, Recorded: true}, afterCancel)
	assert.Equal(t, outcome.ReasonDifferentBody, f.submit(context.Background(), 0, token, "2").Reason)
	go func() { resend <- f.submit(context.Background(), 1, token, "1") }()
	close(f.release)
	assert.Equal(t, Outcome{Kind: outcome.Complete, Body: []byte("1")}, <-first)
	assert.Equal(t, Outcome{Kind: outcome.Complete, Body: []byte("1"), Recorded: true}, <-resend)
	assert.Equal(t, 1, f.runs["1"])
}

// After an outcome of not_run, a delayed copy of the same request must not run, which would make that outcome false.
func TestNotRunIsFinal(t *testing.T) {
	f := newFleet(t, 1, 4)
	token, _, err := f.issuers[0].Issue("orders", "s1")
	require.NoError(t, err)
	f.behavior = refuses
	assert.Equal(t, outcome.NotRun, f.submit(context.Background(), 0, token, "1").Kind)
	f.behavior = replies
	assert.Equal(t, outcome.NotRun, f.submit(context.Background(), 0, token, "1").Kind)
	assert.Zero(t, f.runs["1"])
}

// A full table must refuse new tickets rather than evict a record before its retention is over. An expired ticket
// without a record must get not_run only during the retention, when a used ticket would still have a record. Afterwards
// it must get unknown, because the ticket may have been used.
func TestTableIsBoundedAndRecordsAreRetained(t *testing.T) {
	f := newFleet(t, 1, 2)
	used, _, err := f.issuers[0].Issue("orders", "s1")
	require.NoError(t, err)
	unused, _, err := f.issuers[0].Issue("orders", "s1")
	require.NoError(t, err)
	_, _, err = f.issuers[0].Issue("orders", "s1")
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, outcome.ReasonCapacity, refused.Reason)
	require.Equal(t, outcome.Complete, f.submit(context.Background(), 0, used, "1").Kind)

	f.clock.Advance(Lifetime + RecordRetention - time.Nanosecond)
	_, _, err = f.issuers[0].Issue("orders", "s1")
	require.NoError(t, err, "the record of an unused ticket must be removed after its retention, so that a new ticket can be issued")
	_, _, err = f.issuers[0].Issue("orders", "s1")
	require.ErrorAs(t, err, &refused, "the record of the used ticket must still be kept, so that the table is full")
	assert.Equal(t, Outcome{Kind: outcome.Complete, Body: []byte("1"), Recorded: true}, f.submit(context.Background(), 0, used, "1"))
	assert.Equal(t, notRun(outcome.ReasonTicketExpired), f.submit(context.Background(), 0, unused, "2"))

	f.clock.Advance(time.Second)
	_, _, err = f.issuers[0].Issue("orders", "s1")
	require.NoError(t, err)
	assert.Equal(t, outcome.Unknown, f.submit(context.Background(), 0, used, "1").Kind)
	assert.Equal(t, outcome.Unknown, f.submit(context.Background(), 0, unused, "2").Kind)
	assert.Equal(t, 1, f.runs["1"])
}

// Issue must refuse a shard that is not in the newest snapshot, and Run a forged ticket. After a lost reply, no second
// replica may be tried, because the first may have run the request.
func TestRefusalsAndNoRetryAfterLostReply(t *testing.T) {
	f := newFleet(t, 1, 4)
	_, _, err := f.issuers[0].Issue("orders", "s0")
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, "shard", refused.Field, "the refusal must name the shard, because s0 is not in the newest snapshot")
	token, _, err := f.issuers[0].Issue("orders", "s1")
	require.NoError(t, err)
	forged := token[:len(token)-4] + "AAAA"
	assert.Equal(t, outcome.ReasonTicketInvalid, f.submit(context.Background(), 0, forged, "1").Reason)
	f.behavior = losesReply
	assert.Equal(t, outcome.Unknown, f.submit(context.Background(), 0, token, "1").Kind)
	assert.Equal(t, 1, f.runs["1"])
}

// A process that was paused between the claim of a ticket and the send must not send the request if the ticket has
// expired meanwhile, or if the process's view is stale.
func TestNothingIsSentAfterAPause(t *testing.T) {
	for reason, pause := range map[outcome.Reason]time.Duration{outcome.ReasonTicketExpired: Lifetime, outcome.ReasonStaleView: 0} {
		f := newFleet(t, 1, 4)
		token, _, err := f.issuers[0].Issue("orders", "s1")
		require.NoError(t, err)
		f.pause, f.staleView = pause, reason == outcome.ReasonStaleView
		assert.Equal(t, notRun(reason), f.submit(context.Background(), 0, token, "1"))
		assert.Empty(t, f.runs)
	}
}

// ParseUnverified must not panic on arbitrary bytes from callers, and must return an error unless the issuer and nonce
// are set.
func FuzzParse(f *testing.F) {
	token, _ := newKey().sign(Claims{VM: "a", Incarnation: "b", Nonce: "c"})
	f.Add(token)
	f.Add("e30.e30")
	f.Fuzz(func(t *testing.T, token string) {
		c, err := ParseUnverified(token)
		require.Equal(t, err == nil, c.Nonce != "" && c.VM != "" && c.Incarnation != "")
	})
}
