package distribution

import (
	"bytes"
	"slices"
	"sync"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
)

// historyLength is how many payloads are kept as bases of deltas. Each costs up to 1 MB of the 32 MB that control may
// use; a VM that is further behind fetches a whole bundle.
const historyLength = 3

// encodedLength is how many encodings of the bundle in force are kept: one for each base in the history and a whole
// one.
const encodedLength = historyLength + 1

// history holds the latest accepted payloads, the newest last.
type history struct {
	mu   sync.Mutex
	list []*bundle.Verified
}

func (h *history) add(v *bundle.Verified) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Only what a delta needs is kept.
	h.list = append(h.list, &bundle.Verified{Bundle: &bundle.Bundle{Version: v.Bundle.Version}, Digest: v.Digest, Payload: v.Payload})
	if len(h.list) > historyLength {
		h.list = slices.Delete(h.list, 0, len(h.list)-historyLength)
	}
}

func (h *history) payload(version uint64, digest []byte) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.list {
		if v.Bundle.Version == version && bytes.Equal(v.Digest[:], digest) {
			return v.Payload
		}
	}
	return nil
}

// encodedCache keeps encodings of one bundle.
type encodedCache struct {
	mu     sync.Mutex
	digest bundle.Digest
	list   []*peerv1.BundlePayload
}

// reset starts over with a newly accepted bundle. A payload that came from a peer is kept only now that the bundle
// is verified; otherwise one bad peer could make this VM forward what others refuse.
func (c *encodedCache) reset(v *bundle.Verified, payload *peerv1.BundlePayload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.digest, c.list = v.Digest, nil
	if payload != nil && payload.GetVersion() == v.Bundle.Version && bytes.Equal(payload.GetDigest(), v.Digest[:]) {
		c.list = append(c.list, payload)
	}
}

func (c *encodedCache) get(digest bundle.Digest, encoding string, baseDigest []byte) *peerv1.BundlePayload {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.digest != digest {
		return nil
	}
	for _, p := range c.list {
		if p.GetEncoding() == encoding && bytes.Equal(p.GetBaseDigest(), baseDigest) {
			return p
		}
	}
	return nil
}

func (c *encodedCache) put(digest bundle.Digest, p *peerv1.BundlePayload) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.digest == digest && len(c.list) < encodedLength {
		c.list = append(c.list, p)
	}
}

// base returns the payload of an earlier bundle, or nil. The bundle in force and the one before it are at hand whoever
// offered them.
func (d *Distributor) base(version uint64, digest []byte) []byte {
	if cur := d.Store.Current(); cur != nil {
		for _, v := range []*bundle.Verified{cur.Verified, cur.Previous} {
			if v != nil && v.Bundle.Version == version && bytes.Equal(v.Digest[:], digest) {
				return v.Payload
			}
		}
	}
	return d.history.payload(version, digest)
}

// payloadFor returns the bundle in force as a delta against the named base if this VM has it, otherwise whole.
func (d *Distributor) payloadFor(force *config.InForce, baseVersion uint64, baseDigest []byte) (*peerv1.BundlePayload, error) {
	base := d.base(baseVersion, baseDigest)
	encoding := EncodingDelta
	if base == nil {
		encoding, baseVersion, baseDigest = EncodingZstd, 0, nil
	}
	p := d.encoded.get(force.Digest, encoding, baseDigest)
	if p == nil {
		var data []byte
		var err error
		if base == nil {
			data, err = encodeWhole(force.Raw)
		} else {
			data, err = EncodeDelta(force.Raw, base)
		}
		if err != nil {
			return nil, err
		}
		p = &peerv1.BundlePayload{Version: force.Bundle.Version, Digest: force.Digest[:], Encoding: encoding,
			BaseVersion: baseVersion, BaseDigest: baseDigest, Data: data}
		d.encoded.put(force.Digest, p)
	}
	return &peerv1.BundlePayload{Version: p.GetVersion(), Digest: p.GetDigest(), Encoding: p.GetEncoding(),
		BaseVersion: p.GetBaseVersion(), BaseDigest: p.GetBaseDigest(), Data: p.GetData(),
		AcceptedAgeUs: d.Clock.Since(force.Since).Microseconds()}, nil
}
