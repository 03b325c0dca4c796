// Package wire converts the membership protocol to and from its protobuf messages.
package wire

import (
	"time"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Member returns the message of a member. What the sender thinks of its own path to the member stays out.
func Member(m membership.Member) *peerv1.Member {
	p := &peerv1.Member{Id: string(m.ID), Zone: string(m.Zone), Address: m.Address, Incarnation: m.Incarnation.Token,
		Sequence: m.Sequence, State: string(m.State)}
	if !m.Incarnation.Started.IsZero() {
		p.StartedNs = m.Incarnation.Started.UnixNano()
	}
	return p
}

// FromMember returns the member of a message. An unknown state is taken as suspect, which every later version of
// the protocol can refute.
func FromMember(p *peerv1.Member) membership.Member {
	m := membership.Member{ID: ident.VMID(p.GetId()), Zone: ident.Zone(p.GetZone()), Address: p.GetAddress(),
		Sequence: p.GetSequence(), State: state(p.GetState())}
	m.Incarnation.Token = p.GetIncarnation()
	if p.GetStartedNs() != 0 {
		m.Incarnation.Started = time.Unix(0, p.GetStartedNs())
	}
	return m
}

func state(s string) membership.State {
	switch known := membership.State(s); known {
	case membership.Alive, membership.Dead, membership.Leaving:
		return known
	default:
		return membership.Suspect
	}
}

func members(list []membership.Member) []*peerv1.Member {
	out := make([]*peerv1.Member, len(list))
	for i, m := range list {
		out[i] = Member(m)
	}
	return out
}

func fromMembers(list []*peerv1.Member) []membership.Member {
	out := make([]membership.Member, len(list))
	for i, m := range list {
		out[i] = FromMember(m)
	}
	return out
}

// ProbeRequest returns the message of a probe.
func ProbeRequest(r membership.ProbeRequest) *peerv1.ProbeRequest {
	return &peerv1.ProbeRequest{From: Member(r.From), Updates: members(r.Updates), ConfigVersion: r.ConfigVersion,
		ConfigDigest: r.ConfigDigest, ExpectedIncarnation: r.Expected}
}

// FromProbeRequest returns the probe of a message.
func FromProbeRequest(p *peerv1.ProbeRequest) membership.ProbeRequest {
	return membership.ProbeRequest{From: FromMember(p.GetFrom()), Updates: fromMembers(p.GetUpdates()),
		ConfigVersion: p.GetConfigVersion(), ConfigDigest: p.GetConfigDigest(), Expected: p.GetExpectedIncarnation()}
}

// ProbeReply returns the message of an answer to a probe.
func ProbeReply(r membership.ProbeReply) *peerv1.ProbeResponse {
	return &peerv1.ProbeResponse{Self: Member(r.Self), Updates: members(r.Updates), ConfigVersion: r.ConfigVersion,
		ConfigDigest: r.ConfigDigest}
}

// FromProbeReply returns the answer of a message.
func FromProbeReply(p *peerv1.ProbeResponse) membership.ProbeReply {
	return membership.ProbeReply{Self: FromMember(p.GetSelf()), Updates: fromMembers(p.GetUpdates()),
		ConfigVersion: p.GetConfigVersion(), ConfigDigest: p.GetConfigDigest()}
}
