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

// Parameters of the cold-start benchmark: 8 VMs, the present fleet of an organisation, send requests to one target.
// Each VM keeps twice as many requests in flight as the target has slots.
const (
	coldVMs         = 8
	coldSenders     = 12
	coldSlots       = 1
	targetSlots     = 6
	coldRequests    = 400
	coldRestarts    = 4
	serviceTime     = time.Millisecond
	coldSlowdown    = 5
	sendDeadline    = 200 * time.Millisecond
	coldExtraTime   = 2 * time.Second
	restartDowntime = 20 * time.Millisecond
	// firstWarmUp is long enough for the target to finish coldRequests and for its owner to treat it as warm.
	firstWarmUp = 6 * time.Second
)

func init() { bench.Register("routing_cold", coldLoad) }

// coldTarget is a fake target. It is cold until coldRequests requests have finished. While it is cold, its service time
// is coldSlowdown times as long and it supports only coldSlots concurrent requests. A restart loses the running
// requests.
type coldTarget struct {
	mu          sync.Mutex
	incarnation int
	finished    int
	running     int
	lost        chan struct{}
	down        bool
	// worstCold and worstWarm are the maximum ratios of running requests to coldSlots while cold and to targetSlots while
	// warm; admitted counts started requests.
	worstCold, worstWarm float64
	admitted             int
}

func newColdTarget() *coldTarget { return &coldTarget{lost: make(chan struct{})} }

// stop ends the process and loses its running requests.
func (t *coldTarget) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.lost)
	t.down = true
	t.incarnation++
}

// start starts a new process, which is cold.
func (t *coldTarget) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = make(chan struct{})
	t.down, t.finished, t.running = false, 0, 0
}

// becomeCold makes the process cold without a restart.
func (t *coldTarget) becomeCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = 0
}

// takeWorstCold returns worstCold and resets it.
func (t *coldTarget) takeWorstCold() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	worst := t.worstCold
	t.worstCold = 0
	return worst
}

// begin starts a request and returns its service time. The channel lost is closed when the process ends; lost is nil
// while the process is down.
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

// Open implements gate.RunnerFactory.
func (t *coldTarget) Open(string, int) gate.Runner { return t }

// permitAll permits new work to every target with all its slots.
type permitAll struct{}

// Permit implements gate.Rules.
func (permitAll) Permit(ident.TargetID, time.Time) (float64, outcome.Reason) {
	return 1, outcome.ReasonNone
}

// node is one VM of an in-process fleet.
type node struct {
	id     ident.VMID
	set    *gate.Set
	router *relay.Router
	mu     sync.Mutex
	plan   *placement.Plan
	view   *membership.View
}

// Plan returns the plan in force.
func (n *node) Plan() *placement.Plan {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.plan
}

// View returns the membership view in force.
func (n *node) View() *membership.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view
}

// applyView puts a membership view and the plan computed from it in force.
func (n *node) applyView(view *membership.View, b *bundle.Bundle) {
	plan := placement.NewPlan(view, b)
	n.mu.Lock()
	n.plan, n.view = plan, view
	n.mu.Unlock()
	n.set.Apply(plan)
}

// network carries calls between the nodes of a fleet without sockets. While cut is set, every call fails.
type network struct {
	mu    sync.Mutex
	cut   bool
	nodes map[string]*node
}

// peer returns the node at the address.
func (w *network) peer(address string) (*node, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n, ok := w.nodes[address]; ok && !w.cut {
		return n, nil
	}
	return nil, fmt.Errorf("node %s is unreachable", address)
}

// Handover implements gate.HandoverClient.
func (w *network) Handover(_ context.Context, address string, from ident.VMID, targets []ident.TargetID) ([]gate.HandoverState, error) {
	n, err := w.peer(address)
	if err != nil {
		return nil, err
	}
	return n.set.ReleaseTo(from, targets), nil
}

