package requestbench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/admission"
	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/outcome"
)

// Parameters of the simulation: in virtual time, 8 VMs that receive queries send each query to 52 leaves with 2 slots
// each.
const (
	goodputVMs      = 8
	goodputLeaves   = 52
	goodputSlots    = 2
	goodputQueue    = 16 * goodputSlots // the queue limit of a gate
	goodputService  = 4 * time.Millisecond
	goodputDeadline = 76 * time.Millisecond
	goodputWarmUp   = 5 * time.Second
	goodputMeasured = 10 * time.Second
	// goodputCapacity is the rate in queries/s that keeps every slot of every leaf busy; 0.004 is goodputService in
	// seconds.
	goodputCapacity = float64(goodputSlots) / 0.004
)

// minGoodputRatio is the minimum ratio of the goodput at twice the capacity to that at capacity, as stated in the
// design document.
const minGoodputRatio = 0.9

func init() { bench.Register("admission_goodput", admissionGoodput) }

// admissionGoodput compares the rate of queries answered within the deadline at twice the capacity with the rate at
// capacity, with and without admission control.
func admissionGoodput() ([]bench.Result, error) {
	with, without := goodput(1, true), goodput(1, false)
	return []bench.Result{
		{Name: "goodput_at_capacity", Value: with, Unit: "queries/s", Informative: true},
		{Name: "goodput_at_capacity_without_admission", Value: without, Unit: "queries/s", Informative: true},
		{Name: "goodput_at_twice_capacity", Value: goodput(2, true) / with, Unit: "ratio", Bound: minGoodputRatio},
		{Name: "goodput_at_twice_capacity_without_admission", Value: goodput(2, false) / without, Unit: "ratio", Informative: true},
	}, nil
}

// simQuery is one query. pending counts the leaves that have not replied, failed is set if a reply is not OK, and done
// reports the end of the query to admission control, or is nil.
type simQuery struct {
	vm       int
	deadline time.Duration
	pending  int
	failed   bool
	finished bool
	done     func(late bool)
}

// simLeaf is a leaf with busy slots and a FIFO queue.
type simLeaf struct {
	busy  int
	queue []simWaiter
}

// simWaiter is a query that arrived at a leaf at the virtual time since.
type simWaiter struct {
	q     *simQuery
	since time.Duration
}

// simEvent runs a function at a virtual time.
type simEvent struct {
	at  time.Duration
	run func()
}

// simEvents is a heap.Interface ordered by time.
type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is a discrete-event simulation of the fleet.
type simulation struct {
	clock       *clockwork.FakeClock
	now         time.Duration
	events      simEvents
	random      *rand.Rand
	leaves      [goodputLeaves]simLeaf
	controllers []*admission.Controller
	answered    int
}

// goodput returns the rate, in queries/s, of queries answered by all leaves within the deadline. load is the arrival
// rate as a multiple of the capacity.
func goodput(load float64, admit bool) float64 {
	s := &simulation{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 2))}
	if admit {
		for range goodputVMs {
			s.controllers = append(s.controllers, admission.New(s.clock))
		}
	}
	s.scheduleArrival(load * goodputCapacity)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.clock.Advance(e.at - s.now)
		s.now = e.at
		e.run()
	}
	return float64(s.answered) / goodputMeasured.Seconds()
}

// schedule runs a function at the virtual time t.
func (s *simulation) schedule(t time.Duration, run func()) { heap.Push(&s.events, simEvent{t, run}) }

// scheduleArrival schedules the next query. Arrivals are a Poisson process and do not depend on the answers.
func (s *simulation) scheduleArrival(rate float64) {
	s.schedule(s.now+time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now < goodputWarmUp+goodputMeasured {
			s.startQuery()
			s.scheduleArrival(rate)
		}
	})
}

// startQuery sends a query to all leaves, unless admission control refuses it.
func (s *simulation) startQuery() {
	q := &simQuery{vm: s.random.IntN(goodputVMs), deadline: s.now + goodputDeadline, pending: goodputLeaves}
	if s.controllers != nil {
		done, ok := s.controllers[q.vm].Admit(admission.Normal)
		if !ok {
			return
		}
		q.done = done
	}
	for i := range s.leaves {
		s.send(i, q)
	}
	s.schedule(q.deadline, func() { s.finish(q, true) })
}

// send serves q at leaf i, queues it, or refuses it if the queue is full.
func (s *simulation) send(i int, q *simQuery) {
	leaf := &s.leaves[i]
	switch {
	case leaf.busy < goodputSlots:
		s.serve(i, simWaiter{q, s.now})
	case len(leaf.queue) < goodputQueue:
		leaf.queue = append(leaf.queue, simWaiter{q, s.now})
	default:
		s.reply(q, outcome.NotRunResult(outcome.ReasonQueueFull, ""))
	}
}

// serve occupies a slot of leaf i, and afterwards serves waiting queries whose deadlines have not passed.
func (s *simulation) serve(i int, w simWaiter) {
	leaf := &s.leaves[i]
	leaf.busy++
	queued := s.now - w.since
	// Service times are uniformly distributed between 0.5 and 1.5 times the mean.
	d := time.Duration((0.5 + s.random.Float64()) * float64(goodputService))
	s.schedule(s.now+d, func() {
		leaf.busy--
		s.reply(w.q, outcome.LeafResult{Status: outcome.LeafOK, QueueTime: queued})
		for len(leaf.queue) > 0 && leaf.busy < goodputSlots {
			next := leaf.queue[0]
			leaf.queue = leaf.queue[1:]
			if s.now < next.q.deadline {
				s.serve(i, next)
				continue
			}
			s.reply(next.q, outcome.NotRunResult(outcome.ReasonDeadline, ""))
		}
	})
}

// reply handles a leaf's reply to q.
func (s *simulation) reply(q *simQuery, r outcome.LeafResult) {
	if s.controllers != nil {
		s.controllers[q.vm].Observe(r)
	}
	q.pending--
	q.failed = q.failed || r.Status != outcome.LeafOK
	if q.pending == 0 {
		s.finish(q, s.now > q.deadline)
	}
}

// finish ends a query at its last reply or its deadline, whichever comes first; later calls have no effect.
func (s *simulation) finish(q *simQuery, late bool) {
	if q.finished {
		return
	}
	q.finished = true
	if !late && !q.failed && s.now >= goodputWarmUp && s.now < goodputWarmUp+goodputMeasured {
		s.answered++
	}
	if q.done != nil {
		q.done(late)
	}
}
