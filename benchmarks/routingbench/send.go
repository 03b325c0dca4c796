package routingbench

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"syscall"
	"time"

	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"google.golang.org/protobuf/proto"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/bundle"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
	"teaselbank.example/teaselbank/relay"
)

// Bounds of the cost of a relayed leaf request at its sender. At 7,840 leaf requests/s, 25 us each use a fifth of a
// core. The cost must not grow with the fleet: eight times as many leaf targets or VMs may add at most half.
const (
	maxSendMicros = 25.0
	maxSendAllocs = 100.0
	maxSendGrowth = 1.5
)

// Parameters of a measurement. The lowest cost among sendRounds rounds is reported, because other load on the machine
// only adds time.
const (
	sendRounds   = 5
	sendRequests = 4000
	queryBytes   = 200
)

func init() { bench.Register("routing_send", sendCost) }

// cannedPeer answers every relay call with the same bytes, so that only the sender's work is measured.
type cannedPeer struct{ reply []byte }

// RoundTrip implements http.RoundTripper.
func (a cannedPeer) RoundTrip(r *http.Request) (*http.Response, error) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil, err
	}
	return cannedResponse(a.reply), r.Body.Close()
}

// noLocalTargets is never called, because the sender owns no target.
type noLocalTargets struct{}

// DoLeaf implements relay.LocalRunner.
func (noLocalTargets) DoLeaf(context.Context, outcome.LeafRequest) outcome.LeafResult {
	return outcome.NotRunResult(outcome.ReasonNotOwner, "the sender owns no target")
}

// sendPoint is the mean cost of a relayed leaf request: CPU time in us and allocations.
type sendPoint struct{ micros, allocs float64 }

// sendCost measures the cost of a relayed leaf request at its sender for growing numbers of leaf targets and VMs.
func sendCost() ([]bench.Result, error) {
	var results []bench.Result
	series := map[string][][2]int{
		"leafs": {{designVMs, 375}, {designVMs, 750}, {designVMs, 1500}, {designVMs, designTargets}},
		"vms":   {{82, designTargets}, {164, designTargets}, {328, designTargets}, {designVMs, designTargets}},
	}
	for _, name := range []string{"leafs", "vms"} {
		var points []sendPoint
		for _, size := range series[name] {
			p, err := measureSend(size[0], size[1])
			if err != nil {
				return nil, err
			}
			points = append(points, p)
			at := fmt.Sprintf("%d_vms_%d_leafs_by_%s", size[0], size[1], name)
			results = append(results,
				bench.Result{Name: "routing_send_cpu_" + at, Value: p.micros, Unit: "us", Bound: maxSendMicros, LowerIsBetter: true},
				bench.Result{Name: "routing_send_allocs_" + at, Value: p.allocs, Unit: "allocs", Bound: maxSendAllocs, LowerIsBetter: true})
		}
		first, last := points[0], points[len(points)-1]
		results = append(results,
			bench.Result{Name: "routing_send_cpu_growth_by_" + name, Value: last.micros / first.micros, Unit: "ratio", Bound: maxSendGrowth, LowerIsBetter: true},
			bench.Result{Name: "routing_send_allocs_growth_by_" + name, Value: last.allocs / first.allocs, Unit: "ratio", Bound: maxSendGrowth, LowerIsBetter: true})
	}
	return results, nil
}

// measureSend returns the lowest CPU time and the fewest allocations per request among sendRounds rounds.
func measureSend(vms, leaves int) (sendPoint, error) {
	view, b := routingFleet(vms, leaves, bundle.Service{ID: "s", Slots: 6, ColdSlots: 1, Connections: 50})
	for i := range view.Members {
		view.Members[i].Address = "127.0.0.1:1"
	}
	reply, err := proto.Marshal(&peerv1.SendLeafResponse{Status: peerv1.LeafStatus_LEAF_STATUS_OK, RequestId: "r1",
		Shard: "s1", Snapshot: "2026-12-01", HeldSnapshots: []string{"2026-12-01"}, TargetIncarnation: "i1", Body: make([]byte, queryBytes)})
	if err != nil {
		return sendPoint{}, err
	}
	sender := &node{id: "sender", plan: placement.NewPlan(view, b), view: view}
	router, err := relay.NewRouter(relay.Options{Self: sender.id, Planner: sender, Viewer: sender, Local: noLocalTargets{},
		Peers: relay.NewPeers(&http.Client{Transport: cannedPeer{reply}}), Meter: sdkmetric.NewMeterProvider().Meter("benchmark")})
	if err != nil {
		return sendPoint{}, err
	}
	targets := make([]ident.TargetID, 0, leaves)
	for _, t := range b.Services[0].Targets {
		targets = append(targets, t.ID)
	}
	best := sendPoint{math.Inf(1), math.Inf(1)}
	for range sendRounds {
		p, err := sendRound(router, targets)
		if err != nil {
			return sendPoint{}, err
		}
		best.micros, best.allocs = min(best.micros, p.micros), min(best.allocs, p.allocs)
	}
	return best, nil
}

// sendRound sends sendRequests requests, to each target in turn.
func sendRound(router *relay.Router, targets []ident.TargetID) (sendPoint, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start, err := cpuTime()
	if err != nil {
		return sendPoint{}, err
	}
	for i := range sendRequests {
		res := router.Send(ctx, outcome.LeafRequest{ID: "r1", Service: "s", Target: targets[i%len(targets)], Shard: "s1",
			Snapshot: "2026-12-01", Query: make([]byte, queryBytes), Kind: outcome.SendFirst})
		if res.Status != outcome.LeafOK {
			return sendPoint{}, fmt.Errorf("leaf request failed: %s %s", res.Reason, res.Detail)
		}
	}
	end, err := cpuTime()
	if err != nil {
		return sendPoint{}, err
	}
	runtime.ReadMemStats(&after)
	return sendPoint{micros: float64((end - start).Microseconds()) / sendRequests,
		allocs: float64(after.Mallocs-before.Mallocs) / sendRequests}, nil
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("read CPU time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}
