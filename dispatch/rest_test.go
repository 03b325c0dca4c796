package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/dispatch"
)

// Guards against requests to a target in the time for which it wants none, also if a later reply states less, and against the
// whole fleet coming back at once. The replay is a target that turns away a fleet and states a time again and again.
func TestReplayRestOfATarget(t *testing.T) {
	for vms, seeds := range map[int]uint64{8: 20, 295: 2} {
		for seed := range seeds {
			replayRest(t, rand.New(rand.NewPCG(seed, uint64(vms))), vms) //nolint:gosec // a small number
		}
	}
}

func replayRest(t *testing.T, random *rand.Rand, vms int) {
	type inFlight struct {
		vm        int
		sent, end time.Time
	}
	rests := make([]dispatch.Rest, vms)
	stated := make([]time.Time, vms)
	var running []inFlight
	start := time.Unix(1000, 0)
	// The target serves one request in 20 ms and turns away what exceeds 12 at once, for 0.5 to 3 s.
	const service, slots, step = 20 * time.Millisecond, 12, 2 * time.Millisecond
	served := 0
	for at := time.Duration(0); at < 20*time.Second; at += step {
		now := start.Add(at)
		for len(running) > 0 && !now.Before(running[0].end) {
			rests[running[0].vm].Ended(running[0].sent, true)
			running = running[1:]
			served++
		}
		arrivals := 0
		for i := range rests {
			if random.Float64() > 0.2 || !rests[i].Take(now) {
				continue
			}
			arrivals++
			require.False(t, now.Before(stated[i]), "VM %d sends %s before the end", i, stated[i].Sub(now))
			if len(running) < slots {
				running = append(running, inFlight{i, now, now.Add(service)})
				continue
			}
			d := time.Duration(500+random.IntN(2500)) * time.Millisecond
			rests[i].Ended(now, false)
			rests[i].Stated(now, d, random.Float64())
			if end := now.Add(d); end.After(stated[i]) {
				stated[i] = end
			}
			rests[i].Stated(now, d/2, random.Float64())
		}
		if at > 5*time.Second {
			require.LessOrEqual(t, arrivals, max(8, vms/8), "the fleet must not come back at once")
		}
	}
	require.Greater(t, served, 1000)
}

// Guards against values that stop a target for good or have no effect on it.
func TestRestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	var r dispatch.Rest
	require.False(t, r.Stated(now, 0, 0))
	require.False(t, r.Stated(now, -time.Second, 0))
	require.True(t, r.Take(now))
	require.True(t, r.Stated(now, 1<<62, 1))
	require.False(t, r.CanSend(now.Add(59*time.Minute)))
	require.LessOrEqual(t, r.Remaining(now), time.Hour+time.Second)
	require.True(t, r.CanSend(now.Add(61*time.Minute)))
}

// Guards against a trial whose end is never seen and that keeps a target unused.
func TestRestTrialThatDoesNotEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	var r dispatch.Rest
	r.Stated(now, time.Second, 0)
	after := now.Add(time.Second)
	require.True(t, r.Take(after))
	require.False(t, r.Take(after.Add(time.Millisecond)), "one request at a time")
	require.True(t, r.Take(after.Add(2*time.Second)))
	r.Ended(now, true)
	require.False(t, r.Take(after.Add(2*time.Second)), "the end of an earlier request shows nothing")
	r.Ended(after, true)
	require.True(t, r.Take(after.Add(2*time.Second)))
	require.True(t, r.Take(after.Add(2*time.Second)))
}
