package hedge_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/hedge"
)

// Hedges and retries together must never exceed their share of first sends, in whatever order they come.
func TestExtraSendsStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := hedge.NewGroup(clockwork.NewFakeClock()).Service("subventii")
		percent := rapid.IntRange(0, 50).Draw(t, "percent")
		first, extra := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(1, 104).Draw(t, "sends")
				first += n
				s.First(n, percent)
			default:
				if s.Take() == hedge.Allowed {
					extra++
					if rapid.Bool().Draw(t, "unsent") {
						extra--
						s.Return()
					}
				}
			}
			if extra*100 > first*percent {
				t.Fatalf("%d extra sends over %d first sends exceed %d%%", extra, first, percent)
			}
		}
	})
}

// While most first sends are slow, extra sends would add load to what is overloaded; they return once it is over.
func TestExtraSendsAreOffWhileEverythingIsSlow(t *testing.T) {
	s := hedge.NewGroup(clockwork.NewFakeClock()).Service("subventii")
	s.First(10_000, 5)
	s.Judged(990, 10)
	require.Equal(t, hedge.Allowed, s.Take())
	s.Judged(0, 52)
	require.Equal(t, hedge.AllSlow, s.Take(), "one slow 52-leaf search is enough")
	s.Judged(200, 10)
	require.Equal(t, hedge.Allowed, s.Take())
}

// A saved-up budget must not allow a burst without bound after a long calm period.
func TestSavedTokensAreBounded(t *testing.T) {
	s := hedge.NewGroup(clockwork.NewFakeClock()).Service("subventii")
	s.First(1_000_000, 5)
	taken := 0
	for s.Take() == hedge.Allowed {
		taken++
	}
	require.Equal(t, 256, taken)
	require.Equal(t, hedge.NoToken, s.Take())
}

// A hedge delay from too few or from outdated replies sends hedges too early or too late.
func TestDelayIsTheRecentP95(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := hedge.NewGroup(clock)
	s := g.Service("subventii")
	for i := range 90 {
		s.Observe(time.Duration(i+1) * time.Millisecond)
	}
	_, known := s.Delay()
	require.False(t, known, "90 replies are too few")
	for i := range 1000 {
		s.Observe(time.Duration(i%100+1) * time.Millisecond)
	}
	delay, known := s.Delay()
	require.True(t, known)
	require.InEpsilon(t, 95*time.Millisecond, delay, 0.03)
	for range 4 {
		clock.Advance(11 * time.Second)
		for range 200 {
			s.Observe(time.Millisecond)
		}
	}
	delay, _ = s.Delay()
	require.InEpsilon(t, time.Millisecond, delay, 0.03, "replies of earlier windows are forgotten")
	_, known = g.Service("dispecerat").Delay()
	require.False(t, known, "services are estimated apart")
}
