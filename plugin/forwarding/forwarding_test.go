package forwarding

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/forward"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/topology"
)

// Guards against decision lines that lack the zones of the targets of a failed request, or that confuse a request that
// was not sent, one that got no reply in time, and one whose connection broke.
func TestDescribe(t *testing.T) {
	targets := []*topology.Target{{ID: "i-1", Zone: "lupeni"}, {ID: "i-2", Zone: "vulcan"}}
	for _, c := range []struct {
		attempts forward.UnitAttempts
		want     string
	}{
		{forward.UnitAttempts{Targets: targets, Served: true, Err: errors.New("earlier")}, "i-1@lupeni,i-2@vulcan:served"},
		{forward.UnitAttempts{Targets: targets[:1]}, "i-1@lupeni:unserved"},
		{forward.UnitAttempts{}, ":unserved"},
		{forward.UnitAttempts{Targets: targets[:1], Err: fmt.Errorf("%w: timeout", leafconn.ErrNotSent)}, "i-1@lupeni:not_sent"},
		{forward.UnitAttempts{Targets: targets[:1], Err: leafconn.ErrBroken}, "i-1@lupeni:" + leafconn.ErrBroken.Error()},
	} {
		require.Equal(t, c.want, describe(c.attempts))
	}
}
