package membership

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

// probeRound probes one random member that is not dead and not being probed already.
func (n *Node) probeRound() {
	for _, r := range n.pickProbed() {
		n.probe(r)
	}
}

// probeDead may contact one dead member, to find those that returned or that a partition separated. The probability is
// such that over the whole fleet about deadProbeShare VMs contact each dead member in an interval.
func (n *Node) probeDead() {
	dead := 0
	for _, r := range n.sorted {
		if r.State == Dead {
			dead++
		}
	}
	alive := len(n.sorted) + 1 - dead
	if dead == 0 || n.rand.Float64()*float64(alive) > float64(deadProbeShare*dead) {
		return
	}
	for _, r := range n.pick(1, func(r *record) bool { return r.State == Dead }) {
		n.counters.deadProbes.Add(1)
		n.sync(r)
	}
}

// probe starts a direct probe of the member. If that fails, indirect probes follow, and if these fail as well, the
// member is suspected.
func (n *Node) probe(r *record) {
	r.probing = true
	id, incarnation, epoch := r.ID, r.Incarnation, n.epoch
	fullState := incarnation.Token == ""
	n.counters.probes.Add(1)
	n.transport.Probe(r.Member, n.request(r.Member, r.Incarnation.Token), directTimeout, func(reply ProbeReply, err error) {
		n.locked(func(time.Time) {
			switch {
			case err == nil && fullState:
				n.mergeFullState(reply, epoch)
			case err == nil:
				n.mergeReply(reply)
			}
			r := n.records[id]
			switch {
			case r == nil:
			case err == nil && reply.Self.ID == id:
				r.probing = false
				n.setIndirect(r, false)
			case r.Incarnation != incarnation || n.epoch != epoch:
				r.probing = false
			default:
				n.probeIndirect(r)
			}
		})
		n.notifyConfig(reply, err)
	})
}

// probeIndirect probes a member through other VMs after a direct probe failed.
func (n *Node) probeIndirect(r *record) {
	n.counters.probeFailures.Add(1)
	round := &indirectRound{id: r.ID, incarnation: r.Incarnation, epoch: n.epoch}
	helpers := n.pickHelpers(r)
	round.waiting = len(helpers)
	if len(helpers) == 0 {
		n.markUnreachable(r)
	}
	for _, h := range helpers {
		n.counters.indirectProbes.Add(1)
		n.transport.IndirectProbe(h.Member, n.self, r.Member, indirectTimeout, func(reply IndirectReply, err error) {
			n.locked(func(time.Time) { n.indirectDone(round, reply, err) })
		})
	}
}

// indirectRound is the state of the indirect probes that follow one failed direct probe.
type indirectRound struct {
	id          ident.VMID
	incarnation ident.Incarnation
	epoch       uint64
	waiting     int // indirect probes without a result yet
	reached     bool
}

// indirectDone handles the result of one indirect probe.
func (n *Node) indirectDone(round *indirectRound, reply IndirectReply, err error) {
	round.waiting--
	reached := err == nil && reply.Reachable && reply.Target.ID == round.id
	if reached {
		n.merge(reply.Target, false)
	}
	r := n.records[round.id]
	if r == nil || round.reached {
		return
	}
	switch {
	case reached:
		round.reached = true
		r.probing = false
		n.setIndirect(r, true)
	case round.waiting > 0:
	case r.Incarnation != round.incarnation || n.epoch != round.epoch:
		r.probing = false
	default:
		n.markUnreachable(r)
	}
}

// pickHelpers chooses the VMs that probe the target on behalf of this one. One of them is in a third availability zone
// if possible, because a broken link between two zones also breaks the indirect paths through VMs of these two zones.
func (n *Node) pickHelpers(target *record) []*record {
	usable := func(r *record) bool { return r != target && r.Usable() && !r.Indirect }
	chosen := n.pick(1, func(r *record) bool { return usable(r) && r.Zone != n.self.Zone && r.Zone != target.Zone })
	rest := n.pick(indirectProbeFanout-len(chosen), func(r *record) bool { return usable(r) && (len(chosen) == 0 || r != chosen[0]) })
	return append(chosen, rest...)
}

// markUnreachable handles a member that neither direct nor indirect probes reached. An alive member becomes suspect; a
// leaving one becomes dead at once, because it already gets no new work.
func (n *Node) markUnreachable(r *record) {
	r.probing = false
	m := r.Member
	switch m.State {
	case Alive:
		m.State = Suspect
	case Leaving:
		m.State = Dead
	default:
		return
	}
	n.counters.suspicions.Add(1)
	n.set(r, m)
	if s := n.suspects[r.ID]; s != nil {
		now := n.clock.Now()
		s.deadline, s.nextNotify = now.Add(suspicionTimeout), now.Add(suspectNotifyInterval)
	}
}

