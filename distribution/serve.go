package distribution

import (
	"bytes"
	"errors"

	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
)

// resultNeedWhole asks the pusher for a bundle that needs no base, or one against the version named.
const resultNeedWhole = "need_whole"

// HandlePush answers a peer that offers a bundle.
func (d *Distributor) HandlePush(req *peerv1.PushRequest) *peerv1.PushResponse {
	p := req.GetPayload()
	result, reason := d.receive(p, req.GetFrom(), true)
	have, digest := d.Version()
	return &peerv1.PushResponse{Result: result, Reason: reason, HaveVersion: have, HaveDigest: digest}
}

// HandleFetch answers a peer that asks for the bundle in force. The data is left out if the peer has it or a newer
// one; version and digest are always given.
func (d *Distributor) HandleFetch(req *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	cur := d.Store.Current()
	if cur == nil {
		return &peerv1.FetchResponse{}, nil
	}
	if o := known(cur, req.GetHaveVersion(), req.GetHaveDigest()); req.GetHaveVersion() > 0 && (o == same || o == higher) {
		return &peerv1.FetchResponse{Payload: &peerv1.BundlePayload{Version: cur.Bundle.Version, Digest: cur.Digest[:]}}, nil
	}
	payload, err := d.payloadFor(cur, req.GetHaveVersion(), req.GetHaveDigest())
	if err != nil {
		return nil, err
	}
	d.stats.sent(payload.GetEncoding(), len(payload.GetData()))
	return &peerv1.FetchResponse{Payload: payload}, nil
}

// order compares a version and digest that a peer names with the bundle in force.
type order int

const (
	lower order = iota
	same
	higher
	conflicting
)

func known(cur *config.InForce, version uint64, digest []byte) order {
	switch {
	case cur == nil || version > cur.Bundle.Version:
		return higher
	case version < cur.Bundle.Version:
		return lower
	case bytes.Equal(digest, cur.Digest[:]):
		return same
	default:
		return conflicting
	}
}

// receive decodes, verifies and offers a peer's payload. What is not new is answered from its header alone.
func (d *Distributor) receive(p *peerv1.BundlePayload, from string, forward bool) (result, reason string) {
	if p.GetVersion() == 0 {
		return string(config.Refused), "payload: has no version"
	}
	if result, done := d.answerKnown(p); done {
		return result, ""
	}
	d.intake.Lock()
	defer d.intake.Unlock()
	if result, done := d.answerKnown(p); done {
		return result, ""
	}
	raw, err := decode(p, d.base)
	if errors.Is(err, errNeedWhole) {
		return resultNeedWhole, err.Error()
	}
	if err != nil {
		d.stats.Refused.Add(1)
		d.Logger.Error("bundle_offered", "from", from, "verdict", config.Refused, "reason", err)
		return string(config.Refused), err.Error()
	}
	decision := d.take(raw, from, p, d.Store.Offer)
	if decision.Verdict == config.Accepted && forward {
		signal(d.accepted)
	}
	if decision.Verdict != config.Refused {
		d.heardOf(p.GetVersion())
	}
	return string(decision.Verdict), decision.Reason
}

func (d *Distributor) answerKnown(p *peerv1.BundlePayload) (string, bool) {
	switch known(d.Store.Current(), p.GetVersion(), p.GetDigest()) {
	case same:
		d.heardOf(p.GetVersion())
		return string(config.Same), true
	case lower:
		d.heardOf(p.GetVersion())
		return string(config.Older), true
	case conflicting:
		return string(config.Conflict), d.conflictKnown(p.GetDigest())
	}
	return "", false
}

// conflictKnown reports whether the alarm already names the digest, so that one conflict is not fetched and verified
// again with every gossip message.
func (d *Distributor) conflictKnown(digest []byte) bool {
	alarm := d.Store.Alarm()
	return alarm != nil && alarm.Names(digest)
}

// heardOf notes a peer that has a bundle. If it is not newer than ours, ours is confirmed.
func (d *Distributor) heardOf(version uint64) {
	d.heard.Store(true)
	if cur := d.Store.Current(); cur != nil && cur.Unconfirmed && version <= cur.Bundle.Version {
		d.Store.Confirm()
	}
}
