package bundle

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
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

// Follow verifies a chain of rotations from k and returns the last keyring. Rotations up to k's own epoch are
// skipped, so that settings may carry a later root.
func (k Keyring) Follow(chain []KeyringChange) (Keyring, error) {
	if err := k.Validate(); err != nil {
		return Keyring{}, err
	}
	ring := k
	for _, change := range chain {
		if change.Keyring.Epoch <= ring.Epoch {
			continue
		}
		if change.Keyring.Epoch != ring.Epoch+1 {
			return Keyring{}, fmt.Errorf("%w: epoch %d follows %d", ErrKeyring, change.Keyring.Epoch, ring.Epoch)
		}
		if err := change.Keyring.Validate(); err != nil {
			return Keyring{}, err
		}
		message, err := change.Keyring.Message()
		if err != nil {
			return Keyring{}, err
		}
		if _, err := ring.check(message, change.Signatures); err != nil {
			return Keyring{}, fmt.Errorf("%w: rotation to epoch %d: %w", ErrKeyring, change.Keyring.Epoch, err)
		}
		ring = change.Keyring
	}
	return ring, nil
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
		if !ed25519.Verify(public, message, sig.Signature) {
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
