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

// configFleet is a set of distributors in one process that call each other directly, with a delay between zones.
type configFleet struct {
	signers  *bundles.Signers
	delay    time.Duration
	platform distribution.Platform
	grace    time.Duration
	// isolated gives each VM a membership view that contains only itself.
	isolated bool

	members []membership.Member
	vms     []*configVM
	// messages and bytes count the requests and responses between VMs.
	messages atomic.Int64
	bytes    atomic.Int64
}

// configVM is one VM of the fleet; stop stops its distributor and waits until it has stopped.
type configVM struct {
	d     *distribution.Distributor
	store *config.Store
	stop  func()
}

// newConfigFleet returns a fleet spread over configZones zones that is not yet started; delay is the one-way delay
// between zones.
func newConfigFleet(nodes int, delay time.Duration) *configFleet {
	f := &configFleet{signers: bundles.NewSigners(0, "ana", "ion"), delay: delay, platform: idlePlatform{}, vms: make([]*configVM, nodes)}
	for i := range nodes {
		f.members = append(f.members, membership.Member{ID: ident.VMID(fmt.Sprintf("vm-%03d", i)), Address: fmt.Sprint(i),
			Zone: ident.Zone(fmt.Sprintf("zone-%d", i%configZones)), State: membership.Alive})
	}
	return f
}

// start starts every VM with the bundle in force, or without a bundle if raw is nil.
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
		return errors.New("initial bundle was refused")
	}
	for i := range f.vms {
		f.run(i)
	}
	return nil
}

// prepare creates VM i without a bundle and without starting it.
func (f *configFleet) prepare(i int) {
	clock := clockwork.NewRealClock()
	members := f.members
	if f.isolated {
		members = f.members[i : i+1]
	}
	store := config.NewStore(clock, f.signers.Keyring)
	view := fixedView{membership.NewView(f.members[i], members, 1, clock.Now())}
	f.vms[i] = &configVM{store: store, d: distribution.New(distribution.Options{Clock: clock, Store: store, Viewer: view,
		Transport: peerLink{f, f.members[i].Zone}, Platform: f.platform, PeerGrace: f.grace, Seed: uint64(i + 1)})}
}

// run starts the distributor of VM i.
func (f *configFleet) run(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	vm := f.vms[i]
	running.Go(func() { vm.d.Run(ctx) })
	vm.stop = func() { cancel(); running.Wait() }
}

// stop stops all VMs and waits until they have stopped.
func (f *configFleet) stop() {
	for _, vm := range f.vms {
		vm.stop()
	}
}

// spread offers a bundle to the first VM and returns the time from when the bundle is in force on that VM until it is
// in force on all VMs. It fails if the bundle is not in force on all VMs within bound.
func (f *configFleet) spread(raw []byte, version uint64, bound time.Duration) (time.Duration, error) {
	applied := make(chan time.Time, len(f.vms))
	for _, vm := range f.vms {
		var once sync.Once
		vm.store.OnChange(func(force *config.InForce) {
			if force.Bundle.Version >= version {
				once.Do(func() { applied <- force.Since })
			}
		})
	}
	if d := f.vms[0].d.Offer(raw); d.Verdict != config.Accepted {
		return 0, fmt.Errorf("offered bundle was not accepted: %s: %s", d.Verdict, d.Reason)
	}
	timeout := time.After(bound)
	first, latest := f.vms[0].store.Current().Since, time.Time{}
	for n := range f.vms {
		select {
		case at := <-applied:
			if at.After(latest) {
				latest = at
			}
		case <-timeout:
			return 0, fmt.Errorf("bundle in force on only %d of %d VMs after %s", n, len(f.vms), bound)
		}
	}
	return latest.Sub(first), nil
}

// count adds the messages and their encoded sizes to the counters.
func (f *configFleet) count(messages ...proto.Message) {
	f.messages.Add(int64(len(messages)))
	for _, m := range messages {
		f.bytes.Add(int64(proto.Size(m)))
	}
}

// totals returns the numbers of whole bundles and of deltas sent, summed over the fleet.
func (f *configFleet) totals() (whole, delta uint64) {
	for _, vm := range f.vms {
		whole += vm.d.Stats().WholeSent.Load()
		delta += vm.d.Stats().DeltaSent.Load()
	}
	return whole, delta
}

// fixedView is a membership view that never changes.
type fixedView struct{ view *membership.View }

// View implements membership.Viewer.
func (v fixedView) View() *membership.View { return v.view }

// peerLink carries the calls of one VM, which is in the given zone, to other VMs of the fleet.
type peerLink struct {
	f    *configFleet
	zone ident.Zone
}

// wait delays a message to or from a VM in another zone.
func (l peerLink) wait(ctx context.Context, to membership.Member) {
	if l.f.delay == 0 || l.zone == to.Zone {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(l.f.delay):
	}
}

// peer returns the distributor of the VM whose index is the member's address.
func (l peerLink) peer(to membership.Member) *distribution.Distributor {
	var i int
	_, _ = fmt.Sscan(to.Address, &i)
	return l.f.vms[i].d
}

// Fetch implements distribution.Transport.
func (l peerLink) Fetch(ctx context.Context, to membership.Member, req *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	l.wait(ctx, to)
	resp, err := l.peer(to).HandleFetch(req)
	l.wait(ctx, to)
	if err == nil {
		l.f.count(req, resp)
	}
	return resp, err
}

// Push implements distribution.Transport.
func (l peerLink) Push(ctx context.Context, to membership.Member, req *peerv1.PushRequest) (*peerv1.PushResponse, error) {
	l.wait(ctx, to)
	resp := l.peer(to).HandlePush(req)
	l.wait(ctx, to)
	l.f.count(req, resp)
	return resp, nil
}

// idlePlatform never has a bundle; each read waits for its full long-poll time.
type idlePlatform struct{}

// Bundle implements distribution.Platform.
func (idlePlatform) Bundle(ctx context.Context, _ uint64, wait time.Duration) ([]byte, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
		return nil, nil
	}
}

// countingPlatform counts reads. It replies immediately instead of holding a long poll, which causes the highest
// possible rate of reads.
type countingPlatform struct {
	down bool
	mu   sync.Mutex
	at   []time.Time
}

// Bundle implements distribution.Platform: it returns no bundle, or an error while the platform is down.
func (p *countingPlatform) Bundle(context.Context, uint64, time.Duration) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = append(p.at, time.Now())
	if p.down {
		return nil, errors.New("platform is down")
	}
	return nil, nil
}

// peak returns the greatest number of reads within one second.
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
