package bundle_test

import (
	"crypto/ed25519"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
)

func sample() *bundle.Bundle {
	return &bundle.Bundle{
		Version: 1, Name: "winter", Author: "ana", Reviewer: "ion", Reason: "first",
		Zones: []bundle.Zone{{ID: "petrosani", State: bundle.ZoneIn}},
		Services: []bundle.Service{{
			ID: "dispecerat", Slots: 6, ColdSlots: 1, Connections: 50, ConnectMillis: 6,
			Targets:   []bundle.Target{{ID: "t1", Zone: "petrosani", Address: "127.0.0.1:9000", State: bundle.TargetServing}},
			Snapshots: []bundle.Snapshot{{ID: "s1", Shards: []bundle.Shard{{ID: "a", Replicas: []ident.TargetID{"t1"}}}}},
		}},
		Policy: bundle.Policy{RequiredSigners: 2, ExtraLoadPercent: 5, MaxDeadlineMillis: 1000, DefaultDeadlineMillis: 100},
	}
}

type signer struct {
	name string
	key  ed25519.PrivateKey
}

func signers(t *testing.T, names ...string) (bundle.Keyring, []signer) {
	t.Helper()
	ring := bundle.Keyring{Threshold: len(names)}
	var list []signer
	for _, name := range names {
		public, private, err := ed25519.GenerateKey(nil)
		require.NoError(t, err)
		ring.Keys = append(ring.Keys, bundle.Key{Signer: name, Public: public})
		list = append(list, signer{name, private})
	}
	return ring, list
}

func signed(t *testing.T, b *bundle.Bundle, by ...signer) []byte {
	t.Helper()
	s, err := bundle.NewSigned(b)
	require.NoError(t, err)
	for _, who := range by {
		s.Sign(who.name, who.key)
	}
	raw, err := s.Encode()
	require.NoError(t, err)
	return raw
}

// A bundle that was modified after it was signed, or that has too few signers, must not verify.
func TestVerifyRefusesTamperedAndUnderSigned(t *testing.T) {
	ring, by := signers(t, "ana", "ion")
	raw := signed(t, sample(), by...)
	v, err := bundle.Verify(raw, ring)
	require.NoError(t, err)
	require.Equal(t, []string{"ana", "ion"}, v.Signers)

	changed := sample()
	changed.Policy.ExtraLoadPercent = 6
	s, err := bundle.DecodeSigned(raw)
	require.NoError(t, err)
	s.Payload, err = changed.Canonical()
	require.NoError(t, err)
	tampered, err := s.Encode()
	require.NoError(t, err)
	_, err = bundle.Verify(tampered, ring)
	require.ErrorIs(t, err, bundle.ErrBadSignature)

	_, err = bundle.Verify(signed(t, sample(), by[0]), ring)
	require.ErrorIs(t, err, bundle.ErrTooFewSignatures)
}

// A target listed in two services would get two gates, which together would send it requests for twice its slots.
func TestTargetsAreUniqueInTheWholeBundle(t *testing.T) {
	b := sample()
	twin := b.Services[0]
	twin.ID = "subventii"
	b.Services = append(b.Services, twin)
	require.Equal(t, []string{
		`services.subventii.targets[0].id: "t1" is also a target of service dispecerat`,
		`services.subventii.targets[0].address: "127.0.0.1:9000" is also the address of target t1`,
	}, b.Validate())
}
