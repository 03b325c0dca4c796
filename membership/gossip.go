package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// queued is an update that is still piggybacked on messages.
type queued struct {
	id    ident.VMID
	sends int
}

// pushState holds the changes that wait to be pushed and the bound on pushed messages.
type pushState struct {
	fresh  map[ident.VMID]bool
	due    time.Time
	tokens float64
	filled time.Time
}

// enqueue queues a changed member for peers. Members known only from the platform's list are not spread.
func (n *Node) enqueue(m Member) {
	if m.Incarnation.Token == "" {
		return
	}
	n.queue[m.ID] = &queued{id: m.ID}
	n.push.fresh[m.ID] = true
	if n.push.due.IsZero() {
		n.push.due = n.clock.Now().Add(pushDelay)
		n.wakeAt(n.push.due)
	}
}

func (n *Node) wakeAt(at time.Time) {
	if n.wake != nil {
		n.wake(at)
	}
}

func (n *Node) current(id ident.VMID) (Member, bool) {
	if id == n.self.ID {
		return n.self, true
	}
	r, ok := n.records[id]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// updatesFor returns the updates for a message to the peer: what this node believes of the peer if that needs a
// refutation, and the queued updates that were sent least often.
func (n *Node) updatesFor(to Member) []Member {
	var b batch
	if r := n.records[to.ID]; r != nil && r.Incarnation.Token != "" &&
		(r.State != Alive || r.Incarnation.Token != to.Incarnation.Token) {
		b.add(r.Member)
	}
	limit := gossipFactor * bits.Len(uint(len(n.sorted)+1))
	for _, q := range n.leastSent() {
		m, ok := n.current(q.id)
		if ok && q.id != to.ID && !b.add(m) {
			break
		}
		q.sends++
		if q.sends >= limit || !ok {
			delete(n.queue, q.id)
		}
	}
	return b.members
}

func (n *Node) leastSent() []*queued {
	list := make([]*queued, 0, len(n.queue))
	for _, q := range n.queue {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.id, b.id))
	})
	return list
}

// batch gathers updates up to the bounds of one message.
type batch struct {
	members []Member
	bytes   int
}

func (b *batch) add(m Member) bool {
	size := updateOverheadBytes + len(m.ID) + len(m.Zone) + len(m.Address) + len(m.Incarnation.Token) + len(m.State)
	if len(b.members) >= maxUpdates || b.bytes+size > maxUpdateBytes {
		return false
	}
	b.members = append(b.members, m)
	b.bytes += size
	return true
}

// flushPush sends what changed to random peers, each of which forwards what is new to it.
func (n *Node) flushPush(now time.Time) {
	if n.push.due.IsZero() || now.Before(n.push.due) {
		return
	}
	n.push.due = time.Time{}
	n.push.tokens = min(pushBurst, n.push.tokens+pushRefill*now.Sub(n.push.filled).Seconds())
	n.push.filled = now
	ids := make([]ident.VMID, 0, len(n.push.fresh))
	for id := range n.push.fresh {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(n.push.fresh)
	for start := 0; start < len(ids) && n.push.tokens >= pushFanout; {
		var b batch
		for start < len(ids) {
			m, ok := n.current(ids[start])
			if ok && !b.add(m) {
				break
			}
			start++
		}
		n.pushBatch(b.members)
	}
}

func (n *Node) pushBatch(members []Member) {
	for _, r := range n.pick(pushFanout, (*record).takesPush) {
		n.push.tokens--
		n.pushTo(r.Member, members)
	}
}

func (r *record) takesPush() bool { return r.Usable() && r.Incarnation.Token != "" }

// pushTo sends updates to a peer. Its failure is no evidence: the probes of the round detect failures.
func (n *Node) pushTo(to Member, members []Member) {
	n.counters.pushes.Add(1)
	req := n.request(to, to.Incarnation.Token)
	req.Updates = members
	n.transport.Probe(to, req, directTimeout, func(reply ProbeReply, err error) {
		if err == nil {
			n.locked(func(time.Time) { n.mergeReply(reply) })
		}
		n.tellConfig(reply, err)
	})
}

// allMembers returns everything this node learned from members themselves or through their peers.
func (n *Node) allMembers() []Member {
	all := make([]Member, 0, len(n.sorted)+1)
	for _, r := range n.sorted {
		if r.Incarnation.Token != "" {
			all = append(all, r.Member)
		}
	}
	return all
}

// sync asks a peer for all its members.
func (n *Node) sync(r *record) {
	epoch := n.epoch
	n.counters.syncs.Add(1)
	n.transport.Probe(r.Member, n.request(r.Member, ""), directTimeout, func(reply ProbeReply, err error) {
		if err == nil {
			n.locked(func(time.Time) { n.mergeWhole(reply, epoch) })
		}
		n.tellConfig(reply, err)
	})
}

// mergeWhole takes an answer with all members. Members that are dead here and usable at the peer are sent to it as
// suspected, so that each refutes and comes back into this view.
func (n *Node) mergeWhole(reply ProbeReply, epoch uint64) {
	n.merge(reply.Self, false)
	var disputed batch
	for _, m := range reply.Updates {
		n.merge(m, true)
		r := n.records[m.ID]
		if r != nil && r.State == Dead && m.Usable() && sameProcess(m.Incarnation, r.Incarnation) {
			claim := r.Member
			claim.State = Suspect
			disputed.add(claim)
		}
	}
	if len(disputed.members) > 0 {
		n.pushTo(reply.Self, disputed.members)
	}
	if epoch == n.epoch {
		n.refreshed()
	}
}
