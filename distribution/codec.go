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
	// EncodingDelta is zstd with the payload of the base version as a raw dictionary. The payload, unlike the signed
	// form, is the same bytes on every VM that has the base.
	EncodingDelta = "zstd_delta"
)

const (
	// dictID is written into delta frames, so that a frame without a dictionary is told from a delta.
	dictID = 1
	// windowBytes covers a whole base and a whole bundle, so that a match may lie anywhere in the base.
	windowBytes = 4 << 20
)

// Errors of decoding.
var (
	// errNeedWhole is returned for a delta whose base this VM does not have.
	errNeedWhole = errors.New("the base of the delta is not known here")
	errEncoding  = errors.New("bundle payload cannot be decoded")
)

var wholeEncoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes),
		zstd.WithLowerEncoderMem(true))
})

func encodeWhole(raw []byte) ([]byte, error) {
	encoder, err := wholeEncoder()
	if err != nil {
		return nil, fmt.Errorf("zstd: %w", err)
	}
	return encoder.EncodeAll(raw, nil), nil
}

// EncodeDelta encodes a signed bundle against the payload of an earlier one.
func EncodeDelta(raw, base []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes),
		zstd.WithLowerEncoderMem(true), zstd.WithEncoderDictRaw(dictID, base))
	if err != nil {
		return nil, fmt.Errorf("zstd: %w", err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(raw, nil), nil
}

// decode returns the signed bundle of a payload. The base function returns the payload of an earlier bundle or nil.
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
		return nil, fmt.Errorf("%w: encoding %q", errEncoding, p.GetEncoding())
	}
}

// DecodeFrame decodes one zstd frame with an optional dictionary. The size that the frame declares is checked before
// anything is decoded, and the decoder cannot exceed it: a small frame must not expand to fill the memory.
func DecodeFrame(data, dict []byte) ([]byte, error) {
	var header zstd.Header
	if err := header.Decode(data); err != nil {
		return nil, fmt.Errorf("%w: %w", errEncoding, err)
	}
	if header.Skippable || !header.HasFCS {
		return nil, fmt.Errorf("%w: the frame does not declare its size", errEncoding)
	}
	if header.FrameContentSize > bundle.MaxBytes {
		return nil, fmt.Errorf("%w: the frame declares %d bytes", bundle.ErrTooLarge, header.FrameContentSize)
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(bundle.MaxBytes), zstd.WithDecoderMaxWindow(windowBytes), zstd.WithDecodeAllCapLimit(true)}
	if dict != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictID, dict))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("zstd: %w", err)
	}
	defer decoder.Close()
	raw, err := decoder.DecodeAll(data, make([]byte, 0, header.FrameContentSize))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errEncoding, err)
	}
	return raw, nil
}
