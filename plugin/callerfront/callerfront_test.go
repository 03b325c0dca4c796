package callerfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that a stopping VM takes so late that the end of the process cuts them off (hunted day
// fresh-e859 of carbune, 27.2 s: a request was taken 3.2 s after the signal, of 6 s), and against a listener that closes
// before the balancer, which asks once a second and needs two misses, has turned away.
func TestLinger(t *testing.T) {
	require.Less(t, linger(6*time.Second), 3*time.Second)
	require.Greater(t, linger(6*time.Second), 2*time.Second)
}