// newNode adds a node whose gates send to the target, with an empty view.
func (w *network) newNode(id ident.VMID, target gate.RunnerFactory) (*node, error) {
	n := &node{id: id, view: &membership.View{}}
	n.set = gate.NewSet(gate.Options{Self: id, Clock: clockwork.NewRealClock(), Rules: permitAll{}, Runners: target, HandoverClient: w})
	var err error
	n.router, err = relay.NewRouter(relay.Options{Self: id, Planner: n, Viewer: n, Local: n.set,
		Peers: relay.NewPeers(&http.Client{Transport: w}), Meter: sdkmetric.NewMeterProvider().Meter("benchmark")})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[string(id)] = n
	return n, err
}

// keepBusy starts senders that each send one leaf request after another through the node until the context ends.
func keepBusy(ctx context.Context, n *node, senders int, wg *sync.WaitGroup) {
	for range senders {
		wg.Go(func() {
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

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fleetView returns a view in which the nodes for whose index alive returns true are alive, and all others are in
// otherState.
func fleetView(nodes []*node, alive func(int) bool, otherState membership.State) *membership.View {
	v := &membership.View{}
	for i, n := range nodes {
		state := otherState
		if alive(i) {
			state = membership.Alive
		}
		v.Members = append(v.Members, membership.Member{ID: n.id, Zone: "z", Address: string(n.id), State: state})
	}
	return v
}

// oneTarget returns a bundle with a single serving target.
func oneTarget() *bundle.Bundle {
	return &bundle.Bundle{Version: 1, Services: []bundle.Service{{ID: "s", Slots: targetSlots, ColdSlots: coldSlots, Connections: 50,
		Targets: []bundle.Target{{ID: "t1", Zone: "z", Address: "127.0.0.1:1", State: bundle.TargetServing}}}}}
}

// coldLoad measures the concurrent requests at a target, relative to its cold and its warm slots, under load from all
// nodes: when the nodes first send to the target, after restarts, and after the target becomes cold without a restart.
func coldLoad() ([]bench.Result, error) {
	target, net := newColdTarget(), &network{nodes: map[string]*node{}}
	nodes := make([]*node, coldVMs)
	for i := range nodes {
		var err error
		if nodes[i], err = net.newNode(ident.VMID(fmt.Sprintf("vm-%d", i)), target); err != nil {
			return nil, err
		}
	}
	view, b := fleetView(nodes, func(int) bool { return true }, membership.Dead), oneTarget()
	for _, n := range nodes {
		n.applyView(view, b)
	}
	ctx, stop := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	for _, n := range nodes {
		keepBusy(ctx, n, coldSenders, &senders)
	}
	pause(ctx, gate.TakeoverDelay+firstWarmUp)
	first := target.takeWorstCold()
	const warmUp = coldRequests*coldSlowdown*serviceTime + coldExtraTime
	for range coldRestarts {
		target.stop()
		pause(ctx, restartDowntime)
		target.start()
		pause(ctx, warmUp)
	}
	restarted := target.takeWorstCold()
	target.becomeCold()
	pause(ctx, warmUp)
	fallen := target.takeWorstCold()
	stop()
	senders.Wait()
	for _, n := range nodes {
		n.set.Close()
	}
	return []bench.Result{
		{Name: "routing_cold_load_first_contact", Value: first, Unit: "ratio", Bound: 1, LowerIsBetter: true},
		{Name: "routing_cold_load_after_restart", Value: restarted, Unit: "ratio", Bound: 1, LowerIsBetter: true},
		// A target that becomes cold without a restart shows this only in its next reply. Requests admitted before that
		// reply cannot be withdrawn, so this figure has no bound.
		{Name: "routing_cold_load_silent_fall", Value: fallen, Unit: "ratio", Informative: true},
		{Name: "routing_warm_load_over_slots", Value: target.worstWarm, Unit: "ratio", Bound: 1, LowerIsBetter: true},
		{Name: "routing_cold_admitted", Value: float64(target.admitted), Unit: "requests", Informative: true},
	}, nil
}
