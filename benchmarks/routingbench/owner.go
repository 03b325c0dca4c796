package routingbench

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/gate"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
)

// Parameters of the benchmark in which the owner of a target changes.
const (
	ownerSenders = 12
	ownerWarmUp  = 3 * time.Second
	ownerPhase   = gate.TakeoverDelay + time.Second
	viewLag      = 300 * time.Millisecond
	// divergedPhase is long enough for the second owner to treat the target as warm and use all its slots.
	divergedPhase = gate.TakeoverDelay + 6*time.Second
	// Bounds of the ratio of running requests to slots. If the membership views of two VMs differ permanently, both VMs
	// may own the target, and each of them may then use all its slots.
	maxSteadyLoad   = 1.0
	maxDivergedLoad = 2.0
)

// Parameters of the benchmark that counts new connections: one VM takes over more targets than a VM owns at the design
// size.
const (
	connectTargets = 30
	connectSlots   = 6
	connectPhase   = 3 * time.Second
)

func init() {
	bench.Register("routing_owner", ownerChange)
	bench.Register("routing_connections", connectionRate)
}

// slotTarget is a fake warm target. It records the maximum ratio of running requests to slots in worst, and counts
// finished requests in done.
type slotTarget struct {
	mu      sync.Mutex
	running int
	worst   float64
	done    int
}

// Open implements gate.RunnerFactory.
func (t *slotTarget) Open(string, int) gate.Runner { return t }

// Send implements gate.Runner.
func (t *slotTarget) Send(ctx context.Context, _ string, r outcome.LeafRequest) outcome.LeafResult {
	t.mu.Lock()
	t.running++
	t.worst = max(t.worst, float64(t.running)/targetSlots)
	t.mu.Unlock()
	pause(ctx, serviceTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.done++
	return outcome.LeafResult{Status: outcome.LeafOK, ID: r.ID, Incarnation: "i1"}
}

// takeCounts returns worst and done and resets them.
func (t *slotTarget) takeCounts() (worst float64, done int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst, done = t.worst, t.done
	t.worst, t.done = 0, 0
	return worst, done
}

// ownerChange measures the ratio of running requests to slots at a target in three phases: with a stable owner, while
// the owner leaves and the views converge after viewLag, and while the views of two VMs differ permanently.
func ownerChange() ([]bench.Result, error) {
	target, net := &slotTarget{}, &network{nodes: map[string]*node{}}
	var nodes []*node
	for _, id := range []ident.VMID{"vm-a", "vm-b"} {
		n, err := net.newNode(id, target)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	ctx, stop := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	defer func() {
		stop()
		senders.Wait()
		for _, n := range nodes {
			n.set.Close()
		}
	}()
	b := oneTarget()
	both := fleetView(nodes, func(int) bool { return true }, membership.Dead)
	for _, n := range nodes {
		n.applyView(both, b)
		keepBusy(ctx, n, ownerSenders, &senders)
	}
	pause(ctx, gate.TakeoverDelay+ownerWarmUp)
	target.takeCounts()
	pause(ctx, ownerPhase)
	steady, steadyDone := target.takeCounts()

	owner := 0
	if nodes[1].set.Owned() == 1 {
		owner = 1
	}
	left := fleetView(nodes, func(i int) bool { return i != owner }, membership.Leaving)
	nodes[1-owner].applyView(left, b)
	pause(ctx, viewLag)
	nodes[owner].applyView(left, b)
	pause(ctx, ownerPhase)
	converging, convergingDone := target.takeCounts()

	net.mu.Lock()
	net.cut = true
	net.mu.Unlock()
	for i, n := range nodes {
		n.applyView(fleetView(nodes, func(j int) bool { return i == j }, membership.Dead), b)
	}
	pause(ctx, divergedPhase)
	diverged, _ := target.takeCounts()
	return []bench.Result{
		{Name: "routing_slots_steady", Value: steady, Unit: "ratio", Bound: maxSteadyLoad, LowerIsBetter: true},
		{Name: "routing_slots_views_converge", Value: converging, Unit: "ratio", Bound: maxSteadyLoad, LowerIsBetter: true},
		{Name: "routing_slots_views_differ", Value: diverged, Unit: "ratio", Bound: maxDivergedLoad, LowerIsBetter: true},
		{Name: "routing_throughput_over_steady_during_handover", Value: float64(convergingDone) / float64(steadyDone) *
			float64(ownerPhase) / float64(ownerPhase+viewLag), Unit: "ratio", Informative: true},
	}, nil
}

// pooledTarget is a slotTarget that also opens real connections, to a listener that keeps them open.
type pooledTarget struct {
	slotTarget
	dialer *gate.RateLimitedDialer
}

// pooledRunner answers requests as slotTarget does and manages connections with a gate.Pool.
type pooledRunner struct {
	*slotTarget
	*gate.Pool
}

// Open implements gate.RunnerFactory.
func (t *pooledTarget) Open(address string, connections int) gate.Runner {
	return pooledRunner{&t.slotTarget, t.dialer.NewPool(address, connections)}
}

// Resize implements gate.ConnectionPool. It has a connection opened in advance for each slot, as for a warm target.
func (r pooledRunner) Resize(limit, minOpen int, warm bool) {
	r.Pool.Resize(limit, max(minOpen, min(limit, connectSlots)), warm)
}

// connectionRate makes one VM the owner of many targets at once and measures, at the listener, the greatest number of
// connections opened within one second.
func connectionRate() ([]bench.Result, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	accepted := make(chan time.Time, connectTargets*connectSlots)
	go recordAccepts(listener, accepted)
	target := &pooledTarget{dialer: gate.NewRateLimitedDialer(clockwork.NewRealClock(), (&net.Dialer{Timeout: time.Second}).DialContext)}
	fleet := &network{nodes: map[string]*node{}}
	n, err := fleet.newNode("vm-a", target)
	if err != nil {
		return nil, err
	}
	b := &bundle.Bundle{Version: 1, Services: []bundle.Service{{ID: "s", Slots: connectSlots, ColdSlots: 1, Connections: 50}}}
	for i := range connectTargets {
		b.Services[0].Targets = append(b.Services[0].Targets, bundle.Target{ID: ident.TargetID(rune('a' + i)), Zone: "z",
			Address: listener.Addr().String(), State: bundle.TargetServing})
	}
	n.applyView(fleetView([]*node{n}, func(int) bool { return true }, membership.Dead), b)
	pause(context.Background(), gate.TakeoverDelay+connectPhase)
	n.set.Close()
	if err := listener.Close(); err != nil {
		return nil, err
	}
	most, total := busiestSecond(accepted)
	return []bench.Result{
		{Name: "routing_new_connections_busiest_second", Value: float64(most), Unit: "connections", Bound: gate.ConnectRate, LowerIsBetter: true},
		{Name: "routing_new_connections_total", Value: float64(total), Unit: "connections", Informative: true},
	}, nil
}

// recordAccepts sends the time of each accepted connection, and keeps the connections open until the listener closes.
func recordAccepts(l net.Listener, times chan<- time.Time) {
	defer close(times)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		times <- time.Now()
	}
}

// busiestSecond returns the greatest number of connections accepted within one second, and their total.
func busiestSecond(accepted <-chan time.Time) (most, total int) {
	var times []time.Time
	for t := range accepted {
		times = append(times, t)
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(times)
}
