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

// The simulated fleet: 8 entry VMs send searches over 52 leaves of 2 slots, in virtual time.
const (
	goodputVMs      = 8
	goodputLeaves   = 52
	goodputSlots    = 2
	goodputQueue    = 16 * goodputSlots // as the gates bound it
	goodputService  = 4 * time.Millisecond
	goodputDeadline = 76 * time.Millisecond
	goodputWarmUp   = 5 * time.Second
	goodputMeasured = 10 * time.Second
	// goodputCapacity is the rate of queries that keeps every slot of every leaf busy.
	goodputCapacity = float64(goodputSlots) / 0.004
)

// minGoodputRatio is the stated target of the design page.
const minGoodputRatio = 0.9

func init() { bench.Register("admission_goodput", admissionGoodput) }

// admissionGoodput compares answers within the deadline at twice the capacity with those at capacity, with and without
// admission.
func admissionGoodput() ([]bench.Result, error) {
	with, without := goodput(1, true), goodput(1, false)
	return []bench.Result{
		{Name: "goodput_at_capacity", Value: with, Unit: "queries/s", Informative: true},
		{Name: "goodput_at_capacity_without_admission", Value: without, Unit: "queries/s", Informative: true},
		{Name: "goodput_at_twice_capacity", Value: goodput(2, true) / with, Unit: "ratio", Bound: minGoodputRatio},
		{Name: "goodput_at_twice_capacity_without_admission", Value: goodput(2, false) / without, Unit: "ratio", Informative: true},
	}, nil
}

type simQuery struct {
	vm       int
	deadline time.Duration
	left     int
	failed   bool
	ended    bool
	done     func(late bool)
}

type simLeaf struct {
	busy  int
	queue []simWaiter
}

type simWaiter struct {
	q     *simQuery
	since time.Duration
}

type simEvent struct {
	at  time.Duration
	run func()
}

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

type simulation struct {
	clock       *clockwork.FakeClock
	now         time.Duration
	events      simEvents
	random      *rand.Rand
	leaves      [goodputLeaves]simLeaf
	controllers []*admission.Controller
	answered    int
}

// goodput returns the queries per second that were answered whole within their deadline.
func goodput(load float64, admit bool) float64 {
	s := &simulation{clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(1, 2))}
	if admit {
		for range goodputVMs {
			s.controllers = append(s.controllers, admission.New(s.clock))
		}
	}
	s.arrivals(load * goodputCapacity)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.clock.Advance(e.at - s.now)
		s.now = e.at
		e.run()
	}
	return float64(s.answered) / goodputMeasured.Seconds()
}

func (s *simulation) at(t time.Duration, run func()) { heap.Push(&s.events, simEvent{t, run}) }

// arrivals schedules the next query; they arrive independently of each other, and of the answers.
func (s *simulation) arrivals(rate float64) {
	s.at(s.now+time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now < goodputWarmUp+goodputMeasured {
			s.arrive()
			s.arrivals(rate)
		}
	})
}

func (s *simulation) arrive() {
	q := &simQuery{vm: s.random.IntN(goodputVMs), deadline: s.now + goodputDeadline, left: goodputLeaves}
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
	s.at(q.deadline, func() { s.end(q, true) })
}

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

func (s *simulation) serve(i int, w simWaiter) {
	leaf := &s.leaves[i]
	leaf.busy++
	queued := s.now - w.since
	// Service times are uniform between half and one and a half times the mean.
	d := time.Duration((0.5 + s.random.Float64()) * float64(goodputService))
	s.at(s.now+d, func() {
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

func (s *simulation) reply(q *simQuery, r outcome.LeafResult) {
	if s.controllers != nil {
		s.controllers[q.vm].Observe(r)
	}
	q.left--
	q.failed = q.failed || r.Status != outcome.LeafOK
	if q.left == 0 {
		s.end(q, s.now > q.deadline)
	}
}

// end counts the first end of a query: its last reply or its deadline.
func (s *simulation) end(q *simQuery, late bool) {
	if q.ended {
		return
	}
	q.ended = true
	if !late && !q.failed && s.now >= goodputWarmUp && s.now < goodputWarmUp+goodputMeasured {
		s.answered++
	}
	if q.done != nil {
		q.done(late)
	}
}
