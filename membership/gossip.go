package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// queuedUpdate is a changed member whose state is still piggybacked on probes and replies.
type queuedUpdate struct {
	id    ident.VMID
	sends int
}

// pushState holds the changed members that wait to be pushed, and the token bucket that limits pushes.
type pushState struct {
	pending  map[ident.VMID]bool
	due      time.Time
	tokens   float64
	refilled time.Time
}

// enqueue queues a changed member for the next push and for piggybacking. A member that is known only from the
// platform's list has no incarnation yet and is not gossiped.
func (n *Node) enqueue(m Member) {
	if m.Incarnation.Token == "" {
		return
	}
	n.updateQueue[m.ID] = &queuedUpdate{id: m.ID}
	n.push.pending[m.ID] = true
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

// current returns the state of a member, which may be this VM.
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

// updatesFor returns the updates for a message to the peer: this node's record of the peer if the peer may have to
// refute it, and the queued updates that were sent least often.
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
			delete(n.updateQueue, q.id)
		}
	}
	return b.members
}

// leastSent returns the queued updates ordered by how often they were sent, then by ID.
func (n *Node) leastSent() []*queuedUpdate {
	list := make([]*queuedUpdate, 0, len(n.updateQueue))
	for _, q := range n.updateQueue {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.id, b.id))
	})
	return list
}

// batch collects updates up to the limits of one message, maxUpdates and maxUpdateBytes.
type batch struct {
	members []Member
	bytes   int
}

// add appends the member and reports whether it fitted.
func (b *batch) add(m Member) bool {
	size := updateOverheadBytes + len(m.ID) + len(m.Zone) + len(m.Address) + len(m.Incarnation.Token) + len(m.State)
	if len(b.members) >= maxUpdates || b.bytes+size > maxUpdateBytes {
		return false
	}
	b.members = append(b.members, m)
	b.bytes += size
	return true
}

// flushPush sends the pending changes to random peers, each of which forwards those that are new to it. Changes for
// which there are too few tokens are not pushed; they still spread with probes.
func (n *Node) flushPush(now time.Time) {
	if n.push.due.IsZero() || now.Before(n.push.due) {
		return
	}
	n.push.due = time.Time{}
	n.push.tokens = min(pushBurst, n.push.tokens+pushRefill*now.Sub(n.push.refilled).Seconds())
	n.push.refilled = now
	ids := make([]ident.VMID, 0, len(n.push.pending))
	for id := range n.push.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(n.push.pending)
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
	for _, r := range n.pickPushed() {
		n.push.tokens--
		n.pushTo(r.Member, members)
	}
}

// acceptsPush reports whether updates may be pushed to the member.
func (r *record) acceptsPush() bool { return r.Usable() && r.Incarnation.Token != "" }

// pushTo sends updates to a peer. A push that fails is no evidence against the peer; only probes detect failures.
func (n *Node) pushTo(to Member, members []Member) {
	n.counters.pushes.Add(1)
	req := n.request(to, to.Incarnation.Token)
	req.Updates = members
	n.transport.Probe(to, req, directTimeout, func(reply ProbeReply, err error) {
		if err == nil {
			n.locked(func(time.Time) { n.mergeReply(reply) })
		}
		n.notifyConfig(reply, err)
	})
}

// allMembers returns the other members, except those known only from the platform's list.
func (n *Node) allMembers() []Member {
	all := make([]Member, 0, len(n.sorted)+1)
	for _, r := range n.sorted {
		if r.Incarnation.Token != "" {
			all = append(all, r.Member)
		}
	}
	return all
}

// sync requests all members from a peer and merges them.
func (n *Node) sync(r *record) {
	epoch := n.epoch
	n.counters.syncs.Add(1)
	n.transport.Probe(r.Member, n.request(r.Member, ""), directTimeout, func(reply ProbeReply, err error) {
		if err == nil {
			n.locked(func(time.Time) { n.mergeFullState(reply, epoch) })
		}
		n.notifyConfig(reply, err)
	})
}

// mergeFullState merges a reply with all members. Members that are dead here but usable at the peer are pushed to the
// peer as suspect, so that each of them refutes and returns to this view.
func (n *Node) mergeFullState(reply ProbeReply, epoch uint64) {
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
		n.endRefresh()
	}
}
