package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
)

// Signed is an encoded bundle with its signatures, in the form that the platform publishes and peers forward.
type Signed struct {
	// Payload is the canonical encoding of the bundle.
	Payload    json.RawMessage `json:"payload"`
	Signatures []Signature     `json:"signatures"`
}

// Signature is one signer's Ed25519 signature.
type Signature struct {
	Signer    string `json:"signer"`
	Signature []byte `json:"signature"`
}

// Verified is a bundle whose content and signatures were verified. It is immutable.
type Verified struct {
	Bundle *Bundle
	Digest Digest
	// Signers are the distinct signers.
	Signers []string
	// Raw is the signed encoding, for forwarding.
	Raw []byte
	// Payload is the canonical encoding within Raw. It is identical for all bundles with this digest, whoever signed
	// them.
	Payload []byte
	// Keyrings is the chain of keyrings from the root to the one whose signers signed the bundle.
	Keyrings []Keyring
}

// Keyring returns the keyring whose signers signed the bundle.
func (v *Verified) Keyring() Keyring { return v.Keyrings[len(v.Keyrings)-1] }

// Verification errors.
var (
	ErrTooLarge         = errors.New("bundle is larger than 1 MB")
	ErrTooFewSignatures = errors.New("bundle has too few valid signatures")
	ErrBadSignature     = errors.New("bundle signature does not match its payload")
	ErrUnknownSigner    = errors.New("bundle is signed by a signer that is not in the keyring")
	ErrKeyring          = errors.New("bundle keyring chain is not valid")
)

// signatureContext is the prefix of signed payloads. It prevents a bundle signature from being used for anything else.
const signatureContext = "teaselbank bundle v1\n"

func signedMessage(payload []byte) []byte {
	return append([]byte(signatureContext), payload...)
}

// Sign adds the signer's signature of the payload. An earlier signature of the same signer is replaced.
func (s *Signed) Sign(signer string, key ed25519.PrivateKey) {
	sig := Signature{Signer: signer, Signature: ed25519.Sign(key, signedMessage(s.Payload))}
	s.Signatures = setSignature(s.Signatures, sig)
}

func setSignature(list []Signature, sig Signature) []Signature {
	for i := range list {
		if list[i].Signer == sig.Signer {
			list[i] = sig
			return list
		}
	}
	return append(list, sig)
}

// NewSigned returns a bundle in its canonical encoding, without signatures.
func NewSigned(b *Bundle) (*Signed, error) {
	payload, err := b.Canonical()
	if err != nil {
		return nil, err
	}
	return &Signed{Payload: payload}, nil
}

// Encode returns the JSON document that is published and forwarded.
func (s *Signed) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode signed bundle: %w", err)
	}
	return data, nil
}

// DecodeSigned parses a signed bundle without verifying signatures. Only the form that Encode returns is accepted, with
// an optional newline at the end: with duplicate keys or keys in another case, two programs could read different
// bundles from one document.
func DecodeSigned(raw []byte) (*Signed, error) {
	if len(raw) > MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(raw))
	}
	raw = bytes.TrimSuffix(raw, []byte("\n"))
	// Quotes within JSON strings are escaped, so the last occurrence is the key of the outer object.
	cut := bytes.LastIndex(raw, []byte(signaturesKey))
	if !bytes.HasPrefix(raw, []byte(payloadKey)) || cut < len(payloadKey) || raw[len(raw)-1] != '}' {
		return nil, fmt.Errorf("decode signed bundle: %w", ErrNotCanonical)
	}
	list := raw[cut+len(signaturesKey) : len(raw)-1]
	signatures, err := decodeStrict[[]Signature](list)
	if err != nil {
		return nil, fmt.Errorf("decode signed bundle: signatures: %w", err)
	}
	again, err := json.Marshal(*signatures)
	if err != nil {
		return nil, fmt.Errorf("encode signatures: %w", err)
	}
	if !bytes.Equal(again, list) {
		return nil, fmt.Errorf("decode signed bundle: signatures: %w", ErrNotCanonical)
	}
	return &Signed{Payload: json.RawMessage(raw[len(payloadKey):cut]), Signatures: *signatures}, nil
}

// Keys of the outer JSON object as Encode writes them.
const (
	payloadKey    = `{"payload":`
	signaturesKey = `,"signatures":`
)

// Verify checks the size, encoding and content of a signed bundle, and its signatures against the keyring that the
// bundle's rotations lead to from the root keyring.
func Verify(raw []byte, root Keyring) (*Verified, error) {
	s, err := DecodeSigned(raw)
	if err != nil {
		return nil, err
	}
	b, err := DecodeCanonical(s.Payload)
	if err != nil {
		return nil, err
	}
	if faults := b.Validate(); len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	rings, err := root.VerifyChain(b.Rotations)
	if err != nil {
		return nil, err
	}
	signers, err := rings[len(rings)-1].verifySignatures(signedMessage(s.Payload), s.Signatures)
	if err != nil {
		return nil, err
	}
	if len(signers) < b.Policy.RequiredSigners {
		return nil, fmt.Errorf("%w: policy requires %d signers, got %d", ErrTooFewSignatures, b.Policy.RequiredSigners, len(signers))
	}
	return &Verified{Bundle: b, Digest: DigestOf(s.Payload), Signers: signers, Raw: raw,
		Payload: s.Payload, Keyrings: rings}, nil
}
