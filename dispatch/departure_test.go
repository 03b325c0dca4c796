package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/dispatch"
)

// Guards against requests that reach a target later than three seconds after it has said that it is leaving. The replay is a
// release: the replicas of a shard leave one after the other and say so in some of their replies, in any order of arrival.
func TestReplayReleaseOfReplicas(t *testing.T) {
	const replicas, drain = 3, 3 * time.Second
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		start := time.Unix(1000, 0)
		var departures [replicas]dispatch.Departure
		var announced [replicas]time.Time
		refused := 0
		for at := time.Duration(0); at < 30*time.Second; at += time.Duration(random.Int64N(int64(40 * time.Millisecond))) {
			now := start.Add(at)
			chosen := -1
			for i := range departures {
				switch stage := departures[i].Stage(now); {
				case stage == dispatch.Staying:
					chosen = i
				case stage == dispatch.LastResort && chosen < 0:
					chosen = i
				}
			}
			if chosen < 0 {
				refused++
				continue
			}
			if !announced[chosen].IsZero() {
				require.Less(t, now.Sub(announced[chosen]), drain, "seed %d", seed)
			}
			if leaves := start.Add(time.Duration(chosen*8) * time.Second); now.After(leaves) && random.IntN(2) == 0 {
				first := departures[chosen].Announced(now)
				require.Equal(t, announced[chosen].IsZero(), first)
				if first {
					announced[chosen] = now
				}
			}
		}
		require.Positive(t, refused, "nothing is sent once all replicas have left")
	}
}
