// Package soak runs daemons as separate processes, injects random faults into them and their dependencies, and checks the
// guarantees of the product against what clients and targets observe.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/platform/platformtest"
)

// Services that are not shards of an index.
const (
	serviceRead  = "reads"
	serviceOrder = "orders"
)

// replicas is the number of targets of each service, one in each zone.
const replicas = 3

// versionsKept is the number of consecutive versions that contain a version route, the version that adds it included.
const versionsKept = 3

// Options describe one run.
type Options struct {
	Seed int64
	VMs  int
	// FaultDuration is how long new faults are started.
	FaultDuration time.Duration
	// Clients is the number of clients of each VM.
	Clients int
	// Binary is the path of the daemon; settings files and logs are written to Dir.
	Binary, Dir string
	// Subnet is the second octet of the VMs' loopback addresses. Concurrent runs need different ones.
	Subnet int
	// Timed adds the checks of time bounds, which can fail on a busy machine.
	Timed bool
}

// Result is the result of a run.
type Result struct {
	Seed int64
	// Violations are the violations found, not the injected faults.
	Violations []string
	// Requests counts requests of clients, Served those with status 200, Arrivals requests at targets.
	Requests, Served, Arrivals int
	// Events lists the injected faults and planned operations in order.
	Events []string
	// Recovery is the time from the end of the last fault until all VMs served all probes again.
	Recovery time.Duration
}

// harness holds the processes, proxies and observations of one run.
type harness struct {
	Options
	record      *record
	store       *platformtest.Store
	targets     *targetSet
	zones       []string
	vms         []*vm
	version     atomic.Int64
	probeClient *http.Client
	// processMu has one lock for each VM, held while its process is stopped and started again.
	processMu []sync.Mutex
	configMu  sync.Mutex
	// activeFaults counts the faults that have not ended.
	activeFaults sync.WaitGroup
}

// versionRoute returns the name of the route that a version adds.
func versionRoute(version int) string { return fmt.Sprintf("v%d", version) }

// versionRoutes returns the version routes that a version contains: its own and those kept from earlier versions.
func versionRoutes(version int) []string {
	var routes []string
	for v := max(1, version-versionsKept+1); v <= version; v++ {
		routes = append(routes, versionRoute(v))
	}
	return routes
}

// shardSets are the shard sets between which the configurations alternate.
var shardSets = [][]string{{"a0", "a1", "a2", "a3", "a4"}, {"b0", "b1", "b2", "b3", "b4", "b5"}}

// versionsPerSet is the number of versions after which the configuration changes to the next shard set.
const versionsPerSet = 4

// Run runs one seed. The daemons are killed when it returns or ctx is cancelled.
func Run(ctx context.Context, o Options) (*Result, error) {
	h, err := newHarness(ctx, o)
	if err != nil {
		return nil, err
	}
	defer h.close()
	return h.run()
}

func newHarness(ctx context.Context, o Options) (*harness, error) {
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	h := &harness{Options: o, record: newRecord(), store: store, zones: []string{"a", "b", "c"}, probeClient: &http.Client{Timeout: time.Second}}
	h.record.shardSets = shardSets
	h.targets = &targetSet{store: store, record: h.record, random: rand.New(rand.NewPCG(uint64(o.Seed), 1))}
	h.publish()
	services := append(slices.Concat(shardSets...), serviceRead, serviceOrder)
	for _, service := range services {
		for i := range replicas {
			if _, err := h.targets.add(service, h.zones[i%len(h.zones)], nil); err != nil {
				return nil, err
			}
		}
	}
	return h, h.addVMs(ctx)
}

