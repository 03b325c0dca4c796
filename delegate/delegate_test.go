package delegate_test

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/coordinator"
	"teaselbank.example/teaselbank/delegate"
	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/membership"
)

// runner is a coordinator's side with fixed replies.
type runner struct {
	version  uint64
	search   func(ctx context.Context, s *forward.Search) (*forward.SearchReply, error)
	sendAll  func(ctx context.Context, r *forward.Relay, deliver func(*forward.RelayBatch) error) error
	searches atomic.Int64
}

func (r *runner) RunSearch(ctx context.Context, s *forward.Search) (*forward.SearchReply, error) {
	r.searches.Add(1)
	return r.search(ctx, s)
}

func (r *runner) SendAll(ctx context.Context, relay *forward.Relay, deliver func(*forward.RelayBatch) error) error {
	return r.sendAll(ctx, relay, deliver)
}

func (r *runner) ConfigurationVersion() uint64 { return r.version }

// failures records the VMs that were reported.
type failures struct{ reported atomic.Int64 }

func (f *failures) ReportFailure(ident.VMID) { f.reported.Add(1) }

// startServer serves a coordinator over a real socket and returns its address.
func startServer(t *testing.T, s *delegate.Server) string {
	_, h := peerv1connect.NewCoordinatorServiceHandler(s)
	server := httptest.NewUnstartedServer(h)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// newClient returns the client of a small VM that knows one coordinator, in its own zone or in zone b.
func newClient(address string, f *failures) *client {
	m := membership.Member{ID: "vm-large", Zone: "a", Address: address, State: membership.Alive, Capacity: 800}
	roles := &coordinator.Roles{Local: []membership.Member{m}, Remote: map[ident.Zone][]membership.Member{"b": {m}}}
	clock := clockwork.NewFakeClockAt(time.Now())
	return &client{clock: clock, Client: delegate.NewClient(delegate.Options{Roles: func() *coordinator.Roles { return roles }, Pace: coordinator.NewPace(100),
		Clock: clock, Dial: new(net.Dialer).DialContext, Failures: f, Logger: log.New(io.Discard)})}
}

func ready() bool { return true }

func never() time.Time { return time.Time{} }

func newSearch() *forward.Search {
	now := time.Now()
	return &forward.Search{Version: 3, Entry: "vm-small", Arrived: now, AnswerBy: now.Add(time.Hour), Request: &leafconn.Request{ID: "r1",
		Method: http.MethodGet, RequestURI: "/q/x?y=1", Host: "h.example", Header: http.Header{"X-One": {"1", "2"}}, Body: []byte("body"),
		Deadline: now.Add(time.Hour)}}
}

// client is a Client with a fake clock, so that a coordinator is avoided until the test says otherwise.
type client struct {
	*delegate.Client
	clock *clockwork.FakeClock
}

// afterFailure lets the time pass for which a coordinator is avoided after a failure.
func (c *client) afterFailure() { c.clock.Advance(10 * time.Second) }

// runUntilStarted runs a search until its coordinator has started it: the calls before may exceed their time limits on a
// busy machine.
func runUntilStarted(c *client, s *forward.Search) (*forward.SearchReply, error) {
	for {
		reply, err := c.Run(context.Background(), s)
		if !errors.Is(err, forward.ErrNotStarted) {
			return reply, err
		}
		c.afterFailure()
	}
}

// Guards against fields that are lost or changed between the entry VM and the coordinator.
func TestSearchAndReplyArriveWhole(t *testing.T) {
	want := &forward.SearchReply{Status: http.StatusOK, Signatures: []string{"s1", "s2"}, Missing: 3, Body: []byte("records"), Coordinator: "vm-large"}
	var got *forward.Search
	r := &runner{version: 3, search: func(_ context.Context, s *forward.Search) (*forward.SearchReply, error) {
		got = s
		return want, nil
	}}
	c := newClient(startServer(t, &delegate.Server{Runner: r, Pace: coordinator.NewPace(800), Ready: ready, OtherZoneContact: never}), new(failures))
	s := newSearch()
	reply, err := runUntilStarted(c, s)
	require.NoError(t, err)
	require.Equal(t, want, reply)
	require.Equal(t, s.Version, got.Version)
	require.Equal(t, s.Entry, got.Entry)
	require.WithinDuration(t, s.Request.Deadline, got.Request.Deadline, 30*time.Second)
	got.Request.Deadline = s.Request.Deadline
	require.Equal(t, s.Request, got.Request)
}

// Guards against searches at a VM that stops, that routes by another version, or that is slower than the entry VM.
func TestUnavailableCoordinatorGetsNoSearch(t *testing.T) {
	slow := coordinator.NewPace(800)
	slow.Observe(time.Now(), 1, time.Hour)
	for name, s := range map[string]*delegate.Server{
		"not ready":       {Runner: &runner{version: 3}, Pace: coordinator.NewPace(800), Ready: func() bool { return false }, OtherZoneContact: never},
		"another version": {Runner: &runner{version: 4}, Pace: coordinator.NewPace(800), Ready: ready, OtherZoneContact: never},
		"slower":          {Runner: &runner{version: 3}, Pace: slow, Ready: ready, OtherZoneContact: never},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newClient(startServer(t, s), new(failures)).Run(context.Background(), newSearch())
			require.ErrorIs(t, err, forward.ErrNotStarted)
			require.Zero(t, s.Runner.(*runner).searches.Load())
		})
	}
}

