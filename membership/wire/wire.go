// Package wire carries the membership protocol over Connect RPC and converts its types to and from protobuf messages.
package wire

import (
	"time"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Member converts a member to its protobuf message. Since and Indirect are left out, because they apply only to the
// sending VM.
func Member(m membership.Member) *peerv1.Member {
	p := &peerv1.Member{Id: string(m.ID), Zone: string(m.Zone), Address: m.Address, Incarnation: m.Incarnation.Token,
		Sequence: m.Sequence, State: string(m.State), Capacity: uint32(max(0, m.Capacity))} //nolint:gosec // thousandths of a core
	if !m.Incarnation.Started.IsZero() {
		p.StartedNs = m.Incarnation.Started.UnixNano()
	}
	return p
}

// FromMember converts a protobuf message to a member. An unknown state, which a later version of the protocol may
// define, becomes suspect, because a member of any version can refute a suspicion.
func FromMember(p *peerv1.Member) membership.Member {
	m := membership.Member{ID: ident.VMID(p.GetId()), Zone: ident.Zone(p.GetZone()), Address: p.GetAddress(),
		Sequence: p.GetSequence(), State: parseState(p.GetState()), Capacity: int(p.GetCapacity())}
	m.Incarnation.Token = p.GetIncarnation()
	if p.GetStartedNs() != 0 {
		m.Incarnation.Started = time.Unix(0, p.GetStartedNs())
	}
	return m
}

func parseState(s string) membership.State {
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

// ProbeRequest converts a probe request to its protobuf message.
func ProbeRequest(r membership.ProbeRequest) *peerv1.ProbeRequest {
	return &peerv1.ProbeRequest{From: Member(r.From), Updates: members(r.Updates), ConfigVersion: r.ConfigVersion,
		ConfigDigest: r.ConfigDigest, ExpectedIncarnation: r.ExpectedIncarnation}
}

// FromProbeRequest converts a protobuf message to a probe request.
func FromProbeRequest(p *peerv1.ProbeRequest) membership.ProbeRequest {
	return membership.ProbeRequest{From: FromMember(p.GetFrom()), Updates: fromMembers(p.GetUpdates()),
		ConfigVersion: p.GetConfigVersion(), ConfigDigest: p.GetConfigDigest(), ExpectedIncarnation: p.GetExpectedIncarnation()}
}

// ProbeReply converts the reply to a probe to its protobuf message.
func ProbeReply(r membership.ProbeReply) *peerv1.ProbeResponse {
	return &peerv1.ProbeResponse{Self: Member(r.Self), Updates: members(r.Updates), ConfigVersion: r.ConfigVersion,
		ConfigDigest: r.ConfigDigest}
}

// FromProbeReply converts a protobuf message to the reply to a probe.
func FromProbeReply(p *peerv1.ProbeResponse) membership.ProbeReply {
	return membership.ProbeReply{Self: FromMember(p.GetSelf()), Updates: fromMembers(p.GetUpdates()),
		ConfigVersion: p.GetConfigVersion(), ConfigDigest: p.GetConfigDigest()}
}
