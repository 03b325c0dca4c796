package routingbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/gate"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
	"teaselbank.example/teaselbank/relay"
)

// Sizes of the cold-start run: today's 8 entry VMs of an organisation, and twice the slots of demand from each.
const (
	coldVMs      = 8
	coldSenders  = 12
	coldSlots    = 1
	targetSlots  = 6
	coldRequests = 400
	coldRestarts = 4
	serviceTime  = time.Millisecond
	coldSlowdown = 5
	sendDeadline = 200 * time.Millisecond
	coldSettle   = 2 * time.Second
	restartTime  = 20 * time.Millisecond
	// firstContact is the time in which a target that is warm after coldRequests has surely become warm for the owner.
	firstContact = 6 * time.Second
)

func init() { bench.Register("routing_cold", coldLoad) }

// coldTarget is a target that is slow while cold, bears coldSlots requests until coldRequests have finished, and loses
// what runs when it restarts.
type coldTarget struct {
	mu          sync.Mutex
	incarnation int
	finished    int
	running     int
	lost        chan struct{}
	down        bool
	// worst is the greatest load over what the target bears; admitted counts requests that began.
	worstCold, worstWarm float64
	admitted             int
}

func newColdTarget() *coldTarget { return &coldTarget{lost: make(chan struct{})} }

// stop ends the process; start begins a new one, which is cold.
func (t *coldTarget) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.lost)
	t.down = true
	t.incarnation++
}

func (t *coldTarget) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = make(chan struct{})
	t.down, t.finished, t.running = false, 0, 0
}

// fallBack makes the running process cold.
func (t *coldTarget) fallBack() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = 0
}

// takeWorst returns the greatest load since the last call.
func (t *coldTarget) takeWorst() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := t.worstCold
	t.worstCold = 0
	return worst
}

func (t *coldTarget) begin() (incarnation int, lost chan struct{}, service time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return t.incarnation, nil, 0
	}
	t.running++
	t.admitted++
	if t.finished < coldRequests {
		t.worstCold = max(t.worstCold, float64(t.running)/coldSlots)
		return t.incarnation, t.lost, coldSlowdown * serviceTime
	}
	t.worstWarm = max(t.worstWarm, float64(t.running)/targetSlots)
	return t.incarnation, t.lost, serviceTime
}

