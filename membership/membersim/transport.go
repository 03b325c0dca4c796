package membersim

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
)

// link is the transport of one process.
type link struct{ endpoint *Endpoint }

// call is one call under way; the first of reply and timeout ends it.
type call struct {
	from *Endpoint
	over bool
}

func (e *Endpoint) begin(timeout time.Duration, fail func()) *call {
	c := &call{from: e}
	e.net.at(e.net.Clock.Now().Add(timeout), func() { c.end(fail) })
	return c
}

func (c *call) end(f func()) {
	c.from.run(func() {
		if !c.over {
			c.over = true
			f()
		}
	})
}

// send carries one message; deliver runs on the process that has the receiver's address.
func (n *Network) send(from, to membership.Member, deliver func(to *Endpoint)) {
	n.carry(from, to, func() {
		if e := n.endpoints[to.Address]; e != nil {
			e.run(func() { deliver(e) })
		}
	})
}

// reply carries an answer back to the process that called.
func (c *call) reply(from membership.Member, f func()) {
	c.from.net.carry(from, c.from.Member, func() { c.end(f) })
}

func (n *Network) carry(from, to membership.Member, f func()) {
	n.Messages++
	if n.Lost == nil || !n.Lost(from, to) {
		n.at(n.Clock.Now().Add(n.Delay), f)
	}
}

// Probe implements membership.Transport.
func (l link) Probe(to membership.Member, req membership.ProbeRequest, timeout time.Duration, done func(membership.ProbeReply, error)) {
	e := l.endpoint
	c := e.begin(timeout, func() { done(membership.ProbeReply{}, ErrTimeout) })
	req = e.net.encodeRequest(req)
	e.net.send(e.Member, to, func(peer *Endpoint) {
		reply := e.net.encodeReply(peer.HandleProbe(req))
		c.reply(peer.Member, func() { done(reply, nil) })
	})
}

// IndirectProbe implements membership.Transport.
func (l link) IndirectProbe(via, from, target membership.Member, timeout time.Duration, done func(membership.IndirectReply, error)) {
	e := l.endpoint
	c := e.begin(timeout, func() { done(membership.IndirectReply{}, ErrTimeout) })
	e.net.count(&peerv1.IndirectProbeRequest{From: wire.Member(from), Target: wire.Member(target)})
	e.net.send(e.Member, via, func(helper *Endpoint) {
		helper.HandleIndirectProbe(from, target, func(reply membership.IndirectReply) {
			e.net.count(&peerv1.IndirectProbeResponse{Reachable: reply.Reachable, Target: wire.Member(reply.Target)})
			c.reply(helper.Member, func() { done(reply, nil) })
		})
	})
}

// Leave implements membership.Transport.
func (l link) Leave(to, self membership.Member, timeout time.Duration, done func(error)) {
	e := l.endpoint
	c := e.begin(timeout, func() { done(ErrTimeout) })
	e.net.count(&peerv1.LeaveRequest{Member: wire.Member(self)})
	e.net.send(e.Member, to, func(peer *Endpoint) {
		peer.HandleLeave(self)
		c.reply(peer.Member, func() { done(nil) })
	})
}

func (n *Network) count(m proto.Message) {
	if n.Encode {
		n.Bytes += uint64(proto.Size(m))
	}
}

func (n *Network) encodeRequest(req membership.ProbeRequest) membership.ProbeRequest {
	if !n.Encode {
		return req
	}
	msg := new(peerv1.ProbeRequest)
	n.transcode(wire.ProbeRequest(req), msg)
	return wire.FromProbeRequest(msg)
}

func (n *Network) encodeReply(reply membership.ProbeReply) membership.ProbeReply {
	if !n.Encode {
		return reply
	}
	msg := new(peerv1.ProbeResponse)
	n.transcode(wire.ProbeReply(reply), msg)
	return wire.FromProbeReply(msg)
}

func (n *Network) transcode(from, into proto.Message) {
	data, err := proto.Marshal(from)
	if err == nil {
		n.Bytes += uint64(len(data))
		err = proto.Unmarshal(data, into)
	}
	if err != nil {
		// The messages are generated from the same definition, so this is a broken build.
		panic(err)
	}
}
