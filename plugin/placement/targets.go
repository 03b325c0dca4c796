package placement

import (
	"net"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/gate"
	"teaselbank.example/teaselbank/targetclient"
)

// dialTimeout bounds the dial of one connection to a target.
const dialTimeout = 250 * time.Millisecond

// transportConnections is the connection limit of the HTTP transport, too high to take effect: the pool bounds the
// connections, because its limit follows changes of this VM's share.
const transportConnections = 100_000

// runnerFactory opens one runner for each owned target.
type runnerFactory struct{ dialer *gate.RateLimitedDialer }

func newRunnerFactory(clock clockwork.Clock) *runnerFactory {
	return &runnerFactory{dialer: gate.NewRateLimitedDialer(clock, (&net.Dialer{Timeout: dialTimeout}).DialContext)}
}

// Open implements gate.RunnerFactory.
func (f *runnerFactory) Open(address string, connections int) gate.Runner {
	pool := f.dialer.NewPool(address, connections)
	return &runner{pool: pool, Client: targetclient.New(targetclient.Options{
		ConnectionsPerTarget: transportConnections, Dial: pool.Dial,
	})}
}

// runner is the client of a target together with its connection pool.
type runner struct {
	*targetclient.Client
	pool *gate.Pool
}

// Resize implements gate.ConnectionPool.
func (r *runner) Resize(limit, minOpen int, warm bool) {
	r.pool.Resize(limit, minOpen, warm)
	if minOpen == 0 {
		r.Client.Close()
	}
}

// Close implements gate.ConnectionPool.
func (r *runner) Close() {
	r.pool.Close()
	r.Client.Close()
}
