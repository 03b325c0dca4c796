package gate

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// countingDialer counts its dials and the connections that are open.
type countingDialer struct {
	mu    sync.Mutex
	dials int
	open  int
	fail  error
}

type countedConn struct {
	net.Conn
	d *countingDialer
}

func (c countedConn) Close() error {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	c.d.open--
	return nil
}

func (d *countingDialer) dial(context.Context, string, string) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials++
	if d.fail != nil {
		return nil, d.fail
	}
	d.open++
	return countedConn{nil, d}, nil
}

// Guards against a storm of new connections after a change of owner, and against more connections than the owner's
// share of the target's connections.
func TestConnectionsOpenAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, d := clockwork.NewFakeClock(), &countingDialer{}
		dialer := NewRateLimitedDialer(clock, d.dial)
		var pools []*Pool
		for range 30 {
			p := dialer.NewPool("127.0.0.1:1", 4)
			p.Resize(4, 6, false)
			pools = append(pools, p)
		}
		synctest.Wait()
		for second := range 3 {
			require.LessOrEqual(t, d.dials, 1+second*ConnectRate)
			for range 100 {
				clock.Advance(time.Second / 100)
				synctest.Wait()
			}
		}
		require.Equal(t, 120, d.open, "each pool must open exactly its share of connections")
		for _, p := range pools {
			p.Close()
		}
		require.Zero(t, d.open)
	})
}

// Guards against a dial that waits although a connection is ready, a dial that exceeds the limit, and a dial that goes
// on waiting after the connection it waits for has failed.
func TestPoolServesDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, d := clockwork.NewFakeClock(), &countingDialer{}
		p := NewRateLimitedDialer(clock, d.dial).NewPool("127.0.0.1:1", 1)
		p.Resize(1, 1, true)
		synctest.Wait()
		first, err := p.Dial(t.Context(), "tcp", "")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		second := make(chan error, 1)
		go func() {
			_, err := p.Dial(ctx, "tcp", "")
			second <- err
		}()
		clock.Advance(time.Second)
		synctest.Wait()
		require.Equal(t, 1, d.dials)
		cancel()
		require.ErrorIs(t, <-second, context.Canceled)
		require.NoError(t, first.Close())
		first, err = p.Dial(t.Context(), "tcp", "")
		require.NoError(t, err, "a replacement of a connection to a warm target must not wait for the rate limit")
		p.Resize(1, 1, false)
		for range 2 {
			require.NoError(t, first.Close())
			synctest.Wait()
			require.Equal(t, 3, d.dials, "a cold target must be dialed at the limited rate")
			if d.open == 0 {
				clock.Advance(time.Second)
			}
			first, err = p.Dial(t.Context(), "tcp", "")
			require.NoError(t, err)
		}
		require.Equal(t, 4, d.dials)
		d.fail = errors.New("refused")
		require.NoError(t, first.Close())
		synctest.Wait()
		require.Equal(t, 5, d.dials, "a refused dial must not be retried at once")
		clock.Advance(time.Second)
		_, err = p.Dial(t.Context(), "tcp", "")
		require.ErrorIs(t, err, d.fail)
	})
}
