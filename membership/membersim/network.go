// Package membersim runs many membership nodes in one process on a fake clock and an in-memory network, for tests
// and benchmarks. It is deterministic: the same seed and the same calls give the same run.
package membersim

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// ErrTimeout is the error of a call without a reply.
var ErrTimeout = errors.New("no reply within the timeout")

// Network holds the nodes and the messages between them.
type Network struct {
	Clock *clockwork.FakeClock
	Rand  *rand.Rand
	// Delay is the one-way delay of every message.
	Delay time.Duration
	// Lost says whether a message is dropped; nil drops none.
	Lost func(from, to membership.Member) bool
	// Encode makes every message pass through its protobuf encoding, and counts its bytes.
	Encode bool
	// Messages and Bytes count what was sent.
	Messages, Bytes uint64

	events    eventQueue
	order     uint64
	started   uint64
	endpoints map[string]*Endpoint
}

// Endpoint is one process on the network.
type Endpoint struct {
	*membership.Node
	Member membership.Member

	net     *Network
	stopped bool
	paused  bool
	held    []func()
	tickAt  time.Time
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// New returns an empty network.
func New(seed uint64) *Network {
	return &Network{Clock: clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)), Rand: rand.New(rand.NewPCG(seed, seed)),
		Delay: 4 * time.Millisecond, endpoints: map[string]*Endpoint{}}
}

// Address returns the address of a VM on the network.
func Address(id ident.VMID) string { return "10.0.0.1:" + string(id) }

// Start runs a process of the VM; an earlier process of the VM must have been stopped. Config may be nil.
func (n *Network) Start(id ident.VMID, zone ident.Zone, config membership.ConfigGossip) *Endpoint {
	n.started++
	inc := ident.Incarnation{Started: n.Clock.Now(), Token: fmt.Sprintf("%016x", n.started)}
	m := membership.Member{ID: id, Zone: zone, Address: Address(id), State: membership.Alive, Incarnation: inc}
	e := &Endpoint{Member: m, net: n}
	seed := n.Rand.Uint64()
	e.Node = membership.NewNode(membership.Options{Self: m, Clock: n.Clock, Rand: rand.New(rand.NewPCG(seed, 1)),
		Transport: link{e}, Config: config, Wake: e.tickBy})
	n.endpoints[m.Address] = e
	// The first tick is spread over a round, because processes do not start in step.
	e.tickBy(n.Clock.Now().Add(time.Duration(n.Rand.Int64N(int64(time.Second)))))
	return e
}

// Stop ends the process without a word.
func (e *Endpoint) Stop() { e.stopped = true }

// Pause stops the process from running until Wake; messages to it wait.
func (e *Endpoint) Pause() { e.paused = true }

// Wake lets a paused process go on; what waited runs after the caller's next request.
func (e *Endpoint) Wake() {
	e.paused = false
	held := e.held
	e.held = nil
	for _, f := range held {
		e.net.at(e.net.Clock.Now(), f)
	}
}

// run executes f on the process unless it has ended; on a paused process it waits.
func (e *Endpoint) run(f func()) {
	switch {
	case e.stopped:
	case e.paused:
		e.held = append(e.held, func() { e.run(f) })
	default:
		f()
	}
}

func (e *Endpoint) tickBy(at time.Time) {
	if !e.tickAt.IsZero() && !at.Before(e.tickAt) {
		return
	}
	e.tickAt = at
	e.net.at(at, func() { e.run(func() { e.tick(at) }) })
}

func (e *Endpoint) tick(at time.Time) {
	if !e.tickAt.Equal(at) {
		return
	}
	e.tickAt = time.Time{}
	e.tickBy(e.Tick())
}

func (n *Network) at(t time.Time, f func()) {
	n.order++
	heap.Push(&n.events, event{t, n.order, f})
}

// Run lets the given time pass.
func (n *Network) Run(d time.Duration) {
	n.runTo(n.Clock.Now().Add(d))
}

// checkInterval is how often RunUntil looks at its condition, which may be costly with many nodes.
const checkInterval = 20 * time.Millisecond

// RunUntil lets time pass until the condition holds or the end is reached, and reports whether it held.
func (n *Network) RunUntil(end time.Time, done func() bool) bool {
	for !done() {
		now := n.Clock.Now()
		if !now.Before(end) {
			return false
		}
		next := now.Add(checkInterval)
		if next.After(end) {
			next = end
		}
		n.runTo(next)
	}
	return true
}

func (n *Network) runTo(end time.Time) {
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		if wait := e.at.Sub(n.Clock.Now()); wait > 0 {
			n.Clock.Advance(wait)
		}
		e.run()
	}
	n.Clock.Advance(max(0, end.Sub(n.Clock.Now())))
}
