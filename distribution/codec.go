package distribution

import (
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"

	"teaselbank.example/teaselbank/bundle"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
)

// Encodings of a bundle on the wire.
const (
	EncodingIdentity = "identity"
	EncodingZstd     = "zstd"
	// EncodingDelta is zstd with the payload of an earlier bundle, the base, as a raw dictionary. Unlike the signed
	// encoding, which depends on who signed, the payload is identical on every VM that has the base.
	EncodingDelta = "zstd_delta"
)

const (
	// dictID is the dictionary ID in delta frames. It distinguishes them from frames without a dictionary.
	dictID = 1
	// windowBytes exceeds the size of a base and a bundle together, so that matches can refer to any part of the base.
	windowBytes = 4 << 20
)

// Decoding errors.
var (
	// errNeedWhole is returned for a delta whose base this VM does not have.
	errNeedWhole = errors.New("the base of the bundle delta is not held by this VM")
	errEncoding  = errors.New("bundle payload cannot be decoded")
)

var wholeEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes),
		zstd.WithLowerEncoderMem(true))
})

// encodeWhole compresses a signed bundle without a dictionary.
func encodeWhole(raw []byte) ([]byte, error) {
	encoder, err := wholeEncoder()
	if err != nil {
		return nil, fmt.Errorf("create zstd encoder: %w", err)
	}
	return encoder.EncodeAll(raw, nil), nil
}

// EncodeDelta compresses a signed bundle with the payload of an earlier bundle, the base, as the dictionary.
func EncodeDelta(raw, base []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes),
		zstd.WithLowerEncoderMem(true), zstd.WithEncoderDictRaw(dictID, base))
	if err != nil {
		return nil, fmt.Errorf("create zstd delta encoder: %w", err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(raw, nil), nil
}

// decode returns the signed bundle that a peer's message holds. It looks up the base of a delta with the base function,
// which returns nil for a bundle that this VM does not have; the error is then errNeedWhole.
func decode(p *peerv1.BundlePayload, base func(version uint64, digest []byte) []byte) ([]byte, error) {
	switch p.GetEncoding() {
	case EncodingIdentity:
		if len(p.GetData()) > bundle.MaxBytes {
			return nil, bundle.ErrTooLarge
		}
		return p.GetData(), nil
	case EncodingZstd:
		return DecodeFrame(p.GetData(), nil)
	case EncodingDelta:
		dict := base(p.GetBaseVersion(), p.GetBaseDigest())
		if dict == nil {
			return nil, errNeedWhole
		}
		return DecodeFrame(p.GetData(), dict)
	default:
		return nil, fmt.Errorf("%w: unsupported encoding %q", errEncoding, p.GetEncoding())
	}
}

// DecodeFrame decompresses one zstd frame with an optional dictionary. It refuses a frame that does not declare its
// content size or declares more than bundle.MaxBytes before decompressing anything, and the decoder cannot exceed the
// declared size. So a small frame cannot expand until memory is exhausted.
func DecodeFrame(data, dict []byte) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(data); err != nil {
		return nil, fmt.Errorf("%w: %w", errEncoding, err)
	}
	if header.Skippable || !header.HasFCS {
		return nil, fmt.Errorf("%w: the zstd frame does not declare its content size", errEncoding)
	}
	if header.FrameContentSize > bundle.MaxBytes {
		return nil, fmt.Errorf("%w: the zstd frame declares %d bytes", bundle.ErrTooLarge, header.FrameContentSize)
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(bundle.MaxBytes), zstd.WithDecoderMaxWindow(windowBytes), zstd.WithDecodeAllCapLimit(true)}
	if dict != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictID, dict))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("create zstd decoder: %w", err)
	}
	defer decoder.Close()
	raw, err := decoder.DecodeAll(data, make([]byte, 0, header.FrameContentSize))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errEncoding, err)
	}
	return raw, nil
}
