package hedge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/hedge"
	"teaselbank.example/teaselbank/ident"
)

// Guards against hedges and retries together exceeding their share of first sends, in any order of calls.
func TestExtraSendsStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := hedge.NewServices(clockwork.NewFakeClock()).Service("subventii")
		percent := rapid.IntRange(0, 50).Draw(t, "percent")
		first, extra := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(1, 104).Draw(t, "sends")
				first += n
				s.RecordFirstSends(n, percent)
			default:
				if s.Take() == hedge.Allowed {
					extra++
					if rapid.Bool().Draw(t, "unsent") {
						extra--
						s.Refund()
					}
				}
			}
			if extra*100 > first*percent {
				t.Fatalf("%d extra sends over %d first sends exceed %d%%", extra, first, percent)
			}
		}
	})
}

// Guards against extra sends that add load to overloaded targets: they must be denied while too many first sends are
// slow, and allowed again afterwards.
func TestExtraSendsAreOffWhileEverythingIsSlow(t *testing.T) {
	s := hedge.NewServices(clockwork.NewFakeClock()).Service("subventii")
	s.RecordFirstSends(10_000, 5)
	s.RecordDelays(990, 10)
	require.Equal(t, hedge.Allowed, s.Take())
	s.RecordDelays(0, 52)
	require.Equal(t, hedge.AllSlow, s.Take(), "one slow search with 52 leaf requests must turn extra sends off")
	s.RecordDelays(200, 10)
	require.Equal(t, hedge.Allowed, s.Take())
}

// Guards against an unbounded burst of extra sends after a long period in which few were needed.
func TestSavedTokensAreBounded(t *testing.T) {
	s := hedge.NewServices(clockwork.NewFakeClock()).Service("subventii")
	s.RecordFirstSends(1_000_000, 5)
	taken := 0
	for s.Take() == hedge.Allowed {
		taken++
	}
	require.Equal(t, 256, taken)
	require.Equal(t, hedge.NoToken, s.Take())
}

// Guards against a hedge delay from too few or outdated latencies, which would send hedges too early or too late.
func TestDelayIsTheRecentP95(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := hedge.NewServices(clock)
	s := g.Service("subventii")
	for i := range 90 {
		s.Observe(time.Duration(i+1) * time.Millisecond)
	}
	_, known := s.Delay()
	require.False(t, known, "the delay must be unknown after only 90 replies")
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
	require.InEpsilon(t, time.Millisecond, delay, 0.03, "latencies of earlier windows must no longer count")
	_, known = g.Service("dispecerat").Delay()
	require.False(t, known, "each service must have its own estimate")
}

// Replays searches over 52 shards of which half have lost the replica that is asked first, without a reply: four searches
// are in progress before the first hedges. Guards against a budget that takes the lost targets for an overload, denies
// the hedges, and leaves the shards out of the answers.
func TestReplayLostTargetsDoNotTurnExtraSendsOff(t *testing.T) {
	const searches, shards = 4, 52
	s := hedge.NewServices(clockwork.NewFakeClock()).Service("subventii")
	s.RecordFirstSends(10_000, 5)
	var lost []ident.TargetID
	for i := range shards / 2 {
		lost = append(lost, ident.TargetID(fmt.Sprint("t", i)))
	}
	for range searches {
		s.RecordDelays(shards/2, 0)
		s.RecordExceeded(lost)
		for range lost {
			require.Equal(t, hedge.Allowed, s.Take())
		}
	}
}

// Guards against an overload that no longer turns extra sends off: targets that all reply late are counted with each
// search, and so are targets that stay silent for long.
func TestSlowTargetsTurnExtraSendsOff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for name, between := range map[string]func(s *hedge.Service, target ident.TargetID){
		"late replies": func(s *hedge.Service, target ident.TargetID) { s.RecordReply(target) },
		"silence":      func(*hedge.Service, ident.TargetID) { clock.Advance(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			s := hedge.NewServices(clock).Service("subventii")
			s.RecordFirstSends(10_000, 5)
			target := ident.TargetID("t")
			for range 52 {
				s.RecordExceeded([]ident.TargetID{target})
				between(s, target)
			}
			require.Equal(t, hedge.AllSlow, s.Take())
		})
	}
}
