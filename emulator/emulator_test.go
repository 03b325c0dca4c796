package emulator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/emulator"
)

// small returns a fleet that is emulated in a fraction of a second.
func small(seed uint64) emulator.Config {
	c := emulator.LargeSite()
	c.SmallVMs, c.LargeVMs, c.Shards, c.SearchesPerSecond, c.Length, c.Seed = 12, 2, 40, 24, 5*time.Second, seed
	return c
}

// Guards against comparisons of rules that differ by chance: the same configuration and seed must give the same result.
func TestRunsRepeat(t *testing.T) {
	first, err := emulator.Run(small(3))
	require.NoError(t, err)
	second, err := emulator.Run(small(3))
	require.NoError(t, err)
	require.Equal(t, first, second)
	other, err := emulator.Run(small(4))
	require.NoError(t, err)
	require.NotEqual(t, first, other)
}

// Replays the load that coordinators answer with all decisions together: a short objective, 90 shards, and small VMs. With
// coordinators more searches are answered in time, with more of their shards.
func TestCoordinatorsServeShortObjectives(t *testing.T) {
	var alone, together emulator.Result
	for seed := range uint64(3) {
		c := emulator.LargeSite()
		c.Objective, c.MinCoverage, c.Work, c.Length, c.Seed = 100*time.Millisecond, 0.85, 8600*time.Microsecond, 5*time.Second, seed
		c.Coordinators = false
		r, err := emulator.Run(c)
		require.NoError(t, err)
		alone.Add(r)
		c.Coordinators = true
		r, err = emulator.Run(c)
		require.NoError(t, err)
		together.Add(r)
	}
	require.Equal(t, alone.Searches, together.Searches)
	require.Greater(t, together.Credit, alone.Credit)
	require.Greater(t, together.Credit, 0.9*float64(together.Searches))
}

// Guards against extra sends beyond the bound of the whole fleet: in any emulated fleet, those of all VMs together must stay
// below it.
func TestExtraSendsStayWithinTheBound(t *testing.T) {
	for seed := range uint64(5) {
		c := small(seed)
		c.Pause = time.Second
		r, err := emulator.Run(c)
		require.NoError(t, err)
		// All searches arrive within one window, so the bound holds for the sum over the shards.
		bound := c.ExtraRatio*float64(r.Searches*c.Shards) + c.ExtraSlack*float64(c.Shards)
		require.LessOrEqual(t, float64(r.Extra), bound)
	}
}

// Guards against a configuration that is emulated although it makes no sense.
func TestCheckNamesTheField(t *testing.T) {
	c := emulator.LargeSite()
	c.TargetZones = 9
	_, err := emulator.Run(c)
	require.ErrorContains(t, err, "target zones must be from 1 to the number of zones")
}
