package lifecycle_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/lifecycle"
)

type leaver struct {
	told  int
	calls chan struct{}
}

func (l *leaver) Leave(done func(int)) {
	l.calls <- struct{}{}
	done(l.told)
}

type harness struct {
	state  *lifecycle.State
	clock  *clockwork.FakeClock
	leaver *leaver
	result chan error
}

// start returns a ready state.
func start(t *testing.T, told int) *harness {
	t.Helper()
	h := &harness{lifecycle.New(), clockwork.NewFakeClock(), &leaver{told, make(chan struct{}, 1)}, make(chan error, 1)}
	h.state.SetReady(true)
	require.True(t, h.state.Ready())
	return h
}

// run begins a drain and returns when it waits for the balancer.
func (h *harness) run(t *testing.T) {
	t.Helper()
	d := &lifecycle.Drain{State: h.state, Clock: h.clock, Leaver: h.leaver, BalancerDelay: 2 * time.Second, Timeout: 20 * time.Second}
	go func() { h.result <- d.Run(context.Background()) }()
	synctest.Wait()
}

// refuse passes the balancer delay and returns when the peers are told.
func (h *harness) refuse() {
	h.clock.Advance(2 * time.Second)
	<-h.leaver.calls
}

// Guards against a stop that refuses requests before the balancer knows, that cuts off accepted ones, or that ends
// while peers still send work for owned targets.
func TestDrainFinishesAcceptedWork(t *testing.T) { synctest.Test(t, drainFinishesAcceptedWork) }

func drainFinishesAcceptedWork(t *testing.T) {
	h := start(t, 4)
	end, ok := h.state.Begin()
	require.True(t, ok)
	h.run(t)
	require.False(t, h.state.Ready())
	h.state.SetReady(true)
	require.False(t, h.state.Ready(), "a bundle that comes during the stop must not turn readiness on")
	endSecond, ok := h.state.Begin()
	require.True(t, ok, "the balancer may still send requests")
	h.refuse()
	_, ok = h.state.Begin()
	require.False(t, ok)
	require.Equal(t, uint64(1), h.state.Refused())
	endPeer := h.state.BeginPeer()
	end()
	endSecond()
	synctest.Wait()
	require.Empty(t, h.result)
	h.clock.Advance(lifecycle.PeersKnow - time.Millisecond)
	synctest.Wait()
	endEarly := h.state.BeginPeer()
	endPeer()
	endEarly()
	synctest.Wait()
	require.Empty(t, h.result, "peers may still send for PeersKnow")
	endLate := h.state.BeginPeer()
	h.clock.Advance(time.Millisecond)
	synctest.Wait()
	require.Empty(t, h.result, "an accepted call of a peer is finished")
	endLate()
	require.NoError(t, <-h.result)
}

// Guards against a stop that ends while a caller still waits for an accepted request.
func TestDrainWaitsForCallers(t *testing.T) { synctest.Test(t, drainWaitsForCallers) }

func drainWaitsForCallers(t *testing.T) {
	h := start(t, 4)
	end, _ := h.state.Begin()
	h.run(t)
	h.refuse()
	synctest.Wait()
	h.clock.Advance(lifecycle.PeersKnow)
	synctest.Wait()
	require.Empty(t, h.result)
	end()
	require.NoError(t, <-h.result)
}

// Guards against a stop without a bound, and against one that hides what it cut off.
func TestDrainIsBoundedAndNamesWhatItCutOff(t *testing.T) {
	synctest.Test(t, drainIsBoundedAndNamesWhatItCutOff)
}

func drainIsBoundedAndNamesWhatItCutOff(t *testing.T) {
	h := start(t, 0)
	_, _ = h.state.Begin()
	_ = h.state.BeginPeer()
	h.run(t)
	h.refuse()
	synctest.Wait()
	h.clock.Advance(20 * time.Second)
	var cut *lifecycle.CutOffError
	require.ErrorAs(t, <-h.result, &cut)
	require.Equal(t, &lifecycle.CutOffError{Callers: 1, Peers: 1}, cut)
}

// Guards against an operator who cannot end a drain: a second signal ends every wait of it.
func TestHurryEndsTheDrain(t *testing.T) { synctest.Test(t, hurryEndsTheDrain) }

func hurryEndsTheDrain(t *testing.T) {
	h := start(t, 4)
	_, _ = h.state.Begin()
	h.run(t)
	h.state.Hurry()
	var cut *lifecycle.CutOffError
	require.ErrorAs(t, <-h.result, &cut)
	require.True(t, cut.Hurried)
}

type check bool

func (c check) Ready() bool { return bool(c) }

// Guards against readiness that ignores the checks of plug-ins.
func TestReadinessNeedsEveryCheck(t *testing.T) {
	s := lifecycle.New()
	s.SetReady(true)
	s.AddCheck(check(true))
	require.True(t, s.Ready())
	s.AddCheck(check(false))
	require.False(t, s.Ready())
}
