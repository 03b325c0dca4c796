package membership

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

// merge takes a claim about a member. A claim out of an answer with all members may be old: there, a dead member
// that this node knows as usable is only suspected, so that it can refute before it loses its work.
func (n *Node) merge(m Member, whole bool) {
	if m.ID == n.self.ID {
		n.mergeSelf(m)
		return
	}
	if m.ID == "" || m.Address == "" {
		return
	}
	r := n.records[m.ID]
	if r == nil {
		n.set(n.add(m), m)
		return
	}
	if whole && m.State == Dead && r.Usable() && sameProcess(m.Incarnation, r.Incarnation) {
		m.State = Suspect
	}
	if supersedes(m, r.Member) {
		n.set(r, m)
	}
}

// set stores a new state of a member and queues it for the others.
func (n *Node) set(r *record, m Member) {
	m.Since = n.clock.Now()
	m.Indirect = r.Indirect && sameProcess(m.Incarnation, r.Incarnation)
	if !sameProcess(m.Incarnation, r.Incarnation) {
		r.probing = false
	}
	r.Member = m
	delete(n.suspects, m.ID)
	if m.State == Suspect {
		n.suspects[m.ID] = &suspicion{until: m.Since.Add(heardSuspicionTime)}
		if n.rand.IntN(len(n.sorted)+1) < suspectTellers {
			n.tellSuspect(r)
		}
	}
	n.changed = true
	n.enqueue(m)
}

// mergeSelf answers claims about this VM.
func (n *Node) mergeSelf(m Member) {
	if !sameProcess(m.Incarnation, n.self.Incarnation) {
		n.mergeOtherProcess(m)
		return
	}
	if m.State == Alive || m.Sequence < n.self.Sequence {
		return
	}
	if m.State == Leaving && n.self.State == Leaving && m.Sequence == n.self.Sequence {
		return
	}
	// The platform's list, seen by a peer, called this VM leaving: it agrees, so that no refutation brings work back.
	if m.State == Leaving {
		n.startLeaving()
	}
	n.counters.refutations.Add(1)
	n.announce(m.Sequence + 1)
}

// mergeOtherProcess deals with a claim about another process under this VM's id.
func (n *Node) mergeOtherProcess(m Member) {
	if !m.Incarnation.Newer(n.self.Incarnation) {
		return
	}
	if n.clock.Since(n.started) > joinWindow {
		n.superseded.Store(true)
		n.self.State = Leaving
		n.changed = true
		return
	}
	// The earlier process had a clock that was ahead; this one must be ordered after it to be seen at all.
	n.self.Incarnation.Started = m.Incarnation.Started.Add(time.Nanosecond)
	n.announce(n.self.Sequence + 1)
}

func (n *Node) announce(sequence uint64) {
	n.self.Sequence = sequence
	n.self.Since = n.clock.Now()
	n.changed = true
	n.enqueue(n.self)
}

func (n *Node) startLeaving() {
	if n.self.State != Leaving {
		n.self.State = Leaving
		n.ownLeave = n.clock.Now().Add(ownLeaveDelay)
	}
}

// Leave announces that this VM takes no new work; done is called with the number of peers that are told directly,
// when each has answered or failed to.
func (n *Node) Leave(done func(told int)) {
	told := 0
	n.locked(func(time.Time) {
		if n.self.State != Leaving {
			n.startLeaving()
			n.announce(n.self.Sequence + 1)
		}
		peers := n.pick(leaveFanout, func(r *record) bool { return r.Usable() })
		told = len(peers)
		waiting := told
		for _, r := range peers {
			n.transport.Leave(r.Member, n.self, directTimeout, func(error) {
				n.mu.Lock()
				waiting--
				last := waiting == 0
				n.mu.Unlock()
				if last {
					done(len(peers))
				}
			})
		}
	})
	if told == 0 {
		done(0)
	}
}

// HandleLeave takes a peer's announcement that it is leaving.
func (n *Node) HandleLeave(m Member) {
	m.State = Leaving
	n.locked(func(time.Time) { n.merge(m, false) })
}

// ApplyList takes the platform's list of VMs. The list lags, so it adds members that are unknown and marks those
// it calls leaving, but neither removes a member that answers nor revives a dead one.
func (n *Node) ApplyList(list []Listed) {
	n.locked(func(now time.Time) {
		for _, r := range n.sorted {
			r.listed = false
		}
		for _, l := range list {
			if l.ID != n.self.ID {
				n.applyListed(now, l)
			}
		}
	})
}

func (n *Node) applyListed(now time.Time, l Listed) {
	r := n.records[l.ID]
	if r == nil {
		// The member has no incarnation yet, so whatever a peer says of it takes precedence; it is not gossiped.
		r = n.add(Member{ID: l.ID, Zone: l.Zone, Address: l.Address, State: Alive, Since: now})
		n.changed = true
		n.next.probe = now
		n.wakeAt(now)
	}
	if r.Incarnation.Token == "" && (r.Address != l.Address || r.Zone != l.Zone) {
		r.Address, r.Zone = l.Address, l.Zone
		n.changed = true
	}
	r.listed = true
	if !l.Leaving {
		r.listLeaving = nil
		return
	}
	// A list that lags goes on calling a VM leaving after its restart: only the incarnation known at the first such
	// entry is meant.
	if r.listLeaving == nil {
		incarnation := r.Incarnation
		r.listLeaving = &incarnation
	}
	if r.Usable() && sameProcess(r.Incarnation, *r.listLeaving) {
		m := r.Member
		m.State = Leaving
		n.set(r, m)
	}
}

func sameProcess(a, b ident.Incarnation) bool { return a.Token == b.Token }

// Join asks the VM at an address, of which nothing else is known, for all members and makes this VM known there.
func (n *Node) Join(address string) {
	n.locked(func(time.Time) { n.sync(&record{Member: Member{Address: address}}) })
}