// suspicion is what this VM keeps of a suspected member in addition to its record.
type suspicion struct {
	// deadline is when the member is declared dead unless it has refuted the suspicion.
	deadline time.Time
	// nextNotify is when to notify the member again; it is zero if another VM began the suspicion.
	nextNotify time.Time
}

// expireSuspects declares the suspects dead whose deadline has passed, and notifies the remaining ones when that is
// due.
func (n *Node) expireSuspects(now time.Time) {
	if len(n.suspects) == 0 {
		return
	}
	for _, r := range n.sorted {
		s, ok := n.suspects[r.ID]
		switch {
		case !ok:
		case !now.Before(s.deadline):
			m := r.Member
			m.State = Dead
			n.set(r, m)
		case !s.nextNotify.IsZero() && !now.Before(s.nextNotify):
			s.nextNotify = now.Add(suspectNotifyInterval)
			n.notifySuspect(r)
		}
	}
}

// notifySuspect sends the suspicion to the suspected member, whose reply carries the refutation.
func (n *Node) notifySuspect(r *record) { n.pushTo(r.Member, []Member{r.Member}) }

// setIndirect sets whether only indirect probes reach the member.
func (n *Node) setIndirect(r *record, indirect bool) {
	if r.Indirect != indirect {
		r.Indirect = indirect
		n.changed = true
	}
}

// ReportFailure reports that a call to the member failed on the data path. The node probes the member at once, but at
// most once per reportInterval for this reason; if the probe fails as well, the member is suspected.
func (n *Node) ReportFailure(id ident.VMID) {
	n.locked(func(now time.Time) {
		r := n.records[id]
		if r == nil || r.State == Dead || r.probing || now.Sub(r.lastReport) < reportInterval {
			return
		}
		r.lastReport = now
		n.counters.reports.Add(1)
		n.probe(r)
	})
}

// request returns a probe request to a peer. If expected, the token of the peer's incarnation, is empty, the peer
// replies with all members.
func (n *Node) request(to Member, expected string) ProbeRequest {
	req := ProbeRequest{From: n.self, Updates: n.updatesFor(to), ExpectedIncarnation: expected}
	if n.config != nil {
		req.ConfigVersion, req.ConfigDigest = n.config.Version()
	}
	return req
}

// HandleProbe merges the updates of a peer's probe and returns the reply.
func (n *Node) HandleProbe(req ProbeRequest) ProbeReply {
	var reply ProbeReply
	n.locked(func(time.Time) {
		n.merge(req.From, false)
		for _, m := range req.Updates {
			n.merge(m, false)
		}
		reply.Self = n.self
		if req.ExpectedIncarnation == "" {
			reply.Updates = n.allMembers()
		} else {
			reply.Updates = n.updatesFor(req.From)
		}
	})
	if n.config != nil {
		reply.ConfigVersion, reply.ConfigDigest = n.config.Version()
		n.config.ObservePeerVersion(req.From, req.ConfigVersion, req.ConfigDigest)
	}
	return reply
}

// HandleIndirectProbe probes the target on behalf of a peer. It returns at once; done is called later with the result.
func (n *Node) HandleIndirectProbe(from, target Member, done func(IndirectReply)) {
	n.locked(func(time.Time) {
		n.merge(from, false)
		n.transport.Probe(target, n.request(target, target.Incarnation.Token), helperTimeout, func(reply ProbeReply, err error) {
			if err == nil {
				n.locked(func(time.Time) { n.mergeReply(reply) })
			}
			n.notifyConfig(reply, err)
			done(IndirectReply{Reachable: err == nil && reply.Self.ID == target.ID, Target: reply.Self})
		})
	})
}

// notifyConfig passes the configuration version of a successful reply on to the configuration.
func (n *Node) notifyConfig(reply ProbeReply, err error) {
	if err == nil && n.config != nil {
		n.config.ObservePeerVersion(reply.Self, reply.ConfigVersion, reply.ConfigDigest)
	}
}

// mergeReply merges the updates of a reply that does not hold all members.
func (n *Node) mergeReply(reply ProbeReply) {
	n.merge(reply.Self, false)
	for _, m := range reply.Updates {
		n.merge(m, false)
	}
}
