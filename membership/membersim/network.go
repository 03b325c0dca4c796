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

// ErrTimeout is returned by a call that got no reply in time.
var ErrTimeout = errors.New("no reply within the timeout")

// Network holds the nodes and the messages between them.
type Network struct {
	Clock *clockwork.FakeClock
	Rand  *rand.Rand
	// Delay is the delay of every message in one direction.
	Delay time.Duration
	// Drop reports whether a message is dropped. If it is nil, none is.
	Drop func(from, to membership.Member) bool
	// Encode turns on the count of encoded bytes, and passes probes and their replies through their protobuf encoding.
	Encode bool
	// Messages and Bytes count the messages sent, also those dropped, and their encoded size. Bytes needs Encode.
	Messages, Bytes uint64

	events     eventQueue
	eventCount uint64
	processes  uint64
	endpoints  map[string]*Endpoint
}

// Endpoint is one process of a VM on the network.
type Endpoint struct {
	*membership.Node
	Member membership.Member

	net     *Network
	stopped bool
	paused  bool
	pending []func()
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

// Address returns the network address of a VM.
func Address(id ident.VMID) string { return "10.0.0.1:" + string(id) }

// Start starts a process of the VM. An earlier process of the VM must have been stopped or paused. Config may be nil.
func (n *Network) Start(id ident.VMID, zone ident.Zone, config membership.ConfigGossip) *Endpoint {
	n.processes++
	inc := ident.Incarnation{Started: n.Clock.Now(), Token: fmt.Sprintf("%016x", n.processes)}
	m := membership.Member{ID: id, Zone: zone, Address: Address(id), State: membership.Alive, Incarnation: inc}
	e := &Endpoint{Member: m, net: n}
	seed := n.Rand.Uint64()
	e.Node = membership.NewNode(membership.Options{Self: m, Clock: n.Clock, Rand: rand.New(rand.NewPCG(seed, 1)),
		Transport: transport{e}, Config: config, Wake: e.tickBy})
	n.endpoints[m.Address] = e
	// The first tick is at a random time within a second, because processes do not start at the same time.
	e.tickBy(n.Clock.Now().Add(time.Duration(n.Rand.Int64N(int64(time.Second)))))
	return e
}

// Stop ends the process without announcing a leave.
func (e *Endpoint) Stop() { e.stopped = true }

// Pause suspends the process until Wake. Messages to it and its timers are held back.
func (e *Endpoint) Pause() { e.paused = true }

// Wake resumes a paused process. Messages and timers that were held back are handled when the network runs next, so the
// caller can use the process before.
func (e *Endpoint) Wake() {
	e.paused = false
	pending := e.pending
	e.pending = nil
	for _, f := range pending {
		e.net.at(e.net.Clock.Now(), f)
	}
}

// run calls f unless the process has been stopped. If the process is paused, f is held back until Wake.
func (e *Endpoint) run(f func()) {
	switch {
	case e.stopped:
	case e.paused:
		e.pending = append(e.pending, func() { e.run(f) })
	default:
		f()
	}
}

// tickBy schedules the next tick for the given time unless it is already scheduled for that time or earlier.
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

// at schedules f to run when the clock reaches t.
func (n *Network) at(t time.Time, f func()) {
	n.eventCount++
	heap.Push(&n.events, event{t, n.eventCount, f})
}

// Run advances the clock by d and handles all events up to then.
func (n *Network) Run(d time.Duration) {
	n.runTo(n.Clock.Now().Add(d))
}

// checkInterval is how often RunUntil evaluates its condition, which may be costly with many nodes.
const checkInterval = 20 * time.Millisecond

// RunUntil advances the clock until done returns true or end is reached, and reports whether done returned true.
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
