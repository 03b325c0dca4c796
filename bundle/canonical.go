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

// Digest is the SHA-256 of a bundle's canonical encoding. Signatures do not enter it, so two signed bundles with
// the same content are the same bundle.
type Digest [sha256.Size]byte

// shortDigestBytes is how much of a digest stands in logs.
const shortDigestBytes = 6

// String returns the whole digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first bytes of the digest, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// ErrNotCanonical is returned when a payload is valid JSON but not in the canonical form that was signed.
var ErrNotCanonical = errors.New("bundle payload is not in canonical form")

// Normalize sorts the lists whose order has no meaning, so that equal content has one encoding. Snapshots keep
// their order, which is from oldest to newest, and so do rotations and replicas.
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

// Canonical returns the canonical encoding: JSON without white space, fields in declaration order, lists
// normalized.
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

// DecodeCanonical parses a canonical encoding. It refuses unknown fields and any other form of the same content,
// because the signature covers bytes and must leave one reading only.
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

// DecodeDraft parses an unsigned bundle written by hand: white space and any order of lists are allowed, unknown
// fields are not.
func DecodeDraft(data []byte) (*Bundle, error) {
	b, err := decodeByHand[Bundle](data)
	if err != nil {
		return nil, fmt.Errorf("decode bundle draft: %w", err)
	}
	b.Normalize()
	return b, nil
}

func decodeStrict[T any](data []byte) (*T, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var v T
	if err := dec.Decode(&v); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the end of the document")
	}
	return &v, nil
}
