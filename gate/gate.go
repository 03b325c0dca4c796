// Package gate schedules the slots of targets at their owner. All leaf requests to a target pass the owner's gate, so
// the number that run at once stays within the target's slots, whichever VMs they come from.
package gate

import (
	"context"
	"sync"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
)

// Runner runs a leaf request at a target, once a slot is granted.
type Runner interface {
	Send(ctx context.Context, address string, r outcome.LeafRequest) outcome.LeafResult
}

// Limits bound one target.
type Limits struct {
	// Slots is how many requests may run at once; ColdSlots applies in cold start.
	Slots     int
	ColdSlots int
	// Queue is how many requests may wait.
	Queue int
}

// Gate schedules the slots of one target.
type Gate struct {
	target  ident.TargetID
	address string
	runner  Runner
	slots   chan struct{}

	mu      sync.Mutex
	waiting int
	queue   int
}

// New returns the gate of one target.
func New(target ident.TargetID, address string, limits Limits, runner Runner) *Gate {
	return &Gate{target: target, address: address, runner: runner, slots: make(chan struct{}, limits.Slots), queue: limits.Queue}
}

// Do waits for a slot and runs the request.
func (g *Gate) Do(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	if !g.enqueue() {
		return outcome.LeafRefused(outcome.ReasonQueueFull, "the target's queue is full")
	}
	select {
	case g.slots <- struct{}{}:
		g.dequeue()
	case <-ctx.Done():
		g.dequeue()
		return outcome.LeafRefused(outcome.ReasonDeadline, "no slot before the deadline")
	}
	defer func() { <-g.slots }()
	res := g.runner.Send(ctx, g.address, r)
	res.Load = g.load()
	return res
}

func (g *Gate) enqueue() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting >= g.queue {
		return false
	}
	g.waiting++
	return true
}

func (g *Gate) dequeue() {
	g.mu.Lock()
	g.waiting--
	g.mu.Unlock()
}

func (g *Gate) load() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return uint32(g.waiting + len(g.slots))
}
