package bundle

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"slices"
)

// Keyring is a set of named signers and how many of them a bundle needs.
type Keyring struct {
	// Epoch counts rotations; the root keyring of the settings has the lowest.
	Epoch     uint64 `json:"epoch"`
	Threshold int    `json:"threshold"`
	Keys      []Key  `json:"keys"`
}

// Key is one named signer's public key.
type Key struct {
	Signer string `json:"signer"`
	Public []byte `json:"public"`
}

// KeyringChange is one rotation: the next keyring, signed by the one before it.
type KeyringChange struct {
	Keyring    Keyring     `json:"keyring"`
	Signatures []Signature `json:"signatures"`
}

// rotationContext separates rotation signatures from bundle signatures.
const rotationContext = "teaselbank keyring v1\n"

// Message returns the bytes that signers of a rotation sign.
func (k Keyring) Message() ([]byte, error) {
	data, err := json.Marshal(k)
	if err != nil {
		return nil, fmt.Errorf("encode keyring: %w", err)
	}
	return append([]byte(rotationContext), data...), nil
}

// Validate reports why the keyring cannot be used.
func (k Keyring) Validate() error {
	if k.Threshold < 1 || k.Threshold > len(k.Keys) {
		return fmt.Errorf("%w: threshold %d of %d keys", ErrKeyring, k.Threshold, len(k.Keys))
	}
	names := map[string]bool{}
	publics := map[string]bool{}
	for _, key := range k.Keys {
		if key.Signer == "" || names[key.Signer] {
			return fmt.Errorf("%w: signer %q is empty or named twice", ErrKeyring, key.Signer)
		}
		if len(key.Public) != ed25519.PublicKeySize || publics[string(key.Public)] {
			return fmt.Errorf("%w: the key of signer %q is malformed or used twice", ErrKeyring, key.Signer)
		}
		names[key.Signer], publics[string(key.Public)] = true, true
	}
	return nil
}

// Equal reports whether both keyrings are the same statement.
func (k Keyring) Equal(other Keyring) bool {
	return k.Epoch == other.Epoch && k.Threshold == other.Threshold &&
		slices.EqualFunc(k.Keys, other.Keys, func(a, b Key) bool {
			return a.Signer == b.Signer && bytes.Equal(a.Public, b.Public)
		})
}

// Follow verifies a chain of rotations from k and returns the last keyring.
func (k Keyring) Follow(rotations []KeyringChange) (Keyring, error) {
	rings, err := k.Chain(rotations)
	if err != nil {
		return Keyring{}, err
	}
	return rings[len(rings)-1], nil
}

// Chain verifies a chain of rotations and returns k and every keyring after it. Epochs must be consecutive. Rotations
// before k's own epoch are skipped, so that settings may carry a later root; one of k's epoch must be k itself.
func (k Keyring) Chain(rotations []KeyringChange) ([]Keyring, error) {
	if err := k.Validate(); err != nil {
		return nil, err
	}
	rings := []Keyring{k}
	for i, change := range rotations {
		next, ring := change.Keyring, rings[len(rings)-1]
		if i > 0 && next.Epoch != rotations[i-1].Keyring.Epoch+1 {
			return nil, fmt.Errorf("%w: epoch %d follows %d", ErrKeyring, next.Epoch, rotations[i-1].Keyring.Epoch)
		}
		if next.Epoch == k.Epoch && !next.Equal(k) {
			return nil, fmt.Errorf("%w: epoch %d is not the keyring of the settings", ErrKeyring, next.Epoch)
		}
		if next.Epoch <= k.Epoch {
			continue
		}
		if err := change.follows(ring); err != nil {
			return nil, err
		}
		rings = append(rings, next)
	}
	return rings, nil
}

func (c KeyringChange) follows(ring Keyring) error {
	if c.Keyring.Epoch != ring.Epoch+1 {
		return fmt.Errorf("%w: epoch %d follows %d", ErrKeyring, c.Keyring.Epoch, ring.Epoch)
	}
	if err := c.Keyring.Validate(); err != nil {
		return err
	}
	message, err := c.Keyring.Message()
	if err != nil {
		return err
	}
	if _, err := ring.check(message, c.Signatures); err != nil {
		return fmt.Errorf("%w: rotation to epoch %d: %w", ErrKeyring, c.Keyring.Epoch, err)
	}
	return nil
}

// Sign adds or replaces the signer's signature of the rotation.
func (c *KeyringChange) Sign(signer string, key ed25519.PrivateKey) error {
	message, err := c.Keyring.Message()
	if err != nil {
		return err
	}
	c.Signatures = setSignature(c.Signatures, Signature{Signer: signer, Signature: ed25519.Sign(key, message)})
	return nil
}

// check returns the distinct signers whose signatures match. Any signature that does not match refuses the whole.
func (k Keyring) check(message []byte, signatures []Signature) ([]string, error) {
	publics := make(map[string]ed25519.PublicKey, len(k.Keys))
	for _, key := range k.Keys {
		publics[key.Signer] = key.Public
	}
	seen := map[string]bool{}
	var signers []string
	for _, sig := range signatures {
		public, ok := publics[sig.Signer]
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
		return nil, fmt.Errorf("%w: %d of %d", ErrUnsigned, len(signers), k.Threshold)
	}
	return signers, nil
}
