package soak

import (
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// regressionSeeds are seeds that failed before, with the fault each of them found; TestSoak runs them all.
var regressionSeeds = map[int64]string{
	// 2 and 12 failed for the same reason as 22.
	22:  "requests that ran were refused with 503: a late copy of a refusal was taken for the reply to a resend",
	226: "a VM stayed down: the second SIGTERM of a stop reached its next process, which nothing started again",
	// 110 and 119 failed for the same reason as 106.
	106: "a response was reported as MIXED: a leaf request refused at a reused address was taken for the target's reply",
	12:  "frequent reads were refused for minutes as crashing requests, because they were in flight at every target that crashed",
	1:   "nine responses were reported as MIXED: the check took a target's refusal of a first send for its reply to the second",
}

// testFaultDuration is how long TestSoak starts faults.
const testFaultDuration = 4 * time.Second

// firstTestSubnet is above the subnets that the soak command uses, so that both can run at the same time.
const firstTestSubnet = 230

// The guarantees must hold while processes, links, targets and the store fail. Time bounds are checked only by the soak
// command, because they can fail on a busy machine.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "teaselbankd")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "../cmd/teaselbankd").CombinedOutput()
	require.NoError(t, err, string(out))
	seeds := []int64{2, 3}
	for seed := range regressionSeeds {
		seeds = append(seeds, seed)
	}
	for i, seed := range seeds {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
			t.Parallel()
			result, err := Run(t.Context(), Options{Seed: seed, VMs: 4, FaultDuration: testFaultDuration, Clients: 3, Binary: binary, Dir: t.TempDir(), Subnet: firstTestSubnet + i})
			require.NoError(t, err)
			require.Empty(t, result.Violations, "%v", result.Events)
			require.NotZero(t, result.Served)
		})
	}
}
