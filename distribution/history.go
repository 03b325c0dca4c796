package distribution

import (
	"bytes"
	"slices"
	"sync"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
)

// maxHistory is the number of payloads kept as delta bases. Each takes up to 1 MB of the 32 MB of memory allowed for
// the control plane. A VM that is further behind gets a whole bundle.
const maxHistory = 3

// maxEncodings is the number of encodings of the bundle in force that are kept: a delta for each base in the history,
// and the whole bundle.
const maxEncodings = maxHistory + 1

// history holds the payloads of the latest accepted bundles, the newest last.
type history struct {
	mu   sync.Mutex
	list []*bundle.Verified
}

func (h *history) add(v *bundle.Verified) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Keep only the fields that a delta needs.
	h.list = append(h.list, &bundle.Verified{Bundle: &bundle.Bundle{Version: v.Bundle.Version}, Digest: v.Digest, Payload: v.Payload})
	if len(h.list) > maxHistory {
		h.list = slices.Delete(h.list, 0, len(h.list)-maxHistory)
	}
}

// payload returns the payload of the bundle with this version and digest. It returns nil if the history does not hold
// the bundle.
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

// encodedCache holds the encodings of one bundle.
type encodedCache struct {
	mu     sync.Mutex
	digest bundle.Digest
	list   []*peerv1.BundlePayload
}

// reset replaces the cached bundle by a newly accepted one, which has been verified. The payload is the encoding in
// which a peer sent the bundle; it is nil if the bundle does not come from a peer. The payload is cached only if its
// version and digest match the bundle. Otherwise a faulty peer could make this VM forward a payload that other VMs
// refuse.
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
	if c.digest == digest && len(c.list) < maxEncodings {
		c.list = append(c.list, p)
	}
}

// basePayload returns the payload of an earlier bundle as a delta base. Besides the history it searches the bundle in
// force and the previous one, which the history lacks if they were offered directly to the store. It returns nil if
// none of them has this version and digest.
func (d *Distributor) basePayload(version uint64, digest []byte) []byte {
	if cur := d.Store.Current(); cur != nil {
		for _, v := range []*bundle.Verified{cur.Verified, cur.Previous} {
			if v != nil && v.Bundle.Version == version && bytes.Equal(v.Digest[:], digest) {
				return v.Payload
			}
		}
	}
	return d.history.payload(version, digest)
}

// payloadFor returns the bundle as a delta if this VM has the given base, and whole otherwise.
func (d *Distributor) payloadFor(inForce *config.InForce, baseVersion uint64, baseDigest []byte) (*peerv1.BundlePayload, error) {
	base := d.basePayload(baseVersion, baseDigest)
	encoding := EncodingDelta
	if base == nil {
		encoding, baseVersion, baseDigest = EncodingZstd, 0, nil
	}
	p := d.encoded.get(inForce.Digest, encoding, baseDigest)
	if p == nil {
		var data []byte
		var err error
		if base == nil {
			data, err = encodeWhole(inForce.Raw)
		} else {
			data, err = EncodeDelta(inForce.Raw, base)
		}
		if err != nil {
			return nil, err
		}
		p = &peerv1.BundlePayload{Version: inForce.Bundle.Version, Digest: inForce.Digest[:], Encoding: encoding,
			BaseVersion: baseVersion, BaseDigest: baseDigest, Data: data}
		d.encoded.put(inForce.Digest, p)
	}
	return &peerv1.BundlePayload{Version: p.GetVersion(), Digest: p.GetDigest(), Encoding: p.GetEncoding(),
		BaseVersion: p.GetBaseVersion(), BaseDigest: p.GetBaseDigest(), Data: p.GetData(),
		AcceptedAgeUs: d.Clock.Since(inForce.Since).Microseconds()}, nil
}
