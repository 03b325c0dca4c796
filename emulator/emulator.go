// Package emulator runs the decisions of a site's VMs against emulated targets in one process: hundreds of VMs and shards
// take seconds. It compares rules over many seeds before they are tried on real processes. Time, the network and the
// targets are emulated; choices, hedges, budgets and coordinators are those of packages dispatch and coordinator.
package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"teaselbank.example/teaselbank/coordinator"
	"teaselbank.example/teaselbank/dispatch"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Config describes a fleet, its targets and its load.
type Config struct {
	// Zones is the number of zones. Each shard has a target in TargetZones of them.
	Zones, TargetZones int
	// SmallVMs and LargeVMs are the numbers of VMs in each zone, SmallCapacity and LargeCapacity their capacities in
	// thousandths of a core.
	SmallVMs, LargeVMs           int
	SmallCapacity, LargeCapacity int
	Shards                       int
	// SearchesPerSecond is the rate of searches at all VMs together, Length how long they arrive.
	SearchesPerSecond float64
	Length            time.Duration
	// Objective is the latency objective and MinCoverage the least share of shards of a successful response.
	Objective   time.Duration
	MinCoverage float64
	// Work is the median time that a target needs, WorkSpread the standard deviation of its logarithm. One request in
	// TailEvery takes TailFactor times as long.
	Work       time.Duration
	WorkSpread float64
	TailEvery  int
	TailFactor float64
	// Slots is how many requests a target runs at once. It pauses for Pause once in each PauseEvery.
	Slots             int
	Pause, PauseEvery time.Duration
	// RTT is the round trip between zones, SendTimePerCore the processor time for one send on a whole core.
	RTT, SendTimePerCore time.Duration
	// ExtraRatio, ExtraSlack and ExtraWindow bound the extra sends to a shard by all VMs.
	ExtraRatio, ExtraSlack float64
	ExtraWindow            time.Duration
	MaxTargets             int
	// Coordinators lets large VMs run the searches of small ones.
	Coordinators bool
	Seed         uint64
}

// LargeSite returns the configuration of a site with 295 VMs in five zones over 90 shards.
func LargeSite() Config {
	return Config{Zones: 5, TargetZones: 3, SmallVMs: 56, LargeVMs: 3, SmallCapacity: 192, LargeCapacity: 800, Shards: 90, SearchesPerSecond: 96,
		Length: 20 * time.Second, Objective: 250 * time.Millisecond, MinCoverage: 0.95, Work: 26 * time.Millisecond, WorkSpread: 0.35, TailEvery: 100,
		TailFactor: 5, Slots: 7, Pause: 250 * time.Millisecond, PauseEvery: 6 * time.Second, RTT: 7800 * time.Microsecond,
		SendTimePerCore: 100 * time.Microsecond, ExtraRatio: 0.2, ExtraSlack: 630, ExtraWindow: 10 * time.Second, MaxTargets: 2, Coordinators: true}
}

// Check returns an error that names the first field with an unusable value.
func (c *Config) Check() error {
	for _, f := range []struct {
		ok   bool
		name string
		want string
	}{
		{c.Zones > 0, "zones", "positive"},
		{c.TargetZones > 0 && c.TargetZones <= c.Zones, "target zones", "from 1 to the number of zones"},
		{c.SmallVMs+c.LargeVMs > 0, "VMs", "positive"},
		{c.SmallCapacity > 0 && c.LargeCapacity > 0, "capacities", "positive"},
		{c.Shards > 0, "shards", "positive"},
		{c.SearchesPerSecond > 0 && c.Length > 0, "searches a second and length", "positive"},
		{c.MinCoverage >= 0 && c.MinCoverage <= 1, "least coverage", "from 0 to 1"},
		{c.Slots > 0 && c.PauseEvery > c.Pause, "slots and pauses", "at least one slot, and pauses shorter than their interval"},
	} {
		if !f.ok {
			return fmt.Errorf("%s must be %s", f.name, f.want)
		}
	}
	return nil
}

// Result is what callers and targets saw.
type Result struct {
	Searches int
	// InTime counts the responses within the objective, Complete those of them that cover all shards. Credit is the sum of
	// the squares of their coverage.
	InTime, Complete int
	Credit           float64
	// Sends counts all sends, Extra those beyond the first of a shard, Denied the extra sends that a budget did not allow and
	// CrossZone the sends to another zone.
	Sends, Extra, Denied, CrossZone int
	// HandedOver counts the searches that a coordinator ran for another VM.
	HandedOver int
}

// Add adds the counts of another run.
func (r *Result) Add(o Result) {
	r.Searches += o.Searches
	r.InTime += o.InTime
	r.Complete += o.Complete
	r.Credit += o.Credit
	r.Sends += o.Sends
	r.Extra += o.Extra
	r.Denied += o.Denied
	r.CrossZone += o.CrossZone
	r.HandedOver += o.HandedOver
}

// Run emulates the fleet.
func Run(c Config) (Result, error) {
	if err := c.Check(); err != nil {
		return Result{}, err
	}
	f := newFleet(&c)
	f.schedule(f.start, f.arrive)
	for f.events.Len() > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	return f.result, nil
}

// event is something that happens at a moment.
type event struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// vm is one VM. It runs sends one after another.
type vm struct {
	zone      int
	cores     float64
	roles     coordinator.Roles
	pace      *coordinator.Pace
	busyUntil time.Time
	estimator *dispatch.LatencyEstimator
	// trackers and budgets are by shard, trackers also by target of the shard; they are made when first used.
	trackers [][]*dispatch.Tracker
	budgets  []*dispatch.Budget
	byID     map[ident.VMID]*vm
}

