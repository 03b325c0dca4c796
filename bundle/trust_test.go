package bundle_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/standin/bundles"
)

func withRotations(changes ...bundle.Rotation) *bundle.Bundle {
	b := bundles.Small(5)
	b.Rotations = changes
	return b
}

// A chain of rotations must be accepted only if its epochs are consecutive and each keyring is signed by the previous
// one. Signers of earlier keyrings must no longer be accepted.
func TestRotationChain(t *testing.T) {
	root, second, third := bundles.NewSigners(0, "ana", "ion"), bundles.NewSigners(1, "ion", "maria"), bundles.NewSigners(2, "vasile")
	chain := []bundle.Rotation{root.SignRotation(second), second.SignRotation(third)}
	v, err := bundle.Verify(third.Sign(withRotations(chain...)), root.Keyring)
	require.NoError(t, err)
	require.Equal(t, uint64(2), v.Keyring().Epoch)
	require.Len(t, v.Keyrings, 3)
	_, err = bundle.Verify(third.Sign(withRotations(chain...)), second.Keyring)
	require.NoError(t, err, "a later keyring of the chain must be accepted as the root keyring")

	_, err = bundle.Verify(root.Sign(withRotations(chain...)), root.Keyring)
	require.ErrorIs(t, err, bundle.ErrUnknownSigner)
	_, err = bundle.Verify(second.Sign(withRotations(chain...)), root.Keyring)
	require.ErrorIs(t, err, bundle.ErrUnknownSigner)
	for name, bad := range map[string][]bundle.Rotation{
		"gap":                                {chain[1]},
		"order":                              {chain[1], chain[0]},
		"twice":                              {chain[0], chain[0], chain[1]},
		"not signed by the previous keyring": {chain[0], root.SignRotation(third)},
	} {
		_, err = bundle.Verify(third.Sign(withRotations(bad...)), root.Keyring)
		require.ErrorIs(t, err, bundle.ErrKeyring, name)
	}
	back := append(append([]bundle.Rotation{}, chain...), chain[0])
	_, err = bundle.Verify(third.Sign(withRotations(back...)), second.Keyring)
	require.ErrorIs(t, err, bundle.ErrKeyring, "a rotation back to an epoch before the root's must be refused")
	forged := bundles.NewSigners(0, "eve")
	_, err = bundle.Verify(third.Sign(withRotations(append([]bundle.Rotation{forged.SignRotation(forged)}, chain...)...)), root.Keyring)
	require.ErrorIs(t, err, bundle.ErrKeyring, "a rotation to a different keyring with the root's epoch must be refused")
}

// A rotation needs as many signers as the threshold of the previous keyring, and a signer must not be counted twice.
func TestRotationNeedsAThresholdOfDistinctSigners(t *testing.T) {
	root, next := bundles.NewSigners(0, "ana", "ion"), bundles.NewSigners(1, "maria")
	half := bundle.Rotation{Keyring: next.Keyring}
	require.NoError(t, half.Sign("ana", root.Key("ana")))
	_, err := bundle.Verify(next.Sign(withRotations(half)), root.Keyring)
	require.ErrorIs(t, err, bundle.ErrTooFewSignatures)
	half.Signatures = append(half.Signatures, half.Signatures[0])
	_, err = bundle.Verify(next.Sign(withRotations(half)), root.Keyring)
	require.ErrorIs(t, err, bundle.ErrTooFewSignatures)
}

// A signature of a bundle must not be accepted for a rotation, nor a signature of a rotation for a bundle.
func TestSignaturesAreBoundToTheirKind(t *testing.T) {
	root, next := bundles.NewSigners(0, "ana"), bundles.NewSigners(1, "maria")
	b := bundles.Small(1)
	signed, err := bundle.NewSigned(b)
	require.NoError(t, err)
	rotation := root.SignRotation(next)

	crossed := bundle.Rotation{Keyring: next.Keyring}
	asBundle := bundle.Signed{}
	asBundle.Payload, err = json.Marshal(next.Keyring)
	require.NoError(t, err)
	asBundle.Sign("ana", root.Key("ana"))
	crossed.Signatures = asBundle.Signatures
	_, err = root.Keyring.VerifyRotations([]bundle.Rotation{crossed})
	require.ErrorIs(t, err, bundle.ErrBadSignature)

	signed.Signatures = rotation.Signatures
	raw, err := signed.Encode()
	require.NoError(t, err)
	_, err = bundle.Verify(raw, root.Keyring)
	require.ErrorIs(t, err, bundle.ErrBadSignature)
}

