package membership

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

// merge applies an update of a member if it supersedes the known state. An update from a reply with all members may be
// old: if it says dead and the member is usable here, the member is only suspected, so that it can refute before it
// loses its work.
func (n *Node) merge(m Member, fullState bool) {
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
	if fullState && m.State == Dead && r.Usable() && sameProcess(m.Incarnation, r.Incarnation) {
		m.State = Suspect
	}
	if supersedes(m, r.Member) {
		n.set(r, m)
	}
}

// set stores a new state of a member and queues it for gossip.
func (n *Node) set(r *record, m Member) {
	m.Since = n.clock.Now()
	m.Indirect = r.Indirect && sameProcess(m.Incarnation, r.Incarnation)
	if !sameProcess(m.Incarnation, r.Incarnation) {
		r.probing = false
	}
	r.Member = m
	delete(n.suspects, m.ID)
	if m.State == Suspect {
		n.suspects[m.ID] = &suspicion{deadline: m.Since.Add(remoteSuspicionTimeout)}
		if n.rand.IntN(len(n.sorted)+1) < suspectNotifiers {
			n.notifySuspect(r)
		}
	}
	n.changed = true
	n.enqueue(m)
}

// mergeSelf handles an update about this VM. If the update is no older than the VM's last announcement and says that
// this process is not alive, the VM refutes the update with a higher sequence number.
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
	// A peer saw this VM marked as leaving in the platform's list. The VM leaves instead of refuting, because a
	// refutation would bring work back to it.
	if m.State == Leaving {
		n.startLeaving()
	}
	n.counters.refutations.Add(1)
	n.announce(m.Sequence + 1)
}

// mergeOtherProcess handles an update about another process that runs or ran under this VM's ID.
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
	// The other process is an earlier one whose clock was ahead. Peers ignore this process unless its incarnation is
	// ordered after that of the earlier process.
	n.self.Incarnation.Started = m.Incarnation.Started.Add(time.Nanosecond)
	n.announce(n.self.Sequence + 1)
}

// announce raises this VM's sequence number and gossips its state.
func (n *Node) announce(sequence uint64) {
	n.self.Sequence = sequence
	n.self.Since = n.clock.Now()
	n.changed = true
	n.enqueue(n.self)
}

func (n *Node) startLeaving() {
	if n.self.State != Leaving {
		n.self.State = Leaving
		n.selfUsableUntil = n.clock.Now().Add(leaveGrace)
	}
}

// Leave announces that this VM takes no new work. When each of the peers contacted directly has replied or failed, done
// is called with the number of these peers. If there are none, Leave calls done(0) before it returns.
func (n *Node) Leave(done func(contacted int)) {
	contacted := 0
	n.locked(func(time.Time) {
		if n.self.State != Leaving {
			n.startLeaving()
			n.announce(n.self.Sequence + 1)
		}
		peers := n.pick(leaveFanout, func(r *record) bool { return r.Usable() })
		contacted = len(peers)
		waiting := contacted
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
	if contacted == 0 {
		done(0)
	}
}

// HandleLeave handles a peer's announcement that it is leaving.
func (n *Node) HandleLeave(m Member) {
	m.State = Leaving
	n.locked(func(time.Time) { n.merge(m, false) })
}

// ApplyList merges the platform's list of VMs, which may be out of date. The list adds unknown members and marks
// members as leaving, but it neither removes a member that replies to probes nor revives a dead one.
func (n *Node) ApplyList(list []ListedVM) {
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

func (n *Node) applyListed(now time.Time, l ListedVM) {
	r := n.records[l.ID]
	if r == nil {
		// The member has no incarnation yet, so any update from a peer supersedes it, and it is not gossiped.
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
		r.leavingIncarnation = nil
		return
	}
	// A list that lags still marks a VM as leaving after its restart, so the mark applies only to the incarnation that
	// was known when it first appeared.
	if r.leavingIncarnation == nil {
		incarnation := r.Incarnation
		r.leavingIncarnation = &incarnation
	}
	if r.Usable() && sameProcess(r.Incarnation, *r.leavingIncarnation) {
		m := r.Member
		m.State = Leaving
		n.set(r, m)
	}
}

func sameProcess(a, b ident.Incarnation) bool { return a.Token == b.Token }

// Join requests all members from the VM at a seed address, and makes this VM known to it.
func (n *Node) Join(address string) {
	n.locked(func(time.Time) { n.sync(&record{Member: Member{Address: address}}) })
}
