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

// Options configures a Node.
type Options struct {
	// Self is this VM; its state and incarnation must be set.
	Self      Member
	Clock     clockwork.Clock
	Rand      *rand.Rand
	Transport Transport
	// Config may be nil; probes then carry no configuration version.
	Config ConfigGossip
	// Wake, if not nil, is called when Tick should run earlier than the time it last returned. It must not block or
	// call the node.
	Wake func(at time.Time)
}

// Node is the failure detector of one VM. It starts no goroutines: it acts only in calls of its methods and in callbacks
// of the transport.
type Node struct {
	clock     clockwork.Clock
	transport Transport
	config    ConfigGossip
	wake      func(at time.Time)
	started   time.Time

	published atomic.Pointer[views]
	// lastTick is the time of the last Tick or, if later, of the last detected pause, in nanoseconds since started.
	lastTick atomic.Int64
	// stale reports that the process was paused and its refresh has not ended, so that View returns views.stale.
	stale      atomic.Bool
	superseded atomic.Bool
	counters   counters

	mu   sync.Mutex
	rand *rand.Rand
	self Member
	// selfUsableUntil is when this leaving VM stops listing itself as usable; it is zero otherwise.
	selfUsableUntil time.Time
	records         map[ident.VMID]*record
	// sorted holds the records ordered by ID.
	sorted      []*record
	suspects    map[ident.VMID]*suspicion
	updateQueue map[ident.VMID]*queuedUpdate
	push        pushState
	// epoch counts the pauses of this process. A call that began in an earlier epoch and failed is no evidence against
	// the peer.
	epoch uint64
	// changed reports that the published view is out of date.
	changed bool
	refresh refreshState
	next    schedule

	notifyMu  sync.Mutex
	notified  uint64 // generation of the view last passed to the listeners
	listeners []func(*View)
	// pauseListeners must not change after the first Tick.
	pauseListeners []func(time.Duration)
}

// views holds the published view twice: fresh as it is, and stale as a copy with the Stale flag set, which View returns
// after a pause of the process until the refresh ends. The copy is made at publication, so that a call of View that
// detects a pause does not allocate.
type views struct{ fresh, stale *View }

// schedule holds when each periodic task runs next.
type schedule struct{ probe, probeDead, evictDead time.Time }

// record is the state of another member at this node.
type record struct {
	Member
	// probing reports that a direct or indirect probe of the member is in flight.
	probing bool
	// lastReport is when a failure that the data path reported last caused a probe.
	lastReport time.Time
	// listed reports that the platform's last list names the member.
	listed bool
	// leavingIncarnation is the incarnation that was known when the platform's list first marked the member as leaving;
	// it is nil while the list does not mark it so.
	leavingIncarnation *ident.Incarnation
}

// NewNode returns a node whose view contains only this VM.
func NewNode(o Options) *Node {
	now := o.Clock.Now()
	n := &Node{clock: o.Clock, transport: o.Transport, config: o.Config, wake: o.Wake, started: now, rand: o.Rand,
		self: o.Self, records: map[ident.VMID]*record{}, suspects: map[ident.VMID]*suspicion{}, updateQueue: map[ident.VMID]*queuedUpdate{}}
	n.self.Since = now
	n.next = schedule{probe: now, probeDead: now.Add(deadProbeInterval), evictDead: now.Add(evictInterval)}
	n.push = pushState{tokens: pushBurst, refilled: now, pending: map[ident.VMID]bool{}}
	n.changed = true
	n.publish(now)
	return n
}

// Tick does the work that is due and returns when it must be called again, at most tickInterval later.
func (n *Node) Tick() time.Time {
	var next time.Time
	n.locked(func(now time.Time) {
		n.recordTick(now)
		n.refreshIfDue(now)
		n.expireSuspects(now)
		if !n.selfUsableUntil.IsZero() && !now.Before(n.selfUsableUntil) {
			n.selfUsableUntil, n.changed = time.Time{}, true
		}
		if !now.Before(n.next.probe) {
			n.next.probe = now.Add(probeInterval)
			n.probeRound()
		}
		if !now.Before(n.next.probeDead) {
			n.next.probeDead = now.Add(deadProbeInterval)
			n.probeDead()
		}
		if !now.Before(n.next.evictDead) {
			n.next.evictDead = now.Add(evictInterval)
			n.evictDead(now)
		}
		n.flushPush(now)
		next = n.nextDue(now)
	})
	return next
}

func (n *Node) nextDue(now time.Time) time.Time {
	next := now.Add(tickInterval)
	for _, t := range []time.Time{n.next.probe, n.push.due, n.refresh.next, n.selfUsableUntil} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	for _, s := range n.suspects {
		for _, t := range []time.Time{s.deadline, s.nextNotify} {
			if !t.IsZero() && t.Before(next) {
				next = t
			}
		}
	}
	return next
}

// locked runs f under the lock, publishes a new view if f changed something, and then notifies the listeners without
// the lock.
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

// publish builds and stores a new view if members have changed, and reports whether it did.
func (n *Node) publish(now time.Time) bool {
	if !n.changed {
		return false
	}
	n.changed = false
	members := make([]Member, 0, len(n.sorted)+1)
	own := n.self
	if !n.selfUsableUntil.IsZero() {
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

// notify calls the listeners outside the node's lock, so that a slow listener does not delay replies to probes.
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

// OnChange registers f and calls it with the current view, and later with each newer one. Views that are published in
// quick succession may be skipped.
func (n *Node) OnChange(f func(*View)) {
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	n.listeners = append(n.listeners, f)
	f(n.published.Load().fresh)
}

// SetConfigGossip makes probes carry the configuration version of c. It must be called before the first Tick.
func (n *Node) SetConfigGossip(c ConfigGossip) { n.config = c }

// Superseded reports whether a newer process has replaced this one under this VM's ID.
func (n *Node) Superseded() bool { return n.superseded.Load() }

// add stores and returns a new record for the member.
func (n *Node) add(m Member) *record {
	r := &record{Member: m}
	n.records[m.ID] = r
	at, _ := slices.BinarySearchFunc(n.sorted, m.ID, compareRecord)
	n.sorted = slices.Insert(n.sorted, at, r)
	return r
}

// evictDead removes members that have been dead for deadRetention and that the platform's list does not name.
func (n *Node) evictDead(now time.Time) {
	n.sorted = slices.DeleteFunc(n.sorted, func(r *record) bool {
		if r.State != Dead || r.listed || now.Sub(r.Since) < deadRetention {
			return false
		}
		delete(n.records, r.ID)
		delete(n.updateQueue, r.ID)
		n.changed = true
		return true
	})
}

// pick returns up to count random members for which ok returns true.
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
