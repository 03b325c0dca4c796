// Package soak runs real daemons as processes of their own, harms them and what they depend on in random ways, and
// checks the promises of the product from what clients and targets see.
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

// Services that are no shards.
const (
	serviceRead  = "reads"
	serviceOrder = "orders"
)

// replicas is the number of targets of each service; they stand in different zones.
const replicas = 3

// versionsKept is how many versions a route stays that one of them added.
const versionsKept = 3

// Options describe one run.
type Options struct {
	Seed int64
	VMs  int
	// Faults is how long faults go on.
	Faults time.Duration
	// Clients is the number of clients of each VM.
	Clients int
	// Binary is the daemon; Dir takes settings and logs.
	Binary, Dir string
	// Subnet is the second number of the VMs' loopback addresses, which keeps runs apart.
	Subnet int
	// Timed adds the bounds in seconds, which a busy machine may break.
	Timed bool
}

// Result is what a run came to.
type Result struct {
	Seed   int64
	Faults []string
	// Requests, Served and Arrivals count requests of clients, those with success, and requests at targets.
	Requests, Served, Arrivals int
	// Events are the faults that were made, in order.
	Events []string
	// Recovery is how long after the last fault everything was served again.
	Recovery time.Duration
}

// world is one run.
type world struct {
	Options
	record   *record
	store    *platformtest.Store
	backends *backends
	zones    []string
	vms      []*vm
	version  atomic.Int64
	outside  *http.Client
	// busy is held for a VM while its process is being replaced.
	busy     []sync.Mutex
	configMu sync.Mutex
	// underWay counts the faults that have not ended.
	underWay sync.WaitGroup
}

// versionRoute is the route that a version adds.
func versionRoute(version int) string { return fmt.Sprintf("v%d", version) }

// versionRoutes are the routes of a version that earlier ones or itself added.
func versionRoutes(version int) []string {
	var routes []string
	for v := max(1, version-versionsKept+1); v <= version; v++ {
		routes = append(routes, versionRoute(v))
	}
	return routes
}

// shardSets are the sets of shards that configurations name by turns.
var shardSets = [][]string{{"a0", "a1", "a2", "a3", "a4"}, {"b0", "b1", "b2", "b3", "b4", "b5"}}

// versionsPerSet is how many versions pass before the index is partitioned anew.
const versionsPerSet = 4

