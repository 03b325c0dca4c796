package configbench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/distribution"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/standin/bundles"
)

// configZones is the number of availability zones at the design size.
const configZones = 6

// configFleet is a set of distributors in one process, joined by calls with a delay between zones.
type configFleet struct {
	signers  *bundles.Signers
	delay    time.Duration
	platform distribution.Platform
	grace    time.Duration
	// alone makes each VM see no other.
	alone bool

	members  []membership.Member
	vms      []*configVM
	messages atomic.Int64
	bytes    atomic.Int64
}

type configVM struct {
	d     *distribution.Distributor
	store *config.Store
	stop  func()
}

func newConfigFleet(nodes int, delay time.Duration) *configFleet {
	f := &configFleet{signers: bundles.NewSigners(0, "ana", "ion"), delay: delay, platform: silentPlatform{}, vms: make([]*configVM, nodes)}
	for i := range nodes {
		f.members = append(f.members, membership.Member{ID: ident.VMID(fmt.Sprintf("vm-%03d", i)), Address: fmt.Sprint(i),
			Zone: ident.Zone(fmt.Sprintf("zone-%d", i%configZones)), State: membership.Alive})
	}
	return f
}

// start runs every VM with a bundle in force; a nil bundle leaves them without.
func (f *configFleet) start(raw []byte) error {
	for i := range f.vms {
		f.prepare(i)
	}
	var offers sync.WaitGroup
	var failed atomic.Int64
	for _, vm := range f.vms {
		if raw != nil {
			offers.Go(func() {
				if vm.store.Offer(raw).Verdict != config.Accepted {
					failed.Add(1)
				}
			})
		}
	}
	offers.Wait()
	if failed.Load() > 0 {
		return errors.New("the first bundle is refused")
	}
	for i := range f.vms {
		f.run(i)
	}
	return nil
}

func (f *configFleet) prepare(i int) {
	clock := clockwork.NewRealClock()
	members := f.members
	if f.alone {
		members = f.members[i : i+1]
	}
	store := config.NewStore(clock, f.signers.Ring)
	view := fixedView{membership.NewView(f.members[i], members, 1, clock.Now())}
	f.vms[i] = &configVM{store: store, d: distribution.New(distribution.Options{Clock: clock, Store: store, Viewer: view,
		Transport: configLink{f, f.members[i].Zone}, Platform: f.platform, PeerGrace: f.grace, Seed: uint64(i + 1)})}
}

func (f *configFleet) run(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	vm := f.vms[i]
	running.Go(func() { vm.d.Run(ctx) })
	vm.stop = func() { cancel(); running.Wait() }
}

func (f *configFleet) stop() {
	for _, vm := range f.vms {
		vm.stop()
	}
}

// spread offers a bundle to the first VM and returns when it is in force on the last one.
func (f *configFleet) spread(raw []byte, version uint64, bound time.Duration) (time.Duration, error) {
	last := make(chan time.Time, len(f.vms))
	for _, vm := range f.vms {
		var once sync.Once
		vm.store.OnChange(func(force *config.InForce) {
			if force.Bundle.Version >= version {
				once.Do(func() { last <- force.Since })
			}
		})
	}
	if d := f.vms[0].d.Offer(raw); d.Verdict != config.Accepted {
		return 0, fmt.Errorf("the offered bundle is %s: %s", d.Verdict, d.Reason)
	}
	timeout := time.After(bound)
	first, latest := f.vms[0].store.Current().Since, time.Time{}
	for n := range f.vms {
		select {
		case at := <-last:
			if at.After(latest) {
				latest = at
			}
		case <-timeout:
			return 0, fmt.Errorf("in force on %d of %d VMs after %s", n, len(f.vms), bound)
		}
	}
	return latest.Sub(first), nil
}

func (f *configFleet) count(messages ...proto.Message) {
	f.messages.Add(int64(len(messages)))
	for _, m := range messages {
		f.bytes.Add(int64(proto.Size(m)))
	}
}

// totals returns the counters of transfers, summed over the fleet.
func (f *configFleet) totals() (whole, delta uint64) {
	for _, vm := range f.vms {
		whole += vm.d.Stats().WholeSent.Load()
		delta += vm.d.Stats().DeltaSent.Load()
	}
	return whole, delta
}

type fixedView struct{ view *membership.View }

// View returns the view.
func (v fixedView) View() *membership.View { return v.view }

// configLink carries one VM's calls.
type configLink struct {
	f    *configFleet
	zone ident.Zone
}

func (l configLink) wait(ctx context.Context, to membership.Member) {
	if l.f.delay == 0 || l.zone == to.Zone {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(l.f.delay):
	}
}

func (l configLink) target(to membership.Member) *distribution.Distributor {
	var i int
	_, _ = fmt.Sscan(to.Address, &i)
	return l.f.vms[i].d
}

// Fetch calls the peer within the process.
func (l configLink) Fetch(ctx context.Context, to membership.Member, req *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	l.wait(ctx, to)
	resp, err := l.target(to).HandleFetch(req)
	l.wait(ctx, to)
	if err == nil {
		l.f.count(req, resp)
	}
	return resp, err
}

// Push calls the peer within the process.
func (l configLink) Push(ctx context.Context, to membership.Member, req *peerv1.PushRequest) (*peerv1.PushResponse, error) {
	l.wait(ctx, to)
	resp := l.target(to).HandlePush(req)
	l.wait(ctx, to)
	l.f.count(req, resp)
	return resp, nil
}

// silentPlatform has nothing.
type silentPlatform struct{}

// Bundle waits and returns nothing.
func (silentPlatform) Bundle(ctx context.Context, _ uint64, wait time.Duration) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
		return nil, nil
	}
}

// countingPlatform answers at once, which is the worst a platform can do to its own load, and counts reads.
type countingPlatform struct {
	down bool
	mu   sync.Mutex
	at   []time.Time
}

// Bundle counts the read and returns nothing.
func (p *countingPlatform) Bundle(context.Context, uint64, time.Duration) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = append(p.at, time.Now())
	if p.down {
		return nil, errors.New("down")
	}
	return nil, nil
}

// peak returns the most reads within one second.
func (p *countingPlatform) peak() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most, first := 0, 0
	for i := range p.at {
		for p.at[i].Sub(p.at[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
