package distribution

import (
	"bytes"
	"errors"

	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
)

// resultNeedWhole is the result of a push whose delta cannot be decoded because the receiver does not have its base.
// The sender then sends a delta against the version that the response names, or the whole bundle.
const resultNeedWhole = "need_whole"

// HandlePush offers the bundle that a peer pushed to the store. The response holds the result and the version and
// digest of the bundle then in force.
func (d *Distributor) HandlePush(req *peerv1.PushRequest) *peerv1.PushResponse {
	p := req.GetPayload()
	result, reason := d.receive(p, req.GetFrom(), true)
	have, digest := d.Version()
	return &peerv1.PushResponse{Result: result, Reason: reason, HaveVersion: have, HaveDigest: digest}
}

// HandleFetch returns the bundle in force, as a delta if this VM has the peer's version. If the peer has this bundle or
// a newer one, only the version and digest are set. The response is empty if no bundle is in force.
func (d *Distributor) HandleFetch(req *peerv1.FetchRequest) (*peerv1.FetchResponse, error) {
	cur := d.Store.Current()
	if cur == nil {
		return &peerv1.FetchResponse{}, nil
	}
	if o := compareVersion(cur, req.GetHaveVersion(), req.GetHaveDigest()); req.GetHaveVersion() > 0 && (o == same || o == higher) {
		return &peerv1.FetchResponse{Payload: &peerv1.BundlePayload{Version: cur.Bundle.Version, Digest: cur.Digest[:]}}, nil
	}
	payload, err := d.payloadFor(cur, req.GetHaveVersion(), req.GetHaveDigest())
	if err != nil {
		return nil, err
	}
	d.stats.sent(payload.GetEncoding(), len(payload.GetData()))
	return &peerv1.FetchResponse{Payload: payload}, nil
}

// order is the relation of a version and digest advertised by a peer to the bundle in force.
type order int

const (
	lower order = iota
	same
	higher
	// conflicting means the version in force with a different digest.
	conflicting
)

func compareVersion(cur *config.InForce, version uint64, digest []byte) order {
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

// receive decodes a bundle sent by a peer and offers it to the store, which verifies it. A bundle whose version and
// digest show that it is not new is not decoded. If forward is true, an accepted bundle is pushed to other peers.
func (d *Distributor) receive(p *peerv1.BundlePayload, from string, forward bool) (result, reason string) {
	if p.GetVersion() == 0 {
		return string(config.Refused), "bundle payload has no version"
	}
	if result, done := d.resultFromHeader(p); done {
		return result, ""
	}
	d.intakeMu.Lock()
	defer d.intakeMu.Unlock()
	if result, done := d.resultFromHeader(p); done {
		return result, ""
	}
	raw, err := decode(p, d.basePayload)
	if errors.Is(err, errNeedWhole) {
		return resultNeedWhole, err.Error()
	}
	if err != nil {
		d.stats.Refused.Add(1)
		d.Logger.Error("bundle_offered", "from", from, "verdict", config.Refused, "reason", err)
		return string(config.Refused), err.Error()
	}
	decision := d.offerLocked(raw, from, p, d.Store.Offer)
	if decision.Verdict == config.Accepted && forward {
		signal(d.forwardSignal)
	}
	if decision.Verdict != config.Refused {
		d.notePeerVersion(p.GetVersion())
	}
	return string(decision.Verdict), decision.Reason
}

// resultFromHeader returns the result for a payload if its version and digest alone determine the result. The second
// value is false if the payload has to be decoded.
func (d *Distributor) resultFromHeader(p *peerv1.BundlePayload) (string, bool) {
	switch compareVersion(d.Store.Current(), p.GetVersion(), p.GetDigest()) {
	case same:
		d.notePeerVersion(p.GetVersion())
		return string(config.Same), true
	case lower:
		d.notePeerVersion(p.GetVersion())
		return string(config.Older), true
	case conflicting:
		return string(config.Conflict), d.conflictRecorded(p.GetDigest())
	}
	return "", false
}

// conflictRecorded reports whether the alarm already records the digest, so that a conflicting bundle is not fetched
// and verified again with every gossip message.
func (d *Distributor) conflictRecorded(digest []byte) bool {
	alarm := d.Store.Alarm()
	return alarm != nil && alarm.Covers(digest)
}

// notePeerVersion records that a peer has a bundle with this version. If this version is not above the version in
// force, the bundle in force is confirmed.
func (d *Distributor) notePeerVersion(version uint64) {
	d.peerHasBundle.Store(true)
	if cur := d.Store.Current(); cur != nil && cur.Unconfirmed && version <= cur.Bundle.Version {
		d.Store.Confirm()
	}
}
