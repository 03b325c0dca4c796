package cli

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"strings"

	"teaselbank.example/teaselbank/bundle"
)

type keygen struct {
	*env
	Signer  string `long:"signer" required:"true" description:"name of the signer"`
	Private string `long:"private" required:"true" description:"file to write the private key to, created with mode 0600; must not exist"`
	Public  string `long:"public" description:"file to write the public key to; standard output if not set"`
}

// Execute generates an Ed25519 key pair and writes both keys.
func (c *keygen) Execute([]string) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	secret, err := pretty(privateKey{Signer: c.Signer, Seed: private.Seed()})
	if err != nil {
		return err
	}
	if c.Private == "-" {
		return &usageError{"--private must be a file, not standard output"}
	}
	if err := c.write(c.Private, secret, privateMode); err != nil {
		return err
	}
	data, err := pretty(bundle.Key{Signer: c.Signer, Public: public})
	if err != nil {
		return err
	}
	return c.write(c.Public, data, publicMode)
}

type keyring struct {
	*env
	Keys      []string `long:"key" description:"file with a signer's public key; given once for each signer"`
	Threshold int      `long:"threshold" description:"number of signers that must sign"`
	After     string   `long:"after" description:"file with the keyring to replace; creates a rotation instead of a root keyring"`
	Sign      string   `long:"sign" description:"rotation file to sign with --private; signers of the old keyring sign one after the other"`
	Private   string   `long:"private" description:"file with the private key, for --sign"`
	Next      bool     `long:"next" description:"with --sign: do not sign, but write the rotation's new keyring, for use as root keyring in the settings"`
	Out       string   `long:"out" description:"file to write the result to; standard output if not set"`
}

// Execute creates a keyring or a rotation, signs a rotation, or writes the new keyring of a rotation.
func (c *keyring) Execute([]string) error {
	if c.Sign != "" {
		return c.signRotation()
	}
	if len(c.Keys) == 0 || c.Threshold == 0 {
		return &usageError{"either --sign or both --key and --threshold are required"}
	}
	ring := bundle.Keyring{Threshold: c.Threshold}
	for _, path := range c.Keys {
		data, err := c.read(path)
		if err != nil {
			return err
		}
		key, err := bundle.DecodeKey(data)
		if err != nil {
			return &refusedError{path, fieldError(err)}
		}
		ring.Keys = append(ring.Keys, key)
	}
	var value any = &ring
	if c.After != "" {
		old, err := c.readKeyring(c.After)
		if err != nil {
			return err
		}
		ring.Epoch = old.Epoch + 1
		value = bundle.Rotation{Keyring: ring, Signatures: []bundle.Signature{}}
	}
	if err := ring.Validate(); err != nil {
		return &refusedError{strings.Join(c.Keys, ", "), err}
	}
	return c.print(value)
}

func (c *keyring) signRotation() error {
	rotation, err := c.readRotation(c.Sign)
	if err != nil {
		return err
	}
	if c.Next {
		return c.print(rotation.Keyring)
	}
	if c.Private == "" {
		return &usageError{"--private is required with --sign"}
	}
	signer, key, err := readPrivate(c.Private)
	if err != nil {
		return err
	}
	if err := rotation.Sign(signer, key); err != nil {
		return err
	}
	return c.print(rotation)
}

func (c *keyring) print(value any) error {
	data, err := pretty(value)
	if err != nil {
		return err
	}
	return c.write(c.Out, data, publicMode)
}

func (e *env) readRotation(path string) (*bundle.Rotation, error) {
	data, err := e.read(path)
	if err != nil {
		return nil, err
	}
	rotation, err := bundle.DecodeRotation(data)
	if err != nil {
		return nil, &refusedError{path, fieldError(err)}
	}
	return rotation, nil
}

// checkSigner returns an error if the keyring has no such signer or another key for the signer, as every VM would
// reject the signature. path is the private key file that the error names.
func checkSigner(path string, ring bundle.Keyring, signer string, key ed25519.PrivateKey) error {
	for _, k := range ring.Keys {
		if k.Signer != signer {
			continue
		}
		if !key.Public().(ed25519.PublicKey).Equal(ed25519.PublicKey(k.Public)) {
			return &refusedError{path, fmt.Errorf("seed: key does not match the keyring's public key of signer %q", signer)}
		}
		return nil
	}
	return &refusedError{path, errors.New("signer: " + signer + " is not in the keyring")}
}
