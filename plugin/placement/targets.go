package placement

import (
	"net"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/gate"
	"teaselbank.example/teaselbank/targetclient"
)

// dialTimeout bounds the opening of one connection to a target.
const dialTimeout = 250 * time.Millisecond

// transportConnections leaves the bound on connections to the pool, which follows changes of the share.
const transportConnections = 100_000

// targets opens one client for each owned target.
type targets struct{ opener *gate.Dialer }

func newTargets(clock clockwork.Clock) *targets {
	return &targets{opener: gate.NewDialer(clock, (&net.Dialer{Timeout: dialTimeout}).DialContext)}
}

// Open implements gate.Targets.
func (t *targets) Open(address string, connections int) gate.Runner {
	pool := t.opener.NewPool(address, connections)
	return &runner{pool: pool, Client: targetclient.New(targetclient.Options{
		ConnectionsPerTarget: transportConnections, Dial: pool.Dial,
	})}
}

// runner is a target's client together with its connections.
type runner struct {
	*targetclient.Client
	pool *gate.Pool
}

// Resize implements gate.Connections.
func (r *runner) Resize(limit, ahead int, warm bool) {
	r.pool.Resize(limit, ahead, warm)
	if ahead == 0 {
		r.Client.Close()
	}
}

// Close implements gate.Connections.
func (r *runner) Close() {
	r.pool.Close()
	r.Client.Close()
}