// Run plays one seed. Its processes end with the context.
func Run(ctx context.Context, o Options) (*Result, error) {
	w, err := newWorld(ctx, o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	return w.play()
}

func newWorld(ctx context.Context, o Options) (*world, error) {
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	w := &world{Options: o, record: newRecord(), store: store, zones: []string{"a", "b", "c"}, outside: &http.Client{Timeout: time.Second}}
	w.record.sets = shardSets
	w.backends = &backends{store: store, record: w.record, random: rand.New(rand.NewPCG(uint64(o.Seed), 1))}
	w.publish()
	services := append(slices.Concat(shardSets...), serviceRead, serviceOrder)
	for _, service := range services {
		for i := range replicas {
			if _, err := w.backends.add(service, w.zones[i%len(w.zones)], nil); err != nil {
				return nil, err
			}
		}
	}
	return w, w.addVMs(ctx)
}

func (w *world) addVMs(ctx context.Context) error {
	w.busy = make([]sync.Mutex, w.VMs)
	for i := range w.VMs {
		link, err := newProxy(w.store.Address)
		if err != nil {
			return err
		}
		w.vms = append(w.vms, &vm{ctx: ctx, index: i, ip: fmt.Sprintf("127.%d.%d.1", w.Subnet, i+1), zone: w.zones[i%len(w.zones)],
			dir: w.Dir, binary: w.Binary, store: link, record: w.record})
	}
	for _, v := range w.vms {
		if err := v.writeSettings(w.zones, w.seeds(v.index)); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// seedCount is how many peers a settings file names.
const seedCount = 3

func (w *world) seeds(of int) []string {
	var seeds []string
	for i := range min(seedCount, w.VMs-1) {
		seeds = append(seeds, w.vms[(of+i+1)%w.VMs].address(controlPort))
	}
	return seeds
}

// publish publishes the next version of the configuration.
func (w *world) publish() {
	w.configMu.Lock()
	defer w.configMu.Unlock()
	version := int(w.version.Load()) + 1
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
	w.record.mu.Lock()
	w.record.published[version] = time.Now()
	w.record.mu.Unlock()
	w.store.Publish(version, maxConns, routes)
	w.version.Store(int64(version))
}

// Limits of waiting. They are patience for a busy machine; the bounds of the promises are smaller.
const (
	startPatience    = 60 * time.Second
	recoveryPatience = 60 * time.Second
	stopPatience     = 30 * time.Second
	pollEvery        = 50 * time.Millisecond
	// recoveryBound and stopBound are the promises, which only timed runs check.
	recoveryBound = 15 * time.Second
	stopBound     = stopSeconds*time.Second + 500*time.Millisecond
)

func (w *world) play() (*Result, error) {
	if !w.until(startPatience, w.allServe) {
		return nil, fmt.Errorf("the VMs do not serve %s after their start; logs are in %s", startPatience, w.Dir)
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, v := range w.vms {
		for i := range w.Clients {
			c := &client{vm: v, name: fmt.Sprintf("s%d-%d-%d", w.Seed, v.index, i), record: w.record, version: &w.version,
				random: rand.New(rand.NewPCG(uint64(w.Seed), uint64(100+v.index*w.Clients+i))), think: clientThink}
			clients.Go(func() { c.run(done) })
		}
	}
	w.harm()
	recovery := w.recover()
	w.settle()
	w.stopAll()
	close(done)
	clients.Wait()
	return w.result(recovery), nil
}

// until polls a condition and reports whether it came to hold.
func (w *world) until(patience time.Duration, holds func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pollEvery) {
		if holds() {
			return true
		}
	}
	return false
}

// allServe reports whether every VM is ready and answers all kinds of requests whole, with the newest configuration.
func (w *world) allServe() bool {
	return !slices.ContainsFunc(w.vms, func(v *vm) bool { return !v.ready(w.outside) || !w.serves(v) })
}

func (w *world) serves(v *vm) bool {
	for _, route := range []string{routeScatter, routeRead, versionRoute(int(w.version.Load()))} {
		w.record.mu.Lock()
		id := fmt.Sprintf("probe-%d", len(w.record.answers))
		w.record.mu.Unlock()
		a := &answer{ID: id, Kind: probeKind(route), Route: route, Service: serviceRead, VM: v.index, Life: int(v.life.Load()), Sent: time.Now()}
		whole := w.probe(v, a)
		a.Ended = time.Now()
		w.record.answered(a)
		if !whole {
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

// probe asks without noting more than that it was asked: its answer is judged here.
func (w *world) probe(v *vm, a *answer) bool {
	a.Abandoned = true
	req, err := http.NewRequest(http.MethodGet, "http://"+v.front()+"/"+a.Route+"/x", nil)
	if err != nil {
		return false
	}
	req.Host = "h.example"
	req.Close = true
	req.Header.Set(platformtest.HeaderID, a.ID)
	resp, err := w.outside.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	missing := resp.Header.Get(platformtest.HeaderMissingShards)
	return err == nil && resp.StatusCode == http.StatusOK && (missing == "" || missing == "0")
}

// recover waits until everything is served again and returns how long that took.
func (w *world) recover() time.Duration {
	start := time.Now()
	ok := w.until(recoveryPatience, w.allServe)
	took := time.Since(start)
	if !ok || (w.Timed && took > recoveryBound) {
		w.record.fault(fmt.Sprintf("RECOVER: not everything is served %s after the last fault", took.Round(time.Millisecond)))
	}
	return took
}

// settleBound is the promise on how soon a new configuration, a zone taken out and a target that leaves are heeded.
const settleBound = 5 * time.Second

// settleWatch is how long targets that must get nothing are watched.
const settleWatch = 1500 * time.Millisecond

// settle changes what the platform says while nothing is harmed, and checks that all VMs heed it.
func (w *world) settle() {
	zone := w.zones[int(w.Seed)%len(w.zones)]
	leaving := w.backends.in(w.zones[int(w.Seed+1)%len(w.zones)])
	w.store.EvacuateZone(zone, false)
	w.backends.publish(leaving, true, 0)
	w.publish()
	w.record.event(-1, fmt.Sprintf("settle zone=%s leaving=%s version=%d", zone, leaving.leaf.ID, w.version.Load()))
	start := time.Now()
	heeded := w.until(recoveryPatience, w.allServe)
	if took := time.Since(start); !heeded || (w.Timed && took > settleBound) {
		w.record.fault(fmt.Sprintf("CONFIG: version %d is not served everywhere after %s", w.version.Load(), took.Round(time.Millisecond)))
	}
	if !w.Timed {
		return
	}
	time.Sleep(time.Until(start.Add(settleBound)))
	from := time.Now()
	time.Sleep(settleWatch)
	w.record.barred(zone, leaving.leaf.ID, from)
}

// stopAll asks all VMs to end while their clients go on.
func (w *world) stopAll() {
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(func() {
			start := time.Now()
			w.record.event(v.index, "stop")
			killed := v.stop(stopPatience)
			if took := time.Since(start); killed || (w.Timed && took > stopBound) {
				w.record.fault(fmt.Sprintf("STOP: vm-%d had not ended %s after SIGTERM", v.index, took.Round(time.Millisecond)))
			}
		})
	}
	all.Wait()
}

func (w *world) result(recovery time.Duration) *Result {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	res := &Result{Seed: w.Seed, Faults: checks(w.record), Requests: len(w.record.answers), Arrivals: len(w.record.arrivals), Recovery: recovery}
	for _, a := range w.record.answers {
		if a.Status == http.StatusOK {
			res.Served++
		}
	}
	for _, e := range w.record.events {
		res.Events = append(res.Events, fmt.Sprintf("%s vm=%d %s", e.At.Format(timeFormat), e.VM, e.What))
	}
	return res
}

// close ends all processes that the run started.
func (w *world) close() {
	for _, v := range w.vms {
		if v.process != nil {
			v.kill()
		}
		v.store.Close()
	}
	w.backends.close()
	w.store.Close()
}

// MakeDir returns a directory for one run below the given one.
func MakeDir(parent string, seed int64) (string, error) {
	dir := fmt.Sprintf("%s/seed-%d", parent, seed)
	return dir, os.MkdirAll(dir, 0o700)
}
