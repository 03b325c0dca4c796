package distribution

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/standin/bundles"
)

var trust = bundles.NewSigners(0, "ana", "ion")

// The shared encoder holds channels, which must not be created in a test's synctest bubble.
func init() { _, _ = encodeWhole(nil) }

func version(n uint64) []byte { return trust.Sign(bundles.Small(n)) }

func variant(n uint64, reason string) []byte {
	b := bundles.Small(n)
	b.Reason = reason
	return trust.Sign(b)
}

// fakePlatform implements Platform. It can be down, and it can be stale, in which case it ignores the version after
// which readers ask for a bundle.
type fakePlatform struct {
	mu    sync.Mutex
	raw   []byte
	ver   uint64
	down  bool
	stale bool
	reads int
}

func (p *fakePlatform) publish(ver uint64, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ver, p.raw = ver, raw
}

// rollBack publishes a bundle that is returned from now on even to readers that ask for a higher version.
func (p *fakePlatform) rollBack(ver uint64, raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ver, p.raw, p.stale = ver, raw, true
}

func (p *fakePlatform) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *fakePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

func (p *fakePlatform) Bundle(ctx context.Context, after uint64, wait time.Duration) ([]byte, error) {
	end := time.After(wait)
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		raw, ver, down, stale := p.raw, p.ver, p.down, p.stale
		p.mu.Unlock()
		if down {
			return nil, errors.New("platform is down")
		}
		if raw != nil && (stale || ver > after) {
			return raw, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-end:
			return nil, nil
		case <-time.After(50 * time.Millisecond):
		}
	}
}

type staticView struct{ view *membership.View }

func (s staticView) View() *membership.View { return s.view }

type vm struct {
	*Distributor
	member membership.Member
	stop   func()
}

// fleet runs distributors that call each other within the process. Most tests run it in a synctest bubble, where time
// is fake.
type fleet struct {
	t        *testing.T
	platform *fakePlatform
	members  []membership.Member

	mu  sync.Mutex
	vms map[ident.VMID]*vm
	// cut reports whether calls from one member to another fail.
	cut func(from, to membership.Member) bool
	// blackHole is a VM to which calls hang until their deadline.
	blackHole ident.VMID
}

func newFleet(t *testing.T, zones, perZone int) *fleet {
	f := &fleet{t: t, platform: &fakePlatform{}, vms: map[ident.VMID]*vm{}, cut: func(_, _ membership.Member) bool { return false }}
	for i := range zones * perZone {
		f.members = append(f.members, membership.Member{ID: ident.VMID(fmt.Sprintf("vm-%03d", i)),
			Zone: ident.Zone(fmt.Sprintf("z%d", i%zones)), State: membership.Alive})
	}
	return f
}

// start runs a new distributor for the member with this index.
func (f *fleet) start(i int) *vm {
	clock, self := clockwork.NewRealClock(), f.members[i]
	d := New(Options{Clock: clock, Store: config.NewStore(clock, trust.Keyring), Platform: f.platform, PeerGrace: 10 * time.Second,
		Viewer: staticView{membership.NewView(self, f.members, 1, clock.Now())}, Transport: memberTransport{f, self}, Seed: uint64(i + 1)})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { d.Run(ctx) })
	v := &vm{Distributor: d, member: self}
	v.stop = func() {
		f.mu.Lock()
		if f.vms[self.ID] == v {
			delete(f.vms, self.ID)
		}
		f.mu.Unlock()
		cancel()
		running.Wait()
	}
	f.mu.Lock()
	f.vms[self.ID] = v
	f.mu.Unlock()
	return v
}

func (f *fleet) startAll() []*vm {
	var list []*vm
	for i := range f.members {
		list = append(list, f.start(i))
	}
	return list
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	var list []*vm
	for _, v := range f.vms {
		list = append(list, v)
	}
	f.mu.Unlock()
	for _, v := range list {
		v.stop()
	}
}

// advance lets the duration elapse and waits until all goroutines of the bubble are blocked.
func (f *fleet) advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func (f *fleet) requireVersion(want uint64, list ...*vm) {
	f.t.Helper()
	for _, v := range list {
		have, _ := v.Version()
		require.Equal(f.t, want, have, "wrong version in force on %s", v.member.ID)
	}
}

// memberTransport is the Transport of one member.
type memberTransport struct {
	f    *fleet
	self membership.Member
}

func (m memberTransport) peer(ctx context.Context, to membership.Member) (*vm, error) {
	m.f.mu.Lock()
	v, cut, hole := m.f.vms[to.ID], m.f.cut(m.self, to), m.f.blackHole == to.ID
	m.f.mu.Unlock()
	if hole {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if v == nil || cut {
		return nil, errors.New("peer is unreachable")
	}
	return v, nil
}

func (m memberTransport) Fetch(ctx context.Context, to membership.Member, req *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	v, err := m.peer(ctx, to)
	if err != nil {
		return nil, err
	}
	return v.HandleFetch(req)
}

func (m memberTransport) Push(ctx context.Context, to membership.Member, req *peerv1.PushRequest) (*peerv1.PushResponse, error) {
	v, err := m.peer(ctx, to)
	if err != nil {
		return nil, err
	}
	return v.HandlePush(req), nil
}
