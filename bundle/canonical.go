package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Digest is the SHA-256 of a bundle's canonical encoding. It does not cover the signatures, so bundles with the same
// content have the same digest, whoever signed them.
type Digest [sha256.Size]byte

// shortDigestBytes is the number of digest bytes shown in logs.
const shortDigestBytes = 6

// String returns the full digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 6 bytes of the digest in hexadecimal, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// ErrNotCanonical is returned for a signed bundle that is not encoded in the one form that is accepted.
var ErrNotCanonical = errors.New("bundle payload is not in canonical form")

// Normalize sorts the lists whose order has no meaning by ID, so that equal content has one encoding. Snapshots, which
// are ordered from oldest to newest, rotations and replicas keep their order.
func (b *Bundle) Normalize() {
	slices.SortFunc(b.Zones, func(x, y Zone) int { return strings.Compare(string(x.ID), string(y.ID)) })
	slices.SortFunc(b.Services, func(x, y Service) int { return strings.Compare(string(x.ID), string(y.ID)) })
	for i := range b.Services {
		s := &b.Services[i]
		slices.SortFunc(s.Targets, func(x, y Target) int { return strings.Compare(string(x.ID), string(y.ID)) })
		for j := range s.Snapshots {
			slices.SortFunc(s.Snapshots[j].Shards, func(x, y Shard) int {
				return strings.Compare(string(x.ID), string(y.ID))
			})
		}
	}
}

// Canonical normalizes the bundle and returns its canonical encoding: JSON without white space, with the fields in the
// order of their declaration.
func (b *Bundle) Canonical() ([]byte, error) {
	b.Normalize()
	data, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return data, nil
}

// DigestOf returns the digest of a canonical encoding.
func DigestOf(canonical []byte) Digest { return sha256.Sum256(canonical) }

// DecodeCanonical parses a canonical encoding. It refuses unknown fields and any other encoding of the same content,
// because signatures cover bytes, and signed bytes must not be open to different interpretations.
func DecodeCanonical(data []byte) (*Bundle, error) {
	b, err := decodeStrict[Bundle](data)
	if err != nil {
		return nil, fmt.Errorf("decode bundle: %w", err)
	}
	again, err := b.Canonical()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(again, data) {
		return nil, ErrNotCanonical
	}
	return b, nil
}

// DecodeDraft parses an unsigned bundle written by hand and normalizes it. White space and any order of lists are
// allowed; unknown fields, duplicate keys and keys not in lower case are not.
func DecodeDraft(data []byte) (*Bundle, error) {
	b, err := decodeHandWritten[Bundle](data)
	if err != nil {
		return nil, fmt.Errorf("decode bundle draft: %w", err)
	}
	b.Normalize()
	return b, nil
}

// decodeStrict parses exactly one JSON document without unknown fields.
func decodeStrict[T any](data []byte) (*T, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var v T
	if err := dec.Decode(&v); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("unexpected data after the JSON document")
	}
	return &v, nil
}
