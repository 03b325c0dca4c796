package siteapi

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/topology"
)

// Guards against a status that shows a leaving or cold target as serving.
func TestStateOf(t *testing.T) {
	now := time.Unix(100, 0)
	require.Equal(t, "serving", stateOf(&topology.Target{ColdUntil: now}, now))
	require.Equal(t, "cold", stateOf(&topology.Target{ColdUntil: now.Add(time.Second)}, now))
	require.Equal(t, "leaving", stateOf(&topology.Target{ColdUntil: now.Add(time.Second), LeavingSince: now}, now))
}