// Send implements gate.Runner.
func (t *coldTarget) Send(ctx context.Context, _ string, r outcome.LeafRequest) outcome.LeafResult {
	incarnation, lost, service := t.begin()
	if lost == nil {
		return outcome.NotRunResult(outcome.ReasonDialFailed, "restarting")
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-lost:
		return outcome.UnknownResult(outcome.ReasonConnectionLost, "restarted")
	case <-ctx.Done():
	case <-timer.C:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation != t.incarnation {
		return outcome.UnknownResult(outcome.ReasonConnectionLost, "restarted")
	}
	t.running--
	t.finished++
	return outcome.LeafResult{Status: outcome.LeafOK, ID: r.ID, Incarnation: fmt.Sprint(incarnation), ServiceTime: service}
}

// Open implements gate.Targets.
func (t *coldTarget) Open(string, int) gate.Runner { return t }

// allow permits everything.
type allow struct{}

// Permit implements gate.Rules.
func (allow) Permit(ident.TargetID, time.Time) (float64, outcome.Reason) {
	return 1, outcome.ReasonNone
}

// node is one VM of a small fleet in one process.
type node struct {
	id     ident.VMID
	set    *gate.Set
	router *relay.Router
	mu     sync.Mutex
	plan   *placement.Plan
	view   *membership.View
}

func (n *node) Plan() *placement.Plan {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.plan
}

func (n *node) View() *membership.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

// see puts a view in force, as a change of membership does.
func (n *node) see(view *membership.View, b *bundle.Bundle) {
	plan := placement.NewPlan(view, b)
	n.mu.Lock()
	n.plan, n.view = plan, view
	n.mu.Unlock()
	n.set.Apply(plan)
}

// network carries calls between the nodes of a fleet without sockets; cut parts them.
type network struct {
	mu    sync.Mutex
	cut   bool
	nodes map[string]*node
}

func (w *network) peer(address string) (*node, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n, ok := w.nodes[address]; ok && !w.cut {
		return n, nil
	}
	return nil, fmt.Errorf("%s is not reachable", address)
}

// Handover implements gate.Predecessor.
func (w *network) Handover(_ context.Context, address string, from ident.VMID, targets []ident.TargetID) ([]gate.HandoverState, error) {
	n, err := w.peer(address)
	if err != nil {
		return nil, err
	}
	return n.set.ReleaseTo(from, targets), nil
}

// newNode adds a node whose gates send to the target.
func (w *network) newNode(id ident.VMID, target gate.RunnerFactory) (*node, error) {
	n := &node{id: id, view: &membership.View{}}
	n.set = gate.NewSet(gate.Options{Self: id, Clock: clockwork.NewRealClock(), Rules: allow{}, Runners: target, HandoverClient: w})
	var err error
	n.router, err = relay.NewRouter(relay.Options{Self: id, Planner: n, Viewer: n, Local: n.set,
		Peers: relay.NewPeers(&http.Client{Transport: w}), Meter: sdkmetric.NewMeterProvider().Meter("benchmark")})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[string(id)] = n
	return n, err
}

// keepBusy keeps senders busy on a node until the context ends.
func keepBusy(ctx context.Context, n *node, senders int, work *sync.WaitGroup) {
	for range senders {
		work.Go(func() {
			for ctx.Err() == nil {
				deadline, cancel := context.WithTimeout(ctx, sendDeadline)
				res := n.router.Send(deadline, outcome.LeafRequest{ID: ident.NewRequestID(), Target: "t1", Kind: outcome.SendFirst})
				cancel()
				if res.Status != outcome.LeafOK {
					pause(ctx, time.Millisecond+time.Duration(rand.Int64N(int64(time.Millisecond))))
				}
			}
		})
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// members lists the first count VMs as alive and the others with the given state.
func members(nodes []*node, alive func(int) bool, gone membership.State) *membership.View {
	v := &membership.View{}
	for i, n := range nodes {
		state := gone
		if alive(i) {
			state = membership.Alive
		}
		v.Members = append(v.Members, membership.Member{ID: n.id, Zone: "z", Address: string(n.id), State: state})
	}
	return v
}

func oneTarget() *bundle.Bundle {
	return &bundle.Bundle{Version: 1, Services: []bundle.Service{{ID: "s", Slots: targetSlots, ColdSlots: coldSlots, Connections: 50,
		Targets: []bundle.Target{{ID: "t1", Zone: "z", Address: "127.0.0.1:1", State: bundle.TargetServing}}}}}
}

// coldLoad restarts a target under load from all nodes and measures its load over what it bears.
func coldLoad() ([]bench.Result, error) {
	target, net := newColdTarget(), &network{nodes: map[string]*node{}}
	nodes := make([]*node, coldVMs)
	for i := range nodes {
		var err error
		if nodes[i], err = net.newNode(ident.VMID(fmt.Sprintf("vm-%d", i)), target); err != nil {
			return nil, err
		}
	}
	view, b := members(nodes, func(int) bool { return true }, membership.Dead), oneTarget()
	for _, n := range nodes {
		n.see(view, b)
	}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, n := range nodes {
		keepBusy(ctx, n, coldSenders, &work)
	}
	pause(ctx, gate.TakeoverDelay+firstContact)
	first := target.takeWorst()
	const warming = coldRequests*coldSlowdown*serviceTime + coldSettle
	for range coldRestarts {
		target.stop()
		pause(ctx, restartTime)
		target.start()
		pause(ctx, warming)
	}
	restarted := target.takeWorst()
	target.fallBack()
	pause(ctx, warming)
	silent := target.takeWorst()
	stop()
	work.Wait()
	for _, n := range nodes {
		n.set.Close()
	}
	return []bench.Result{
		{Name: "routing_cold_load_first_contact", Value: first, Unit: "ratio", Bound: 1, Less: true},
		{Name: "routing_cold_load_after_restart", Value: restarted, Unit: "ratio", Bound: 1, Less: true},
		// What was admitted before the first reply that shows the change cannot be taken back.
		{Name: "routing_cold_load_silent_fall", Value: silent, Unit: "ratio", Informative: true},
		{Name: "routing_warm_load_over_slots", Value: target.worstWarm, Unit: "ratio", Bound: 1, Less: true},
		{Name: "routing_cold_admitted", Value: float64(target.admitted), Unit: "requests", Informative: true},
	}, nil
}
