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

// File modes.
const (
	privateMode = 0o600
	publicMode  = 0o644
	// othersMask selects the permissions of the group and of all other users.
	othersMask = 0o077
)

// maxInputBytes is the largest input that is read. It exceeds bundle.MaxBytes because a draft, unlike a signed bundle,
// may contain white space.
const maxInputBytes = 8 << 20

// privateKey is the content of a private key file. Seed is the 32-byte Ed25519 seed.
type privateKey struct {
	Signer string `json:"signer"`
	Seed   []byte `json:"seed"`
}

// read returns the content of the file at path, or of standard input if path is "-".
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
	data, err := io.ReadAll(io.LimitReader(r, maxInputBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(data) > maxInputBytes {
		return nil, &refusedError{path, fmt.Errorf("size: input exceeds %d bytes", maxInputBytes)}
	}
	return data, nil
}

// write writes data to the file at path, or to the command's output if path is empty or "-". With privateMode the file
// must not exist yet, so that no key is overwritten.
func (e *env) write(path string, data []byte, mode os.FileMode) error {
	if path == "" || path == "-" {
		_, err := e.out.Write(data)
		return err
	}
	openFlags := os.O_WRONLY | os.O_CREATE | os.O_TRUNC
	if mode == privateMode {
		openFlags = os.O_WRONLY | os.O_CREATE | os.O_EXCL
	}
	f, err := os.OpenFile(path, openFlags, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}

// pretty returns value as indented JSON with a final newline.
func pretty(value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

// readPrivate returns the signer's name and key from a private key file. Permissions are checked on the open file, so
// that the file cannot be replaced between check and read.
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
		return "", nil, &refusedError{path, fmt.Errorf("mode: %04o gives the group or other users access to the private key; it must be 0600", info.Mode().Perm())}
	}
	data, err := readBounded(path, f)
	if err != nil {
		return "", nil, err
	}
	var key privateKey
	if err := json.Unmarshal(data, &key); err != nil {
		return "", nil, &refusedError{path, fieldError(err)}
	}
	if key.Signer == "" {
		return "", nil, &refusedError{path, errors.New("signer: must not be empty")}
	}
	if len(key.Seed) != ed25519.SeedSize {
		return "", nil, &refusedError{path, fmt.Errorf("seed: length is %d bytes, must be %d", len(key.Seed), ed25519.SeedSize)}
	}
	return key.Signer, ed25519.NewKeyFromSeed(key.Seed), nil
}

// document is a bundle that was read from a file, either a draft or signed.
type document struct {
	bundle *bundle.Bundle
	// signed is nil for a draft.
	signed *bundle.Signed
	digest bundle.Digest
}

// signers returns the names in the signatures, which are not verified. The result is never nil, so that JSON gets a
// list instead of null.
func (d *document) signers() []string {
	names := []string{}
	if d.signed != nil {
		for _, s := range d.signed.Signatures {
			names = append(names, s.Signer)
		}
	}
	return names
}

// load reads a draft or signed bundle and validates its content. Signatures are not verified.
func (e *env) load(path string) (*document, error) {
	data, err := e.read(path)
	if err != nil {
		return nil, err
	}
	d := &document{}
	var payload []byte
	if isSigned(data) {
		if d.signed, err = bundle.DecodeSigned(data); err != nil {
			return nil, &refusedError{path, fieldError(err)}
		}
		payload = d.signed.Payload
		d.bundle, err = bundle.DecodeCanonical(payload)
	} else if d.bundle, err = bundle.DecodeDraft(data); err == nil {
		payload, err = d.bundle.Canonical()
	}
	if err != nil {
		return nil, &refusedError{path, fieldError(err)}
	}
	d.digest = bundle.DigestOf(payload)
	if faults := d.bundle.Validate(); len(faults) > 0 {
		return nil, &refusedError{path, &bundle.InvalidError{Faults: faults}}
	}
	return d, nil
}

// isSigned reports whether data is a signed bundle rather than a draft. The published form always begins with the
// payload key.
func isSigned(data []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(data), []byte(`{"payload":`))
}

// fieldError adds the field or byte offset to a JSON decoding error.
func fieldError(err error) error {
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		return fmt.Errorf("%s: %s cannot be read as %s", typeErr.Field, typeErr.Value, typeErr.Type)
	case errors.As(err, &syntaxErr):
		return fmt.Errorf("byte %d: %w", syntaxErr.Offset, err)
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
		return bundle.Keyring{}, &refusedError{path, fieldError(err)}
	}
	return ring, nil
}
