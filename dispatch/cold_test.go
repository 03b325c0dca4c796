package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/dispatch"
)

// Guards against all VMs together sending more requests a second to a cold target than the target's bound, and against
// no VM sending to the target although the bound allows some requests.
func TestReplayFleetMeetsColdTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 80).Draw(t, "vms")
		rate := rapid.Float64Range(0, 40).Draw(t, "rate")
		bound := rate*1.5 + 5
		limiters := make([]dispatch.ColdLimiter, vms)
		var sent []time.Time
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * time.Millisecond)
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			if limiters[vm].CanSend(now, dispatch.ColdShare(bound, vms, vm)) {
				limiters[vm].Record(now)
				sent = append(sent, now)
			}
		}
		for _, end := range sent {
			n := 0
			for _, at := range sent {
				if !at.After(end) && end.Sub(at) < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), bound)
		}
		require.Positive(t, dispatch.ColdShare(bound, vms, 0))
	})
}
