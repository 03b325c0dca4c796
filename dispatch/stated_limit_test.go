package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/dispatch"
)

// Guards against a limit that outlasts its statement, and against one that ends because a request that was sent before it
// was stated is answered late.
func TestStatedLimitEnds(t *testing.T) {
	var l dispatch.StatedLimit
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	require.False(t, l.NotStated(at(0)))
	require.True(t, l.Stated(at(10), 30.5))
	require.False(t, l.Stated(at(20), 30.5))
	require.InDelta(t, 30.5, l.PerSecond(), 0)
	for range 5 {
		require.False(t, l.NotStated(at(15)), "sent before the limit was stated last")
	}
	require.False(t, l.NotStated(at(30)))
	require.False(t, l.Stated(at(40), 30.5))
	require.False(t, l.NotStated(at(50)))
	require.True(t, l.NotStated(at(60)))
	require.Zero(t, l.PerSecond())
	require.True(t, l.Stated(at(70), 10))
}
