// Package bundles creates signed bundles for tests and benchmarks.
package bundles

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
)

// Signers is a keyring together with the private keys of its signers. Each key is derived from the signer's name and
// the keyring's epoch, so that runs are repeatable.
type Signers struct {
	// Keyring holds the public keys and the threshold.
	Keyring bundle.Keyring
	// keys holds the private key of each signer by name.
	keys map[string]ed25519.PrivateKey
}

// NewSigners returns a keyring of the given epoch whose threshold requires the signatures of all named signers.
func NewSigners(epoch uint64, names ...string) *Signers {
	s := &Signers{Keyring: bundle.Keyring{Epoch: epoch, Threshold: len(names)}, keys: map[string]ed25519.PrivateKey{}}
	for _, name := range names {
		seed := sha256.Sum256(fmt.Appendf(nil, "%s %d", name, epoch))
		key := ed25519.NewKeyFromSeed(seed[:])
		s.keys[name] = key
		s.Keyring.Keys = append(s.Keyring.Keys, bundle.Key{Signer: name, Public: key.Public().(ed25519.PublicKey)})
	}
	return s
}

// Key returns the private key of the named signer, or nil if the keyring has no such signer.
func (s *Signers) Key(name string) ed25519.PrivateKey { return s.keys[name] }

// Sign returns the encoded bundle, signed by every signer of the keyring. It panics if the bundle cannot be encoded.
func (s *Signers) Sign(b *bundle.Bundle) []byte {
	signed, err := bundle.NewSigned(b)
	if err != nil {
		panic(err)
	}
	for _, key := range s.Keyring.Keys {
		signed.Sign(key.Signer, s.keys[key.Signer])
	}
	raw, err := signed.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

// SignRotation returns the rotation to the next keyring, signed by every signer of s. It does not change s.
func (s *Signers) SignRotation(next *Signers) bundle.Rotation {
	change := bundle.Rotation{Keyring: next.Keyring}
	for _, key := range s.Keyring.Keys {
		if err := change.Sign(key.Signer, s.keys[key.Signer]); err != nil {
			panic(err)
		}
	}
	return change
}

// Small returns a valid bundle with one service and one target.
func Small(version uint64) *bundle.Bundle {
	return Sized(version, 1, 1, 1)
}

// replicasPerShard is the number of replicas of each shard in a sized bundle, unless the service has fewer targets.
const replicasPerShard = 6

// Sized returns a valid bundle with the given number of zones and targets. Each service has up to 60 of the targets and
// the given number of snapshots; each snapshot has up to 52 shards, one per target at most.
func Sized(version uint64, zones, targets, snapshots int) *bundle.Bundle {
	b := &bundle.Bundle{Version: version, Name: "winter", Author: "ana", Reviewer: "ion", Reason: "test",
		Policy: bundle.Policy{RequiredSigners: 1, ExtraLoadPercent: 5, MaxDeadlineMillis: 1000, DefaultDeadlineMillis: 100}}
	for z := range zones {
		b.Zones = append(b.Zones, bundle.Zone{ID: zoneID(z), State: bundle.ZoneIn})
	}
	const targetsPerService = 60
	for first := 0; first < targets; first += targetsPerService {
		b.Services = append(b.Services, service(first, min(targetsPerService, targets-first), zones, snapshots))
	}
	return b
}

func zoneID(z int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", z)) }

// service returns a service with count targets, numbered from first and assigned to the zones in turn.
func service(first, count, zones, snapshots int) bundle.Service {
	s := bundle.Service{ID: ident.ServiceID(fmt.Sprintf("service-%04d", first)), Slots: 6, ColdSlots: 1, Connections: 50, ConnectMillis: 6}
	for i := first; i < first+count; i++ {
		s.Targets = append(s.Targets, bundle.Target{ID: ident.TargetID(fmt.Sprintf("target-%05d", i)), Zone: zoneID(i % zones),
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), State: bundle.TargetServing})
	}
	for n := range snapshots {
		snap := bundle.Snapshot{ID: ident.SnapshotID(fmt.Sprintf("2024-11-%02d", n+1))}
		for i := range min(52, count) {
			shard := bundle.Shard{ID: ident.ShardID(fmt.Sprintf("shard-%02d", i))}
			for r := range min(replicasPerShard, count) {
				shard.Replicas = append(shard.Replicas, s.Targets[(i+r)%count].ID)
			}
			snap.Shards = append(snap.Shards, shard)
		}
		s.Snapshots = append(s.Snapshots, snap)
	}
	return s
}
