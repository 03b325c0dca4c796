package cli

import (
	"fmt"
	"strings"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
)

type create struct {
	*env
	From      string   `long:"from" description:"bundle to start from; the draft gets the next version number"`
	Rotations []string `long:"rotation" description:"file with a signed keyring rotation to add; may be given several times"`
	Author    string   `long:"author" description:"author of the change"`
	Reviewer  string   `long:"reviewer" description:"reviewer of the change; must not be the author"`
	Reason    string   `long:"reason" description:"reason for the change"`
	Out       string   `long:"out" description:"file to write the draft to; standard output if not set"`
}

// Execute writes a draft bundle.
func (c *create) Execute([]string) error {
	b := template()
	if c.From != "" {
		d, err := c.load(c.From)
		if err != nil {
			return err
		}
		b = d.bundle
		b.Version++
		b.Author, b.Reviewer, b.Reason = "", "", ""
	}
	b.Author, b.Reviewer, b.Reason = c.Author, c.Reviewer, c.Reason
	for _, path := range c.Rotations {
		rotation, err := c.readRotation(path)
		if err != nil {
			return err
		}
		b.Rotations = append(b.Rotations, *rotation)
	}
	data, err := pretty(b)
	if err != nil {
		return err
	}
	return c.write(c.Out, data, publicMode)
}

// template returns a complete bundle with example values.
func template() *bundle.Bundle {
	return &bundle.Bundle{
		Version: 1, Name: "first",
		Zones: []bundle.Zone{{ID: "zone-a", State: bundle.ZoneIn, ReturnSeconds: 60}},
		Services: []bundle.Service{{
			ID: "service-a", Slots: 2, ColdSlots: 1, Connections: 25, ConnectMillis: 6,
			Targets: []bundle.Target{{ID: "target-a", Zone: "zone-a", Address: "127.0.0.1:9000", State: bundle.TargetServing}},
			Snapshots: []bundle.Snapshot{{ID: "snapshot-a", Shards: []bundle.Shard{
				{ID: "shard-a", Replicas: []ident.TargetID{"target-a"}}}}},
		}},
		Policy:    bundle.Policy{RequiredSigners: 2, ExtraLoadPercent: 5, MaxDeadlineMillis: 1000, DefaultDeadlineMillis: 76},
		Rotations: []bundle.Rotation{},
	}
}

type validate struct {
	*env
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks the content of a bundle. Its signatures are not checked; see verify.
func (c *validate) Execute([]string) error {
	d, err := c.load(c.Args.File)
	if err != nil {
		return err
	}
	return c.result(summarize(d), fmt.Sprintf("valid: version %d, digest %s", d.bundle.Version, d.digest))
}

// bundleSummary identifies a bundle in the JSON results of validate and verify.
type bundleSummary struct {
	Version uint64   `json:"version"`
	Digest  string   `json:"digest"`
	Signers []string `json:"signers"`
}

func summarize(d *document) bundleSummary {
	return bundleSummary{Version: d.bundle.Version, Digest: d.digest.String(), Signers: d.signers()}
}

type sign struct {
	*env
	Private string `long:"private" required:"true" description:"file with the signer's private key"`
	Signer  string `long:"signer" description:"name of the signer; must match the name in the key file"`
	Keyring string `long:"keyring" description:"root keyring file; if set, the signer's key must be in the keyring that the bundle's rotations lead to"`
	Out     string `long:"out" description:"file to write the signed bundle to; standard output if not set"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute adds the signer's signature, or replaces an earlier one of the same signer.
func (c *sign) Execute([]string) error {
	signer, key, err := readPrivate(c.Private)
	if err != nil {
		return err
	}
	if c.Signer != "" && c.Signer != signer {
		return &refusedError{c.Private, fmt.Errorf("signer: the key file names %q, but --signer is %q", signer, c.Signer)}
	}
	d, err := c.load(c.Args.File)
	if err != nil {
		return err
	}
	if c.Keyring != "" {
		root, err := c.readKeyring(c.Keyring)
		if err != nil {
			return err
		}
		ring, err := root.VerifyRotations(d.bundle.Rotations)
		if err != nil {
			return &refusedError{c.Args.File, fmt.Errorf("rotations: %w", err)}
		}
		if err := checkSigner(c.Private, ring, signer, key); err != nil {
			return err
		}
	}
	if d.signed == nil {
		if d.signed, err = bundle.NewSigned(d.bundle); err != nil {
			return err
		}
	}
	d.signed.Sign(signer, key)
	raw, err := d.signed.Encode()
	if err != nil {
		return err
	}
	if len(raw) > bundle.MaxBytes {
		return &refusedError{c.Args.File, fmt.Errorf("size: %w: %d bytes", bundle.ErrTooLarge, len(raw))}
	}
	return c.write(c.Out, raw, publicMode)
}

type verify struct {
	*env
	Keyring string `long:"keyring" required:"true" description:"root keyring file"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute verifies the content and signatures of a bundle, as a VM does.
func (c *verify) Execute([]string) error {
	root, err := c.readKeyring(c.Keyring)
	if err != nil {
		return err
	}
	raw, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	v, err := bundle.Verify(raw, root)
	if err != nil {
		return &refusedError{c.Args.File, fieldError(err)}
	}
	return c.result(bundleSummary{v.Bundle.Version, v.Digest.String(), v.Signers},
		fmt.Sprintf("verified: version %d, digest %s, signed by %s", v.Bundle.Version, v.Digest, strings.Join(v.Signers, ", ")))
}

type diff struct {
	*env
	Args struct {
		From string `positional-arg-name:"FROM"`
		To   string `positional-arg-name:"TO"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the changes from one bundle to the other.
func (c *diff) Execute([]string) error {
	from, err := c.load(c.Args.From)
	if err != nil {
		return err
	}
	to, err := c.load(c.Args.To)
	if err != nil {
		return err
	}
	changes := bundle.Diff(from.bundle, to.bundle)
	lines := make([]string, len(changes))
	for i, change := range changes {
		lines[i] = change.String()
	}
	if len(changes) == 0 {
		changes, lines = []bundle.Change{}, []string{"no change"}
	}
	return c.result(changes, lines...)
}

type explainBundle struct {
	*env
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints a description of what a bundle configures. Its signatures are not checked; see verify.
func (c *explainBundle) Execute([]string) error {
	d, err := c.load(c.Args.File)
	if err != nil {
		return err
	}
	e := bundle.Explain(d.bundle, d.digest, d.signers())
	return c.result(e, e.Lines()...)
}
