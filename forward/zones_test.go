package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against treating another zone as unreachable although its targets accept connections, and against sending
// requests to probed targets or probing a zone that is out of service.
func TestProbeOtherZones(t *testing.T) {
	w := newWorld(t, testExtra)
	_, leafs := shards(w, 1, "a", "b")
	w.routes(scatter(1, "s0"))
	require.True(t, w.service.LastRemoteReply().IsZero())
	require.True(t, w.service.ProbeOtherZones())
	require.Eventually(t, func() bool { return !w.service.LastRemoteReply().IsZero() }, time.Minute, time.Millisecond)
	require.Empty(t, leafs["s0"][1].Arrivals())
	w.snapshot.ZonesOut["b"] = true
	w.publish()
	require.False(t, w.service.ProbeOtherZones())
}

// Guards against counting a failed probe of another zone as a sign that the zone can be reached.
func TestFailedProbeIsNoRemoteReply(t *testing.T) {
	w := newWorld(t, testExtra)
	_, leafs := shards(w, 1, "a", "b")
	leafs["s0"][1].Close()
	w.routes(scatter(1, "s0"))
	require.True(t, w.service.ProbeOtherZones())
	_ = body(t, w.get("/q/x", "r1", 5*time.Second))
	require.True(t, w.service.LastRemoteReply().IsZero())
}