// Guards against a search that is sent to a VM that accepts connections but does not reply, and against a second one that
// waits for the same VM again.
func TestSilentCoordinatorIsAvoided(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			defer func() { _ = conn.Close() }()
		}
	}()
	f := new(failures)
	c := newClient(l.Addr().String(), f)
	_, err = c.Run(context.Background(), newSearch())
	require.ErrorIs(t, err, forward.ErrNotStarted)
	require.EqualValues(t, 1, f.reported.Load())
	_, err = c.Run(context.Background(), newSearch())
	require.ErrorIs(t, err, forward.ErrNotStarted)
	require.EqualValues(t, 1, f.reported.Load(), "a VM that just failed must not be asked again")
	c.afterFailure()
	_, err = c.Run(context.Background(), newSearch())
	require.ErrorIs(t, err, forward.ErrNotStarted)
	require.EqualValues(t, 2, f.reported.Load(), "it must be asked again later")
}

// Guards against a search that the entry VM runs once more after its coordinator broke off: targets may have it.
func TestCoordinatorThatBreaksOffMayHaveStarted(t *testing.T) {
	r := &runner{version: 3, search: func(context.Context, *forward.Search) (*forward.SearchReply, error) { panic(http.ErrAbortHandler) }}
	f := new(failures)
	c := newClient(startServer(t, &delegate.Server{Runner: r, Pace: coordinator.NewPace(800), Ready: ready, OtherZoneContact: never}), f)
	_, err := runUntilStarted(c, newSearch())
	require.Error(t, err)
	require.NotErrorIs(t, err, forward.ErrNotStarted)
	require.EqualValues(t, 1, r.searches.Load())
}

// Guards against a search that waits until its deadline for a coordinator that has died without closing its connections.
func TestSilentCoordinatorIsNoticedWhenTheResponseIsDue(t *testing.T) {
	stopped := make(chan struct{})
	var silent atomic.Bool
	r := &runner{version: 3, search: func(context.Context, *forward.Search) (*forward.SearchReply, error) {
		silent.Store(true)
		<-stopped
		return nil, errors.New("stopped")
	}}
	s := &delegate.Server{Runner: r, Pace: coordinator.NewPace(800), Ready: func() bool {
		if silent.Load() {
			<-stopped
		}
		return true
	}, OtherZoneContact: never}
	c := newClient(startServer(t, s), new(failures))
	t.Cleanup(func() { close(stopped) })
	search := newSearch()
	search.AnswerBy = time.Now()
	_, err := runUntilStarted(c, search)
	require.Error(t, err)
	require.NotErrorIs(t, err, forward.ErrNotStarted)
	require.ErrorContains(t, err, "no longer replies", "the search must not wait for its deadline")
}

// Guards against a search that goes on at the coordinator after its caller has left.
func TestCoordinatorLearnsThatTheCallerLeft(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	r := &runner{version: 3, search: func(ctx context.Context, _ *forward.Search) (*forward.SearchReply, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}}
	c := newClient(startServer(t, &delegate.Server{Runner: r, Pace: coordinator.NewPace(800), Ready: ready, OtherZoneContact: never}), new(failures))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	for errors.Is(run(ctx, c), forward.ErrNotStarted) && ctx.Err() == nil {
		c.afterFailure()
	}
	<-ended
}

// run runs a search and returns its error.
func run(ctx context.Context, c *client) error {
	_, err := c.Run(ctx, newSearch())
	return err
}

// Guards against a VM that takes its zone to be cut off although its coordinator has contact with another zone, and against
// one that takes a coordinator without contact for proof of it.
func TestCoordinatorTellsItsContactWithOtherZones(t *testing.T) {
	contact := time.Now().Add(-time.Hour)
	connected := &delegate.Server{Runner: &runner{}, Pace: coordinator.NewPace(800), Ready: ready, OtherZoneContact: func() time.Time { return contact }}
	at, ok := contactOf(newClient(startServer(t, connected), new(failures)))
	require.True(t, ok)
	require.WithinDuration(t, contact, at, 10*time.Second)
	isolated := &delegate.Server{Runner: &runner{}, Pace: coordinator.NewPace(800), Ready: ready, OtherZoneContact: never}
	_, ok = newClient(startServer(t, isolated), new(failures)).OtherZoneContact(context.Background())
	require.False(t, ok)
}