func (h *harness) addVMs(ctx context.Context) error {
	h.processMu = make([]sync.Mutex, h.VMs)
	for i := range h.VMs {
		link, err := newProxy(h.store.Address)
		if err != nil {
			return err
		}
		h.vms = append(h.vms, &vm{ctx: ctx, index: i, ip: fmt.Sprintf("127.%d.%d.1", h.Subnet, i+1), zone: h.zones[i%len(h.zones)],
			dir: h.Dir, binary: h.Binary, store: link, record: h.record})
	}
	for _, v := range h.vms {
		if err := v.writeSettings(h.zones, h.seedPeers(v.index)); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// seedPeerCount is the maximum number of seed peers in a settings file.
const seedPeerCount = 3

// seedPeers returns the addresses of the VMs that follow the VM with the given index.
func (h *harness) seedPeers(index int) []string {
	var seeds []string
	for i := range min(seedPeerCount, h.VMs-1) {
		seeds = append(seeds, h.vms[(index+i+1)%h.VMs].address(controlPort))
	}
	return seeds
}

// publish publishes the next version of the configuration.
func (h *harness) publish() {
	h.configMu.Lock()
	defer h.configMu.Unlock()
	version := int(h.version.Load()) + 1
	route := func(name, service string) platformtest.Route {
		return platformtest.Route{Name: name, Service: service, MaxTargets: maxSends, TimeoutMS: int(routeTimeout.Milliseconds()), ObjectiveMS: 400}
	}
	scatter := route(routeScatter, "")
	scatter.Shards, scatter.TopRecords, scatter.MinCoverage = shardSets[version/versionsPerSet%len(shardSets)], topRecords, minCoverage
	order := route(routeOrder, serviceOrder)
	order.NonIdempotent = true
	routes := []platformtest.Route{scatter, order, route(routeRead, serviceRead)}
	for _, name := range versionRoutes(version) {
		routes = append(routes, route(name, serviceRead))
	}
	h.record.mu.Lock()
	h.record.published[version] = time.Now()
	h.record.mu.Unlock()
	h.store.Publish(version, maxConns, routes)
	h.version.Store(int64(version))
}

// Timeouts that allow for a busy machine; the bounds that are checked are smaller.
const (
	startTimeout    = 60 * time.Second
	recoveryTimeout = 60 * time.Second
	stopGrace       = 30 * time.Second
	pollInterval    = 50 * time.Millisecond
	// recoveryBound and stopBound are checked in timed runs only.
	recoveryBound = 15 * time.Second
	stopBound     = stopTimeoutSeconds*time.Second + 500*time.Millisecond
)

func (h *harness) run() (*Result, error) {
	if !h.waitUntil(startTimeout, h.allServing) {
		return nil, fmt.Errorf("VMs not serving %s after their start; logs are in %s", startTimeout, h.Dir)
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, v := range h.vms {
		for i := range h.Clients {
			c := &client{vm: v, name: fmt.Sprintf("s%d-%d-%d", h.Seed, v.index, i), record: h.record, version: &h.version,
				random: rand.New(rand.NewPCG(uint64(h.Seed), uint64(100+v.index*h.Clients+i))), thinkTime: meanThinkTime}
			clients.Go(func() { c.run(done) })
		}
	}
	h.injectFaults()
	recovery := h.awaitRecovery()
	h.checkPropagation()
	h.stopAll()
	close(done)
	clients.Wait()
	return h.result(recovery), nil
}

// waitUntil polls the condition and reports whether it held before the timeout.
func (h *harness) waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// allServing reports whether every VM is ready and serves scatter, read and newest-version requests completely.
func (h *harness) allServing() bool {
	return !slices.ContainsFunc(h.vms, func(v *vm) bool { return !v.ready(h.probeClient) || !h.serving(v) })
}

// serving probes the scatter, read and newest version routes of the VM and reports whether all succeed.
func (h *harness) serving(v *vm) bool {
	for _, route := range []string{routeScatter, routeRead, versionRoute(int(h.version.Load()))} {
		h.record.mu.Lock()
		id := fmt.Sprintf("probe-%d", len(h.record.exchanges))
		h.record.mu.Unlock()
		a := &exchange{ID: id, Kind: probeKind(route), Route: route, Service: serviceRead, VM: v.index, Incarnation: int(v.incarnation.Load()), Sent: time.Now()}
		complete := h.probe(v, a)
		a.Ended = time.Now()
		h.record.addExchange(a)
		if !complete {
			return false
		}
	}
	return true
}

func probeKind(route string) kind {
	switch route {
	case routeScatter:
		return kindScatter
	case routeRead:
		return kindRead
	default:
		return kindVersion
	}
}

// probe sends the request and reports whether the response is a success without missing shards. It marks the exchange as
// abandoned, so that the checks ignore the response.
func (h *harness) probe(v *vm, a *exchange) bool {
	a.Abandoned = true
	req, err := http.NewRequest(http.MethodGet, "http://"+v.frontAddress()+"/"+a.Route+"/x", nil)
	if err != nil {
		return false
	}
	req.Host = "h.example"
	req.Close = true
	req.Header.Set(platformtest.HeaderID, a.ID)
	resp, err := h.probeClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	missing := resp.Header.Get(platformtest.HeaderMissingShards)
	return err == nil && resp.StatusCode == http.StatusOK && (missing == "" || missing == "0")
}

// awaitRecovery waits until all VMs serve again and returns how long that took.
func (h *harness) awaitRecovery() time.Duration {
	start := time.Now()
	ok := h.waitUntil(recoveryTimeout, h.allServing)
	took := time.Since(start)
	if !ok || (h.Timed && took > recoveryBound) {
		h.record.addViolation(fmt.Sprintf("RECOVER: VMs did not serve again in time: waited %s after the last fault", took.Round(time.Millisecond)))
	}
	return took
}

// propagationBound is the time within which all VMs apply a new configuration, a zone that is taken out and a draining
// target.
const propagationBound = 5 * time.Second

// exclusionWatch is how long the excluded zone and the draining target are observed.
const exclusionWatch = 1500 * time.Millisecond

// checkPropagation publishes a new version, takes out a zone and drains a target while no fault is active, and checks that
// all VMs apply this. The exclusion of the zone and the target is checked in timed runs only.
func (h *harness) checkPropagation() {
	zone := h.zones[int(h.Seed)%len(h.zones)]
	leaving := h.targets.firstInZone(h.zones[int(h.Seed+1)%len(h.zones)])
	h.store.EvacuateZone(zone, false)
	h.targets.publish(leaving, true, 0)
	h.publish()
	h.record.addEvent(-1, fmt.Sprintf("settle zone=%s leaving=%s version=%d", zone, leaving.server.ID, h.version.Load()))
	start := time.Now()
	propagated := h.waitUntil(recoveryTimeout, h.allServing)
	if took := time.Since(start); !propagated || (h.Timed && took > propagationBound) {
		h.record.addViolation(fmt.Sprintf("CONFIG: version %d not served by all VMs in time: waited %s", h.version.Load(), took.Round(time.Millisecond)))
	}
	if !h.Timed {
		return
	}
	time.Sleep(time.Until(start.Add(propagationBound)))
	from := time.Now()
	time.Sleep(exclusionWatch)
	h.record.addExclusion(zone, leaving.server.ID, from)
}

// stopAll stops all VMs while the clients continue to send requests.
func (h *harness) stopAll() {
	var all sync.WaitGroup
	for _, v := range h.vms {
		all.Go(func() {
			start := time.Now()
			h.record.addEvent(v.index, "stop")
			killed := v.stop(stopGrace)
			if took := time.Since(start); killed || (h.Timed && took > stopBound) {
				h.record.addViolation(fmt.Sprintf("STOP: vm-%d did not exit in time: took %s after SIGTERM", v.index, took.Round(time.Millisecond)))
			}
		})
	}
	all.Wait()
}

func (h *harness) result(recovery time.Duration) *Result {
	h.record.mu.Lock()
	defer h.record.mu.Unlock()
	res := &Result{Seed: h.Seed, Violations: findViolations(h.record), Requests: len(h.record.exchanges), Arrivals: len(h.record.arrivals), Recovery: recovery}
	for _, a := range h.record.exchanges {
		if a.Status == http.StatusOK {
			res.Served++
		}
	}
	for _, e := range h.record.events {
		res.Events = append(res.Events, fmt.Sprintf("%s vm=%d %s", e.At.Format(timeFormat), e.VM, e.What))
	}
	return res
}

// close kills the daemons and closes the proxies, the targets and the store.
func (h *harness) close() {
	for _, v := range h.vms {
		if v.process != nil {
			v.kill()
		}
		v.store.Close()
	}
	h.targets.close()
	h.store.Close()
}

// MakeDir creates the directory parent/seed-N for a run and returns its path.
func MakeDir(parent string, seed int64) (string, error) {
	dir := fmt.Sprintf("%s/seed-%d", parent, seed)
	return dir, os.MkdirAll(dir, 0o700)
}
