package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"slices"
)

// Keyring is a set of signers and the number of them that must sign a bundle.
type Keyring struct {
	// Epoch increases by one with each rotation. The chain starts at the root keyring in the settings.
	Epoch uint64 `json:"epoch"`
	// Threshold is the number of distinct signers that a bundle or the next rotation needs.
	Threshold int   `json:"threshold"`
	Keys      []Key `json:"keys"`
}

// Key is the Ed25519 public key of one signer.
type Key struct {
	Signer string `json:"signer"`
	Public []byte `json:"public"`
}

// Rotation is a keyring rotation: the next keyring, signed by signers of the previous one.
type Rotation struct {
	Keyring    Keyring     `json:"keyring"`
	Signatures []Signature `json:"signatures"`
}

// rotationContext is the prefix of signed rotations. It prevents a rotation signature from being used for a bundle.
const rotationContext = "teaselbank keyring v1\n"

// SignedMessage returns the bytes that are signed in a rotation to this keyring.
func (k Keyring) SignedMessage() ([]byte, error) {
	data, err := json.Marshal(k)
	if err != nil {
		return nil, fmt.Errorf("encode keyring: %w", err)
	}
	return append([]byte(rotationContext), data...), nil
}

// Validate returns an error if the threshold is out of range, or if a signer or a key is missing, malformed or
// duplicate.
func (k Keyring) Validate() error {
	if k.Threshold < 1 || k.Threshold > len(k.Keys) {
		return fmt.Errorf("%w: threshold is %d but the keyring has %d keys", ErrKeyring, k.Threshold, len(k.Keys))
	}
	names := map[string]bool{}
	publicKeys := map[string]bool{}
	for _, key := range k.Keys {
		if key.Signer == "" || names[key.Signer] {
			return fmt.Errorf("%w: signer %q is empty or named twice", ErrKeyring, key.Signer)
		}
		if len(key.Public) != ed25519.PublicKeySize || publicKeys[string(key.Public)] {
			return fmt.Errorf("%w: the public key of signer %q is malformed or used twice", ErrKeyring, key.Signer)
		}
		names[key.Signer], publicKeys[string(key.Public)] = true, true
	}
	return nil
}

// Equal reports whether both keyrings have the same epoch, threshold and keys in the same order.
func (k Keyring) Equal(other Keyring) bool {
	return k.Epoch == other.Epoch && k.Threshold == other.Threshold &&
		slices.EqualFunc(k.Keys, other.Keys, func(a, b Key) bool {
			return a.Signer == b.Signer && bytes.Equal(a.Public, b.Public)
		})
}

// VerifyRotations verifies a chain of rotations like VerifyChain and returns the last keyring.
func (k Keyring) VerifyRotations(rotations []Rotation) (Keyring, error) {
	rings, err := k.VerifyChain(rotations)
	if err != nil {
		return Keyring{}, err
	}
	return rings[len(rings)-1], nil
}

// VerifyChain verifies a chain of rotations to consecutive epochs, and returns k followed by every keyring of a later
// epoch. The root keyring k in the settings may be newer than the keyring with which the chain began. Rotations to
// k's epoch or an earlier one are therefore skipped and their signatures not verified, but a rotation to k's epoch must
// hold k itself.
func (k Keyring) VerifyChain(rotations []Rotation) ([]Keyring, error) {
	if err := k.Validate(); err != nil {
		return nil, err
	}
	rings := []Keyring{k}
	for i, rotation := range rotations {
		next, ring := rotation.Keyring, rings[len(rings)-1]
		if i > 0 && next.Epoch != rotations[i-1].Keyring.Epoch+1 {
			return nil, fmt.Errorf("%w: rotation to epoch %d does not directly follow epoch %d", ErrKeyring, next.Epoch, rotations[i-1].Keyring.Epoch)
		}
		if next.Epoch == k.Epoch && !next.Equal(k) {
			return nil, fmt.Errorf("%w: the keyring of epoch %d differs from the root keyring in the settings", ErrKeyring, next.Epoch)
		}
		if next.Epoch <= k.Epoch {
			continue
		}
		if err := rotation.verifyAfter(ring); err != nil {
			return nil, err
		}
		rings = append(rings, next)
	}
	return rings, nil
}

// verifyAfter checks that the rotation has the next epoch after the keyring, that its own keyring is valid, and that
// enough signers of the given keyring signed it.
func (r Rotation) verifyAfter(ring Keyring) error {
	if r.Keyring.Epoch != ring.Epoch+1 {
		return fmt.Errorf("%w: rotation to epoch %d does not directly follow epoch %d", ErrKeyring, r.Keyring.Epoch, ring.Epoch)
	}
	if err := r.Keyring.Validate(); err != nil {
		return err
	}
	message, err := r.Keyring.SignedMessage()
	if err != nil {
		return err
	}
	if _, err := ring.verifySignatures(message, r.Signatures); err != nil {
		return fmt.Errorf("%w: rotation to epoch %d: %w", ErrKeyring, r.Keyring.Epoch, err)
	}
	return nil
}

// Sign adds the signer's signature to the rotation. An earlier signature of the same signer is replaced.
func (r *Rotation) Sign(signer string, key ed25519.PrivateKey) error {
	message, err := r.Keyring.SignedMessage()
	if err != nil {
		return err
	}
	r.Signatures = setSignature(r.Signatures, Signature{Signer: signer, Signature: ed25519.Sign(key, message)})
	return nil
}

// verifySignatures verifies all signatures of the message and returns the distinct signers. It returns an error if any
// signature is invalid or by an unknown signer, or if there are fewer signers than the threshold.
func (k Keyring) verifySignatures(message []byte, signatures []Signature) ([]string, error) {
	publicKeys := make(map[string]ed25519.PublicKey, len(k.Keys))
	for _, key := range k.Keys {
		publicKeys[key.Signer] = key.Public
	}
	seen := map[string]bool{}
	var signers []string
	for _, sig := range signatures {
		public, ok := publicKeys[sig.Signer]
		if !ok {
			return nil, fmt.Errorf("%w: %q", ErrUnknownSigner, sig.Signer)
		}
		if len(public) != ed25519.PublicKeySize || !ed25519.Verify(public, message, sig.Signature) {
			return nil, fmt.Errorf("%w: signer %q", ErrBadSignature, sig.Signer)
		}
		if !seen[sig.Signer] {
			seen[sig.Signer] = true
			signers = append(signers, sig.Signer)
		}
	}
	if len(signers) < k.Threshold {
		return nil, fmt.Errorf("%w: got %d, need %d", ErrTooFewSignatures, len(signers), k.Threshold)
	}
	return signers, nil
}
