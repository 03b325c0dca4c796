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
	notified int
	calls    chan struct{}
}

func (l *leaver) Leave(done func(int)) {
	l.calls <- struct{}{}
	done(l.notified)
}

type harness struct {
	state  *lifecycle.State
	clock  *clockwork.FakeClock
	leaver *leaver
	result chan error
}

// start returns a harness whose state is ready and whose leaver reports that it notified the given number of peers.
func start(t *testing.T, notified int) *harness {
	t.Helper()
	h := &harness{lifecycle.New(), clockwork.NewFakeClock(), &leaver{notified, make(chan struct{}, 1)}, make(chan error, 1)}
	h.state.SetReady(true)
	require.True(t, h.state.Ready())
	return h
}

// startDrain starts a drain and returns when the drain waits for the balancer delay.
func (h *harness) startDrain(t *testing.T) {
	t.Helper()
	d := &lifecycle.Drain{State: h.state, Clock: h.clock, Leaver: h.leaver, BalancerDelay: 2 * time.Second, Timeout: 20 * time.Second}
	go func() { h.result <- d.Run(context.Background()) }()
	synctest.Wait()
}

// refuse advances the clock past the balancer delay and returns when the drain announces the leave.
func (h *harness) refuse() {
	h.clock.Advance(2 * time.Second)
	<-h.leaver.calls
}

// Guards against a drain that refuses requests before the balancer has noticed that the VM is not ready, that cuts off
// accepted requests, or that ends while peers still send work for targets that this VM owns.
func TestDrainFinishesAcceptedWork(t *testing.T) { synctest.Test(t, drainFinishesAcceptedWork) }

func drainFinishesAcceptedWork(t *testing.T) {
	h := start(t, 4)
	end, ok := h.state.Begin()
	require.True(t, ok)
	h.startDrain(t)
	require.False(t, h.state.Ready())
	h.state.SetReady(true)
	require.False(t, h.state.Ready(), "a bundle that arrives during the drain must not turn readiness on")
	endSecond, ok := h.state.Begin()
	require.True(t, ok, "requests must be accepted during the balancer delay, because the balancer may still send them")
	h.refuse()
	_, ok = h.state.Begin()
	require.False(t, ok)
	require.Equal(t, uint64(1), h.state.Refused())
	endPeer := h.state.BeginPeer()
	end()
	endSecond()
	synctest.Wait()
	require.Empty(t, h.result)
	h.clock.Advance(lifecycle.LeavePropagation - time.Millisecond)
	synctest.Wait()
	endEarly := h.state.BeginPeer()
	endPeer()
	endEarly()
	synctest.Wait()
	require.Empty(t, h.result, "the drain must not end before LeavePropagation has passed, because peers may still send work")
	endLate := h.state.BeginPeer()
	h.clock.Advance(time.Millisecond)
	synctest.Wait()
	require.Empty(t, h.result, "the drain must wait for an accepted call of a peer")
	endLate()
	require.NoError(t, <-h.result)
}

// Guards against a drain that ends while an accepted request of a caller is still running.
func TestDrainWaitsForCallers(t *testing.T) { synctest.Test(t, drainWaitsForCallers) }

func drainWaitsForCallers(t *testing.T) {
	h := start(t, 4)
	end, _ := h.state.Begin()
	h.startDrain(t)
	h.refuse()
	synctest.Wait()
	h.clock.Advance(lifecycle.LeavePropagation)
	synctest.Wait()
	require.Empty(t, h.result)
	end()
	require.NoError(t, <-h.result)
}

// Guards against a drain that does not end at its timeout, and against one that does not report the requests it cut off.
func TestDrainIsBoundedAndNamesWhatItCutOff(t *testing.T) {
	synctest.Test(t, drainIsBoundedAndNamesWhatItCutOff)
}

func drainIsBoundedAndNamesWhatItCutOff(t *testing.T) {
	h := start(t, 0)
	_, _ = h.state.Begin()
	_ = h.state.BeginPeer()
	h.startDrain(t)
	h.refuse()
	synctest.Wait()
	h.clock.Advance(20 * time.Second)
	var cut *lifecycle.CutOffError
	require.ErrorAs(t, <-h.result, &cut)
	require.Equal(t, &lifecycle.CutOffError{Callers: 1, Peers: 1}, cut)
}

// Guards against a drain that an operator cannot end: ForceStop, which a second signal calls, ends each of its waits.
func TestSecondSignalEndsTheDrain(t *testing.T) { synctest.Test(t, secondSignalEndsTheDrain) }

func secondSignalEndsTheDrain(t *testing.T) {
	h := start(t, 4)
	_, _ = h.state.Begin()
	h.startDrain(t)
	h.state.ForceStop()
	var cut *lifecycle.CutOffError
	require.ErrorAs(t, <-h.result, &cut)
	require.True(t, cut.Forced)
}

type check bool

func (c check) Ready() bool { return bool(c) }

// Guards against readiness that ignores the checks added by plug-ins.
func TestReadinessNeedsEveryCheck(t *testing.T) {
	s := lifecycle.New()
	s.SetReady(true)
	s.AddCheck(check(true))
	require.True(t, s.Ready())
	s.AddCheck(check(false))
	require.False(t, s.Ready())
}
