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
	Private string `long:"private" required:"true" description:"file for the private key, made with mode 0600"`
	Public  string `long:"public" description:"file for the public key; standard output without it"`
}

// Execute makes a key pair.
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
		return &usageError{"--private: must be a file"}
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
	Keys      []string `long:"key" description:"file with a signer's public key; once for each signer"`
	Threshold int      `long:"threshold" description:"how many of them must sign"`
	After     string   `long:"after" description:"keyring file that this one replaces: makes a rotation"`
	Sign      string   `long:"sign" description:"rotation file to sign with --private; each signer of the old keyring does so in turn"`
	Private   string   `long:"private" description:"file with the private key, for --sign"`
	Next      bool     `long:"next" description:"with --sign: print the new keyring of the rotation instead, for settings"`
	Out       string   `long:"out" description:"file for the result; standard output without it"`
}

// Execute makes a keyring or a rotation, or signs a rotation.
func (c *keyring) Execute([]string) error {
	if c.Sign != "" {
		return c.signRotation()
	}
	if len(c.Keys) == 0 || c.Threshold == 0 {
		return &usageError{"--key and --threshold are required, or --sign"}
	}
	ring := bundle.Keyring{Threshold: c.Threshold}
	for _, path := range c.Keys {
		data, err := c.read(path)
		if err != nil {
			return err
		}
		key, err := bundle.DecodeKey(data)
		if err != nil {
			return &refusal{path, fieldError(err)}
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
		value = bundle.KeyringChange{Keyring: ring, Signatures: []bundle.Signature{}}
	}
	if err := ring.Validate(); err != nil {
		return &refusal{strings.Join(c.Keys, ", "), err}
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

func (e *env) readRotation(path string) (*bundle.KeyringChange, error) {
	data, err := e.read(path)
	if err != nil {
		return nil, err
	}
	rotation, err := bundle.DecodeRotation(data)
	if err != nil {
		return nil, &refusal{path, fieldError(err)}
	}
	return rotation, nil
}

// checkSigner refuses a signature that no VM would accept because of the signer's name or key.
func checkSigner(path string, ring bundle.Keyring, signer string, key ed25519.PrivateKey) error {
	for _, k := range ring.Keys {
		if k.Signer != signer {
			continue
		}
		if !key.Public().(ed25519.PublicKey).Equal(ed25519.PublicKey(k.Public)) {
			return &refusal{path, fmt.Errorf("seed: is not the key that the keyring has for signer %q", signer)}
		}
		return nil
	}
	return &refusal{path, errors.New("signer: " + signer + " is not in the keyring")}
}
