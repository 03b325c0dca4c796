package membersim

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/wire"
)

// transport implements membership.Transport for one process.
type transport struct{ endpoint *Endpoint }

// call is a call in flight. It ends with its reply or its timeout, whichever comes first.
type call struct {
	from *Endpoint
	done bool
}

// begin starts a call that runs fail if there is no reply within the timeout.
func (e *Endpoint) begin(timeout time.Duration, fail func()) *call {
	c := &call{from: e}
	e.net.at(e.net.Clock.Now().Add(timeout), func() { c.end(fail) })
	return c
}

// end runs f on the calling process unless the call has already ended.
func (c *call) end(f func()) {
	c.from.run(func() {
		if !c.done {
			c.done = true
			f()
		}
	})
}

// send transmits one message. deliver runs on the process that has the receiver's address when the message arrives.
func (n *Network) send(from, to membership.Member, deliver func(to *Endpoint)) {
	n.transmit(from, to, func() {
		if e := n.endpoints[to.Address]; e != nil {
			e.run(func() { deliver(e) })
		}
	})
}

// reply transmits a reply to the calling process, where f handles it.
func (c *call) reply(from membership.Member, f func()) {
	c.from.net.transmit(from, c.from.Member, func() { c.end(f) })
}

// transmit runs f after the delay of a message, unless the message is dropped.
func (n *Network) transmit(from, to membership.Member, f func()) {
	n.Messages++
	if n.Drop == nil || !n.Drop(from, to) {
		n.at(n.Clock.Now().Add(n.Delay), f)
	}
}

// Probe implements membership.Transport.
func (t transport) Probe(to membership.Member, req membership.ProbeRequest, timeout time.Duration, done func(membership.ProbeReply, error)) {
	e := t.endpoint
	c := e.begin(timeout, func() { done(membership.ProbeReply{}, ErrTimeout) })
	req = e.net.encodeRequest(req)
	e.net.send(e.Member, to, func(peer *Endpoint) {
		reply := e.net.encodeReply(peer.HandleProbe(req))
		c.reply(peer.Member, func() { done(reply, nil) })
	})
}

// IndirectProbe implements membership.Transport.
func (t transport) IndirectProbe(via, from, target membership.Member, timeout time.Duration, done func(membership.IndirectReply, error)) {
	e := t.endpoint
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
func (t transport) Leave(to, self membership.Member, timeout time.Duration, done func(error)) {
	e := t.endpoint
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
	n.roundTrip(wire.ProbeRequest(req), msg)
	return wire.FromProbeRequest(msg)
}

func (n *Network) encodeReply(reply membership.ProbeReply) membership.ProbeReply {
	if !n.Encode {
		return reply
	}
	msg := new(peerv1.ProbeResponse)
	n.roundTrip(wire.ProbeReply(reply), msg)
	return wire.FromProbeReply(msg)
}

// roundTrip encodes a message, counts its bytes and decodes it into another message of the same type.
func (n *Network) roundTrip(from, into proto.Message) {
	data, err := proto.Marshal(from)
	if err == nil {
		n.Bytes += uint64(len(data))
		err = proto.Unmarshal(data, into)
	}
	if err != nil {
		// Both messages have the same generated type, so this cannot fail unless the generated code is broken.
		panic(err)
	}
}
