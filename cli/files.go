package cli

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"teaselbank.example/teaselbank/bundle"
)

// Modes of files.
const (
	privateMode = 0o600
	publicMode  = 0o644
	// othersMask covers the permissions of everyone but the owner.
	othersMask = 0o077
)

// maxDraftBytes bounds what is read: a draft has white space, a bundle has not.
const maxDraftBytes = 8 << 20

// privateKey is the file of one signer's private key.
type privateKey struct {
	Signer string `json:"signer"`
	Seed   []byte `json:"seed"`
}

// read returns a file, or standard input for "-".
func (e *env) read(path string) ([]byte, error) {
	if path == "-" {
		return readBounded(path, e.in)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return readBounded(path, f)
}

func readBounded(path string, r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxDraftBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(data) > maxDraftBytes {
		return nil, &refusal{path, fmt.Errorf("size: exceeds %d bytes", maxDraftBytes)}
	}
	return data, nil
}

// write stores a document, or prints it for "-" and for no path. A private file must not exist yet, so that no key is
// lost.
func (e *env) write(path string, data []byte, mode os.FileMode) error {
	if path == "" || path == "-" {
		_, err := e.out.Write(data)
		return err
	}
	how := os.O_WRONLY | os.O_CREATE | os.O_TRUNC
	if mode == privateMode {
		how = os.O_WRONLY | os.O_CREATE | os.O_EXCL
	}
	f, err := os.OpenFile(path, how, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

func pretty(value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

// readPrivate reads a private key. The permissions are checked on the open file, so that it cannot be exchanged in
// between.
func readPrivate(path string) (string, ed25519.PrivateKey, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", nil, err
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return "", nil, err
	}
	if info.Mode().Perm()&othersMask != 0 {
		return "", nil, &refusal{path, fmt.Errorf("mode: %04o lets others read the private key; it must be 0600", info.Mode().Perm())}
	}
	data, err := readBounded(path, f)
	if err != nil {
		return "", nil, err
	}
	var key privateKey
	if err := json.Unmarshal(data, &key); err != nil {
		return "", nil, &refusal{path, fieldError(err)}
	}
	if key.Signer == "" {
		return "", nil, &refusal{path, errors.New("signer: must not be empty")}
	}
	if len(key.Seed) != ed25519.SeedSize {
		return "", nil, &refusal{path, fmt.Errorf("seed: has %d bytes, must have %d", len(key.Seed), ed25519.SeedSize)}
	}
	return key.Signer, ed25519.NewKeyFromSeed(key.Seed), nil
}

// document is a bundle in a file, signed or not.
type document struct {
	bundle *bundle.Bundle
	// signed is nil for a draft.
	signed *bundle.Signed
	digest bundle.Digest
}

func (d *document) signers() []string {
	names := []string{}
	if d.signed != nil {
		for _, s := range d.signed.Signatures {
			names = append(names, s.Signer)
		}
	}
	return names
}

// load reads a draft or a signed bundle and checks its content. The signatures are not checked.
func (e *env) load(path string) (*document, error) {
	data, err := e.read(path)
	if err != nil {
		return nil, err
	}
	d := &document{}
	var payload []byte
	if isSigned(data) {
		if d.signed, err = bundle.DecodeSigned(data); err != nil {
			return nil, &refusal{path, fieldError(err)}
		}
		payload = d.signed.Payload
		d.bundle, err = bundle.DecodeCanonical(payload)
	} else if d.bundle, err = bundle.DecodeDraft(data); err == nil {
		payload, err = d.bundle.Canonical()
	}
	if err != nil {
		return nil, &refusal{path, fieldError(err)}
	}
	d.digest = bundle.DigestOf(payload)
	if faults := d.bundle.Validate(); len(faults) > 0 {
		return nil, &refusal{path, &bundle.InvalidError{Faults: faults}}
	}
	return d, nil
}

// isSigned tells a signed bundle from a draft by its first key, which the canonical form fixes.
func isSigned(data []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(data), []byte(`{"payload":`))
}

// fieldError names the field or the place of a JSON fault.
func fieldError(err error) error {
	var kind *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &kind):
		return fmt.Errorf("%s: %s cannot be read as %s", kind.Field, kind.Value, kind.Type)
	case errors.As(err, &syntax):
		return fmt.Errorf("byte %d: %w", syntax.Offset, err)
	}
	return err
}

func (e *env) readKeyring(path string) (bundle.Keyring, error) {
	data, err := e.read(path)
	if err != nil {
		return bundle.Keyring{}, err
	}
	ring, err := bundle.DecodeKeyring(data)
	if err != nil {
		return bundle.Keyring{}, &refusal{path, fieldError(err)}
	}
	return ring, nil
}