// target is one target of a shard.
type target struct {
	zone int
	// phase is the start of one of the target's pauses; slots holds when each slot is free.
	phase time.Duration
	slots []time.Time
}

// fleet is the state of one run.
type fleet struct {
	*Config
	// random draws what happens at targets and choices, arrivals when and where searches arrive, so that runs under
	// different rules get the same searches.
	random   *rand.Rand
	arrivals *rand.Rand
	start    time.Time
	now      time.Time
	events   eventQueue
	order    int
	vms      []*vm
	targets  [][]*target
	result   Result
}

func newFleet(c *Config) *fleet {
	f := &fleet{Config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), arrivals: rand.New(rand.NewPCG(c.Seed, 1)), start: time.Unix(0, 0)}
	var members []membership.Member
	for zone := range c.Zones {
		for i := range c.SmallVMs + c.LargeVMs {
			capacity := c.SmallCapacity
			if i < c.LargeVMs {
				capacity = c.LargeCapacity
			}
			id := fmt.Sprintf("%03d-%03d", zone, i)
			members = append(members, membership.Member{ID: ident.VMID(id), Zone: ident.Zone(fmt.Sprint(zone)), Address: id, State: membership.Alive, Capacity: capacity})
		}
	}
	byID := map[ident.VMID]*vm{}
	for i, m := range members {
		v := &vm{zone: i / (c.SmallVMs + c.LargeVMs), cores: float64(m.Capacity) / 1000, pace: coordinator.NewPace(m.Capacity), byID: byID,
			estimator: dispatch.NewLatencyEstimator(c.Objective), trackers: make([][]*dispatch.Tracker, c.Shards), budgets: make([]*dispatch.Budget, c.Shards)}
		if c.Coordinators {
			v.roles = coordinator.Assign(&membership.View{Self: m, Members: members}, func(membership.Member) bool { return false })
		} else {
			v.roles = coordinator.Roles{VMs: len(members)}
		}
		byID[m.ID] = v
		f.vms = append(f.vms, v)
	}
	for shard := range c.Shards {
		var list []*target
		for k := range c.TargetZones {
			list = append(list, &target{zone: (shard + k) % c.Zones, slots: make([]time.Time, c.Slots),
				phase: time.Duration(f.random.Int64N(int64(c.PauseEvery)))})
		}
		f.targets = append(f.targets, list)
	}
	return f
}

func (f *fleet) schedule(at time.Time, run func()) {
	f.order++
	heap.Push(&f.events, event{at, f.order, run})
}

// arrive starts a search at a random VM and schedules the next arrival.
func (f *fleet) arrive() {
	if f.now.Sub(f.start) >= f.Length {
		return
	}
	f.schedule(f.now.Add(time.Duration(f.arrivals.ExpFloat64()*float64(time.Second)/f.SearchesPerSecond)), f.arrive)
	entry := f.vms[f.arrivals.IntN(len(f.vms))]
	runner := entry
	if n := len(entry.roles.Local); n > 0 && !entry.roles.Self {
		offered := entry.byID[entry.roles.Local[f.random.IntN(n)].ID]
		if coordinator.WorthHandingOver(entry.pace.Estimate(f.now), offered.pace.Estimate(f.now)) {
			runner = offered
			f.result.HandedOver++
		}
	}
	f.result.Searches++
	s := &search{fleet: f, vm: runner, arrived: f.now, units: make([]unit, f.Shards)}
	s.answerBy = dispatch.AnswerBy(f.now, f.Objective)
	if runner != entry {
		s.answerBy = dispatch.AnswerByAtCoordinator(f.now, f.Objective)
	}
	began := later(f.now, runner.busyUntil)
	perSend := time.Duration(float64(f.SendTimePerCore) / runner.cores)
	for shard := range s.units {
		at := began.Add(time.Duration(shard+1) * perSend)
		f.schedule(at, func() { s.first(shard) })
	}
	runner.busyUntil = began.Add(time.Duration(f.Shards) * perSend)
	runner.pace.Observe(f.now, f.Shards, runner.busyUntil.Sub(f.now))
	f.schedule(s.answerBy, s.decide)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// finish returns when a target has processed a request that arrives at the given time.
func (f *fleet) finish(t *target, at time.Time) time.Time {
	free := 0
	for i := range t.slots {
		if t.slots[i].Before(t.slots[free]) {
			free = i
		}
	}
	work := time.Duration(float64(f.Work) * math.Exp(f.WorkSpread*f.random.NormFloat64()))
	if f.TailEvery > 0 && f.random.IntN(f.TailEvery) == 0 {
		work = time.Duration(float64(work) * f.TailFactor)
	}
	began := f.afterPause(t, later(at, t.slots[free]))
	done := began.Add(work)
	if resumed := f.afterPause(t, done); resumed.After(done) {
		done = done.Add(f.Pause)
	}
	t.slots[free] = done
	return done
}

// afterPause returns the end of the target's pause if it pauses at the given time, and the time itself otherwise.
func (f *fleet) afterPause(t *target, at time.Time) time.Time {
	if f.Pause <= 0 {
		return at
	}
	into := (at.Sub(f.start) + f.PauseEvery - t.phase) % f.PauseEvery
	if into < f.Pause {
		return at.Add(f.Pause - into)
	}
	return at
}