// A document that parsers could interpret differently must be refused, whether the ambiguity is in the outer object, in
// the payload or in a draft.
func TestAmbiguousDocumentsAreRefused(t *testing.T) {
	root := bundles.NewSigners(0, "ana")
	raw := string(root.Sign(bundles.Small(1)))
	_, err := bundle.Verify([]byte(raw+"\n"), root.Keyring)
	require.NoError(t, err)
	for name, other := range map[string]string{
		"duplicate payload field":            strings.Replace(raw, `{"payload":`, `{"payload":{},"payload":`, 1),
		"field name in other case":           strings.Replace(raw, `"signatures":`, `"Signatures":`, 1),
		"duplicate field in bundle":          strings.Replace(raw, `"version":1`, `"version":9,"version":1`, 1),
		"field name in other case in bundle": strings.Replace(raw, `"version":1`, `"VERSION":1`, 1),
		"white space":                        strings.Replace(raw, `"version":1`, `"version": 1`, 1),
		"second document":                    raw + raw,
	} {
		require.NotEqual(t, raw, other, name)
		_, err := bundle.Verify([]byte(other), root.Keyring)
		require.Error(t, err, name)
	}
	_, err = bundle.Verify(make([]byte, bundle.MaxBytes+1), root.Keyring)
	require.ErrorIs(t, err, bundle.ErrTooLarge)
	for _, draft := range []string{`{"version":1,"version":2}`, `{"VERSION":1}`, `{"ver\u017fion":1}`} {
		_, err := bundle.DecodeDraft([]byte(draft))
		require.ErrorIs(t, err, bundle.ErrAmbiguous, draft)
	}
}

// Operators review the diff before they sign, so a change that it omits would be signed without review.
func TestDiff(t *testing.T) {
	from, to := bundles.Sized(1, 2, 4, 2), bundles.Sized(2, 2, 4, 2)
	to.Zones[1].State = bundle.ZoneOut
	to.Policy.ExtraLoadPercent = 6
	s := &to.Services[0]
	s.Targets[0].State = bundle.TargetLeaving
	s.Targets = s.Targets[:3]
	s.Snapshots[0].Shards[0].Replicas = s.Snapshots[0].Shards[0].Replicas[1:]
	s.Snapshots[0], s.Snapshots[1] = s.Snapshots[1], s.Snapshots[0]
	to.Rotations = []bundle.Rotation{bundles.NewSigners(0, "ana").SignRotation(bundles.NewSigners(1, "ion"))}
	var text strings.Builder
	for _, c := range bundle.Diff(from, to) {
		text.WriteString(c.String() + "\n")
	}
	for _, want := range []string{
		"version: 1 -> 2", `zones.zone-1.state: "in" -> "out" (no new work goes`, "policy.extra_load_percent: 5 -> 6",
		"services.service-0000.targets.target-00000.state", "services.service-0000.targets.target-00003: removed",
		"snapshots: order changes", "shards.shard-00.replicas", "rotations.epoch-1: added (1 of ion must sign)",
	} {
		require.Contains(t, text.String(), want)
	}
	require.Empty(t, bundle.Diff(from, from))
	line := strings.Join(bundle.Explain(to, bundle.Digest{}, nil).Lines(), "\n")
	require.Contains(t, line, "zone zone-1 is out: 1 targets, 0 of them leaving")
}

// Bundles come from the platform and from peers, so no input may make the parser panic, and an accepted document must
// be in canonical form.
func FuzzDecode(f *testing.F) {
	root := bundles.NewSigners(0, "ana")
	f.Add(root.Sign(bundles.Small(1)))
	f.Add(root.Sign(withRotations(root.SignRotation(bundles.NewSigners(1, "ion")))))
	f.Add([]byte(`{"version":1,"zones":[{"id":"a"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := bundle.Verify(data, root.Keyring); err == nil {
			again, err := v.Bundle.Canonical()
			require.NoError(t, err)
			require.Equal(t, string(v.Payload), string(again))
		}
		if b, err := bundle.DecodeDraft(data); err == nil {
			_ = b.Validate()
			_ = bundle.Diff(b, bundles.Small(1))
			_ = bundle.Explain(b, bundle.Digest{}, nil).Lines()
			canonical, err := b.Canonical()
			require.NoError(t, err)
			if _, err := bundle.DecodeCanonical(canonical); err != nil && !bytes.Contains(canonical, []byte("null")) {
				t.Fatalf("canonical encoding of a draft is refused: %v", err)
			}
		}
	})
}
