package membership

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

func (n *Node) probeRound() {
	for _, r := range n.pick(1, func(r *record) bool { return r.State != Dead && !r.probing }) {
		n.probe(r)
	}
}

// probeDead looks for members that came back or that a partition had cut off.
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

// probe starts one round on the member: a direct probe, then indirect ones, then suspicion.
func (n *Node) probe(r *record) {
	r.probing = true
	id, incarnation, epoch := r.ID, r.Incarnation, n.epoch
	whole := incarnation.Token == ""
	n.counters.probes.Add(1)
	n.transport.Probe(r.Member, n.request(r.Member, r.Incarnation.Token), directTimeout, func(reply ProbeReply, err error) {
		n.locked(func(time.Time) {
			switch {
			case err == nil && whole:
				n.mergeWhole(reply, epoch)
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
		n.tellConfig(reply, err)
	})
}

func (n *Node) probeIndirect(r *record) {
	n.counters.probeFailures.Add(1)
	round := &indirectRound{id: r.ID, incarnation: r.Incarnation, epoch: n.epoch}
	via := n.helpers(r)
	round.waiting = len(via)
	if len(via) == 0 {
		n.unreachable(r)
	}
	for _, h := range via {
		n.counters.indirectProbes.Add(1)
		n.transport.IndirectProbe(h.Member, n.self, r.Member, indirectTimeout, func(reply IndirectReply, err error) {
			n.locked(func(time.Time) { n.indirectDone(round, reply, err) })
		})
	}
}

// indirectRound is the state of the indirect probes of one member.
type indirectRound struct {
	id          ident.VMID
	incarnation ident.Incarnation
	epoch       uint64
	waiting     int
	reached     bool
}

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
		n.unreachable(r)
	}
}

// helpers chooses the VMs for indirect probes. One of them stands in a third zone if there is one, because a broken
// link between two zones breaks the indirect paths within these two as well.
func (n *Node) helpers(target *record) []*record {
	usable := func(r *record) bool { return r != target && r.Usable() && !r.Indirect }
	chosen := n.pick(1, func(r *record) bool { return usable(r) && r.Zone != n.self.Zone && r.Zone != target.Zone })
	rest := n.pick(helpers-len(chosen), func(r *record) bool { return usable(r) && (len(chosen) == 0 || r != chosen[0]) })
	return append(chosen, rest...)
}

// unreachable acts on a failed round. A leaving member already has no new work, so it needs no suspicion.
func (n *Node) unreachable(r *record) {
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
		s.until, s.tell = now.Add(suspicionTime), now.Add(tellInterval)
	}
}

// suspicion is the state of a suspected member.
type suspicion struct {
	until time.Time
	// tell is when to tell the member again; it is zero where this VM only heard of the suspicion.
	tell time.Time
}

func (n *Node) expireSuspects(now time.Time) {
	if len(n.suspects) == 0 {
		return
	}
	for _, r := range n.sorted {
		s, ok := n.suspects[r.ID]
		switch {
		case !ok:
		case !now.Before(s.until):
			m := r.Member
			m.State = Dead
			n.set(r, m)
		case !s.tell.IsZero() && !now.Before(s.tell):
			s.tell = now.Add(tellInterval)
			n.tellSuspect(r)
		}
	}
}

// tellSuspect sends the suspicion to the member itself, whose answer carries the refutation.
func (n *Node) tellSuspect(r *record) { n.pushTo(r.Member, []Member{r.Member}) }

func (n *Node) setIndirect(r *record, indirect bool) {
	if r.Indirect != indirect {
		r.Indirect = indirect
		n.changed = true
	}
}

// ReportFailure starts a probe of the member at once; if that fails as well, the member is suspected.
func (n *Node) ReportFailure(id ident.VMID) {
	n.locked(func(now time.Time) {
		r := n.records[id]
		if r == nil || r.State == Dead || r.probing || now.Sub(r.reported) < reportInterval {
			return
		}
		r.reported = now
		n.counters.reports.Add(1)
		n.probe(r)
	})
}

// request returns a probe for a peer. An empty expected incarnation asks for all members.
func (n *Node) request(to Member, expected string) ProbeRequest {
	req := ProbeRequest{From: n.self, Updates: n.updatesFor(to), Expected: expected}
	if n.config != nil {
		req.ConfigVersion, req.ConfigDigest = n.config.Version()
	}
	return req
}

// HandleProbe answers a peer's probe.
func (n *Node) HandleProbe(req ProbeRequest) ProbeReply {
	var reply ProbeReply
	n.locked(func(time.Time) {
		n.merge(req.From, false)
		for _, m := range req.Updates {
			n.merge(m, false)
		}
		reply.Self = n.self
		if req.Expected == "" {
			reply.Updates = n.allMembers()
		} else {
			reply.Updates = n.updatesFor(req.From)
		}
	})
	if n.config != nil {
		reply.ConfigVersion, reply.ConfigDigest = n.config.Version()
		n.config.PeerHas(req.From, req.ConfigVersion, req.ConfigDigest)
	}
	return reply
}

// HandleIndirectProbe probes a target for a peer; done is called later with the result.
func (n *Node) HandleIndirectProbe(from, target Member, done func(IndirectReply)) {
	n.locked(func(time.Time) {
		n.merge(from, false)
		n.transport.Probe(target, n.request(target, target.Incarnation.Token), helperTimeout, func(reply ProbeReply, err error) {
			if err == nil {
				n.locked(func(time.Time) { n.mergeReply(reply) })
			}
			n.tellConfig(reply, err)
			done(IndirectReply{Reachable: err == nil && reply.Self.ID == target.ID, Target: reply.Self})
		})
	})
}

func (n *Node) tellConfig(reply ProbeReply, err error) {
	if err == nil && n.config != nil {
		n.config.PeerHas(reply.Self, reply.ConfigVersion, reply.ConfigDigest)
	}
}

func (n *Node) mergeReply(reply ProbeReply) {
	n.merge(reply.Self, false)
	for _, m := range reply.Updates {
		n.merge(m, false)
	}
}
