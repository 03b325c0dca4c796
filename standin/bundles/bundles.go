// Package bundles makes signed bundles for tests and benchmarks.
package bundles

import (
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
)

// Signers is a keyring with its private keys. Keys are derived from names, so runs are repeatable.
type Signers struct {
	Ring bundle.Keyring
	keys map[string]ed25519.PrivateKey
}

// NewSigners returns a keyring of the given epoch that needs every one of the named signers.
func NewSigners(epoch uint64, names ...string) *Signers {
	s := &Signers{Ring: bundle.Keyring{Epoch: epoch, Threshold: len(names)}, keys: map[string]ed25519.PrivateKey{}}
	for _, name := range names {
		seed := sha256.Sum256(fmt.Appendf(nil, "%s %d", name, epoch))
		key := ed25519.NewKeyFromSeed(seed[:])
		s.keys[name] = key
		s.Ring.Keys = append(s.Ring.Keys, bundle.Key{Signer: name, Public: key.Public().(ed25519.PublicKey)})
	}
	return s
}

// Key returns the private key of a signer.
func (s *Signers) Key(name string) ed25519.PrivateKey { return s.keys[name] }

// Sign returns the bundle signed by everyone.
func (s *Signers) Sign(b *bundle.Bundle) []byte {
	signed, err := bundle.NewSigned(b)
	if err != nil {
		panic(err)
	}
	for _, key := range s.Ring.Keys {
		signed.Sign(key.Signer, s.keys[key.Signer])
	}
	raw, err := signed.Encode()
	if err != nil {
		panic(err)
	}
	return raw
}

// Rotate returns the change to the next keyring, signed by everyone of this one.
func (s *Signers) Rotate(next *Signers) bundle.Rotation {
	change := bundle.Rotation{Keyring: next.Ring}
	for _, key := range s.Ring.Keys {
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

// replicasPerShard is the count of replicas in a snapshot of a sized bundle.
const replicasPerShard = 6

// Sized returns a valid bundle with the given number of zones, targets and snapshots. Targets are spread over services
// of 60.
func Sized(version uint64, zones, targets, snapshots int) *bundle.Bundle {
	b := &bundle.Bundle{Version: version, Name: "winter", Author: "ana", Reviewer: "ion", Reason: "test",
		Policy: bundle.Policy{RequiredSigners: 1, ExtraLoadPercent: 5, MaxDeadlineMillis: 1000, DefaultDeadlineMillis: 100}}
	for z := range zones {
		b.Zones = append(b.Zones, bundle.Zone{ID: zone(z), State: bundle.ZoneIn})
	}
	const perService = 60
	for first := 0; first < targets; first += perService {
		b.Services = append(b.Services, service(first, min(perService, targets-first), zones, snapshots))
	}
	return b
}

func zone(z int) ident.Zone { return ident.Zone(fmt.Sprintf("zone-%d", z)) }

func service(first, count, zones, snapshots int) bundle.Service {
	s := bundle.Service{ID: ident.ServiceID(fmt.Sprintf("service-%04d", first)), Slots: 6, ColdSlots: 1, Connections: 50, ConnectMillis: 6}
	for i := first; i < first+count; i++ {
		s.Targets = append(s.Targets, bundle.Target{ID: ident.TargetID(fmt.Sprintf("target-%05d", i)), Zone: zone(i % zones),
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), State: bundle.TargetServing})
	}
	for n := range snapshots {
		snap := bundle.Snapshot{ID: ident.SnapshotID(fmt.Sprintf("2024-11-%02d", n+1))}
		for shard := range min(52, count) {
			part := bundle.Shard{ID: ident.ShardID(fmt.Sprintf("shard-%02d", shard))}
			for r := range min(replicasPerShard, count) {
				part.Replicas = append(part.Replicas, s.Targets[(shard+r)%count].ID)
			}
			snap.Shards = append(snap.Shards, part)
		}
		s.Snapshots = append(s.Snapshots, snap)
	}
	return s
}
