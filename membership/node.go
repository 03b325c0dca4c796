package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/ident"
)

// Options are the parts of a node.
type Options struct {
	// Self is this VM; its state and incarnation must be set.
	Self      Member
	Clock     clockwork.Clock
	Rand      *rand.Rand
	Transport Transport
	// Config is optional.
	Config ConfigGossip
	// Wake is called when Tick should run at an earlier time than it last returned. It must not block or call the
	// node.
	Wake func(at time.Time)
}

// Node is one VM's failure detector. It is a state machine that acts only when it is called: by Tick, by handlers
// of peers' calls and by the transport.
type Node struct {
	clock     clockwork.Clock
	transport Transport
	config    ConfigGossip
	wake      func(at time.Time)
	started   time.Time

	published atomic.Pointer[views]
	// lastBeat is the time of the last Tick since started, in nanoseconds.
	lastBeat   atomic.Int64
	stale      atomic.Bool
	superseded atomic.Bool
	counters   counters

	mu   sync.Mutex
	rand *rand.Rand
	self Member
	// ownLeave is when this leaving VM stops to count itself as usable; it is zero otherwise.
	ownLeave time.Time
	records  map[ident.VMID]*record
	// sorted holds the records in order of id.
	sorted   []*record
	suspects map[ident.VMID]*suspicion
	queue    map[ident.VMID]*queued
	push     pushState
	// epoch counts pauses; the failure of a call that began before a pause says nothing of the peer.
	epoch   uint64
	changed bool
	refresh refreshState
	next    schedule

	notifyMu  sync.Mutex
	notified  uint64
	listeners []func(*View)
	// pauseListeners are fixed before the first Tick.
	pauseListeners []func(time.Duration)
}

// views are the two forms of the current view, so that a reader that notices a pause allocates nothing.
type views struct{ fresh, stale *View }

// schedule holds the times of the periodic work.
type schedule struct{ probe, dead, forget time.Time }

// record is what this node knows of another member.
type record struct {
	Member
	probing  bool
	reported time.Time
	// listed reports that the platform's list names the member.
	listed bool
	// listLeaving is the incarnation that was known when the list first called the member leaving.
	listLeaving *ident.Incarnation
}

// NewNode returns a node that knows only itself.
func NewNode(o Options) *Node {
	now := o.Clock.Now()
	n := &Node{clock: o.Clock, transport: o.Transport, config: o.Config, wake: o.Wake, started: now, rand: o.Rand,
		self: o.Self, records: map[ident.VMID]*record{}, suspects: map[ident.VMID]*suspicion{}, queue: map[ident.VMID]*queued{}}
	n.self.Since = now
	n.next = schedule{probe: now, dead: now.Add(deadProbeInterval), forget: now.Add(forgetInterval)}
	n.push = pushState{tokens: pushBurst, filled: now, fresh: map[ident.VMID]bool{}}
	n.changed = true
	n.publish(now)
	return n
}

// Tick does what is due and returns when it wants to be called again, at the latest after one beat.
func (n *Node) Tick() time.Time {
	var next time.Time
	n.locked(func(now time.Time) {
		n.beat(now)
		n.refreshDue(now)
		n.expireSuspects(now)
		if !n.ownLeave.IsZero() && !now.Before(n.ownLeave) {
			n.ownLeave, n.changed = time.Time{}, true
		}
		if !now.Before(n.next.probe) {
			n.next.probe = now.Add(probeInterval)
			n.probeRound()
		}
		if !now.Before(n.next.dead) {
			n.next.dead = now.Add(deadProbeInterval)
			n.probeDead()
		}
		if !now.Before(n.next.forget) {
			n.next.forget = now.Add(forgetInterval)
			n.forget(now)
		}
		n.flushPush(now)
		next = n.nextDue(now)
	})
	return next
}

func (n *Node) nextDue(now time.Time) time.Time {
	next := now.Add(beatInterval)
	for _, t := range []time.Time{n.next.probe, n.push.due, n.refresh.next, n.ownLeave} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	for _, s := range n.suspects {
		for _, t := range []time.Time{s.until, s.tell} {
			if !t.IsZero() && t.Before(next) {
				next = t
			}
		}
	}
	return next
}

// locked runs f under the lock, publishes what it changed and then tells the listeners.
func (n *Node) locked(f func(now time.Time)) {
	n.mu.Lock()
	now := n.clock.Now()
	n.observePause(now)
	f(now)
	published := n.publish(now)
	n.mu.Unlock()
	if published {
		n.notify()
	}
}

func (n *Node) publish(now time.Time) bool {
	if !n.changed {
		return false
	}
	n.changed = false
	members := make([]Member, 0, len(n.sorted)+1)
	own := n.self
	if !n.ownLeave.IsZero() {
		own.State = Alive
	}
	at, _ := slices.BinarySearchFunc(n.sorted, n.self.ID, compareRecord)
	for i, r := range n.sorted {
		if i == at {
			members = append(members, own)
		}
		members = append(members, r.Member)
	}
	if at == len(n.sorted) {
		members = append(members, own)
	}
	fresh := &View{Self: n.self, Members: members, Generation: 1, Updated: now}
	if old := n.published.Load(); old != nil {
		fresh.Generation = old.fresh.Generation + 1
	}
	stale := *fresh
	stale.Stale = true
	n.published.Store(&views{fresh: fresh, stale: &stale})
	return true
}

func compareRecord(r *record, id ident.VMID) int { return strings.Compare(string(r.ID), string(id)) }

// notify calls the listeners outside the node's lock, so that a slow listener does not delay answers to probes.
func (n *Node) notify() {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	view := n.published.Load().fresh
	if view.Generation <= n.notified {
		return
	}
	n.notified = view.Generation
	for _, f := range n.listeners {
		f(view)
	}
}

// OnChange registers a function that is called with the current view and each later one.
func (n *Node) OnChange(f func(*View)) {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	n.listeners = append(n.listeners, f)
	f(n.published.Load().fresh)
}

// SetConfig joins the spreading of bundles to the probes; it must be called before the first Tick.
func (n *Node) SetConfig(c ConfigGossip) { n.config = c }

// Superseded reports that a newer process has taken this VM's id.
func (n *Node) Superseded() bool { return n.superseded.Load() }

// add returns a new record for the member.
func (n *Node) add(m Member) *record {
	r := &record{Member: m}
	n.records[m.ID] = r
	at, _ := slices.BinarySearchFunc(n.sorted, m.ID, compareRecord)
	n.sorted = slices.Insert(n.sorted, at, r)
	return r
}

func (n *Node) forget(now time.Time) {
	n.sorted = slices.DeleteFunc(n.sorted, func(r *record) bool {
		if r.State != Dead || r.listed || now.Sub(r.Since) < deadRetention {
			return false
		}
		delete(n.records, r.ID)
		delete(n.queue, r.ID)
		n.changed = true
		return true
	})
}

// pick returns up to count random members that satisfy the condition.
func (n *Node) pick(count int, ok func(*record) bool) []*record {
	var found []*record
	for _, r := range n.sorted {
		if ok(r) {
			found = append(found, r)
		}
	}
	for i := range min(count, len(found)) {
		j := i + n.rand.IntN(len(found)-i)
		found[i], found[j] = found[j], found[i]
	}
	return found[:min(count, len(found))]
}