// contactOf asks until the coordinator replies: a call may exceed its time limit on a busy machine.
func contactOf(c *client) (at time.Time, ok bool) {
	for {
		if at, ok = c.OtherZoneContact(context.Background()); ok {
			return at, true
		}
		c.afterFailure()
	}
}

// Guards against results that are lost or changed on their way from a relay, and against a result of an unknown kind that
// counts as not sent.
func TestRelayedResultsArriveWhole(t *testing.T) {
	batches := []*forward.RelayBatch{
		{Results: []forward.RelayResult{{Index: 1, Status: forward.RelayRan, HTTPStatus: 200, Signature: "s", Took: time.Millisecond},
			{Index: 0, Status: forward.RelayRefused, HTTPStatus: 503}}, Records: []byte("records")},
		{Results: []forward.RelayResult{{Index: 2, Status: forward.RelayMisdirected, HTTPStatus: 421}, {Index: 3, Status: forward.RelayNotSent},
			{Index: 4, Status: forward.RelayBroken}, {Index: 5, Status: forward.RelayNotSent, RateLimit: 31.3}}},
	}
	var got *forward.Relay
	r := &runner{sendAll: func(_ context.Context, relay *forward.Relay, deliver func(*forward.RelayBatch) error) error {
		got = relay
		return errors.Join(deliver(batches[0]), deliver(batches[1]))
	}}
	c := newClient(startServer(t, &delegate.Server{Runner: r, Pace: coordinator.NewPace(800), Ready: ready, OtherZoneContact: never}), new(failures))
	require.True(t, c.Available("b"))
	require.False(t, c.Available("c"))
	relay := &forward.Relay{Request: newSearch().Request, TopRecords: 5, FlushAfter: 30 * time.Millisecond,
		Sends: []forward.RelaySend{{Service: "s0", Target: "i-1"}, {Service: "s1", Target: "i-2"}}}
	var received []*forward.RelayBatch
	require.NoError(t, c.SendAll(context.Background(), "b", relay, func(b *forward.RelayBatch) { received = append(received, b) }))
	require.Equal(t, batches, received)
	got.Request.Deadline = relay.Request.Deadline
	require.Equal(t, relay, got)
}

// Guards against a relay that nothing was sent to and that counts as possibly run, and against one that broke off and
// counts as not sent.
func TestFailedRelayStatesWhetherItWasReached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	relay := &forward.Relay{Request: newSearch().Request, Sends: []forward.RelaySend{{Service: "s0", Target: "i-1"}}}
	err = newClient(address, new(failures)).SendAll(context.Background(), "b", relay, func(*forward.RelayBatch) {})
	require.ErrorIs(t, err, leafconn.ErrNotSent)

	r := &runner{sendAll: func(context.Context, *forward.Relay, func(*forward.RelayBatch) error) error {
		panic(http.ErrAbortHandler)
	}}
	c := newClient(startServer(t, &delegate.Server{Runner: r, Pace: coordinator.NewPace(800), Ready: ready, OtherZoneContact: never}), new(failures))
	err = c.SendAll(context.Background(), "b", relay, func(*forward.RelayBatch) {})
	require.Error(t, err)
	require.NotErrorIs(t, err, leafconn.ErrNotSent)
}

// Guards against a limit that no target can have stated, from a relay, and that stops all requests or allows any number.
func TestRelayedLimitThatIsNoRate(t *testing.T) {
	limits := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0}
	r := &runner{sendAll: func(_ context.Context, _ *forward.Relay, deliver func(*forward.RelayBatch) error) error {
		b := &forward.RelayBatch{}
		for i, limit := range limits {
			b.Results = append(b.Results, forward.RelayResult{Index: i, Status: forward.RelayNotSent, RateLimit: limit})
		}
		return deliver(b)
	}}
	c := newClient(startServer(t, &delegate.Server{Runner: r, Pace: coordinator.NewPace(800), Ready: ready, OtherZoneContact: never}), new(failures))
	relay := &forward.Relay{Request: newSearch().Request, Sends: []forward.RelaySend{{Service: "s0", Target: "i-1"}}}
	require.NoError(t, c.SendAll(context.Background(), "b", relay, func(b *forward.RelayBatch) {
		require.Len(t, b.Results, len(limits))
		for _, result := range b.Results {
			require.Zero(t, result.RateLimit)
		}
	}))
}
