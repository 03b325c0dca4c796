package callerfront

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stopping VM that accepts requests so late that the end of the process cuts them off (a request
// accepted 3.2 s after the stop signal, with a stop bound of 6 s, was cut off), and against a listener that closes
// before the balancer, which checks once a second and needs two failed checks, sends its callers elsewhere.
func TestLinger(t *testing.T) {
	require.Less(t, linger(6*time.Second), 3*time.Second)
	require.Greater(t, linger(6*time.Second), 2*time.Second)
}
