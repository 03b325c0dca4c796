package config_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	"teaselbank.example/teaselbank/standin/bundles"
)

var trust = bundles.NewSigners(0, "ana", "ion")

func newStore() *config.Store { return config.NewStore(clockwork.NewFakeClock(), trust.Keyring) }

func variant(version uint64, reason string) []byte {
	b := bundles.Small(version)
	b.Reason = reason
	return trust.Sign(b)
}

// Whatever the order of offers, from any number of goroutines, a store must never go back to a lower version or replace
// a version's content, and must end at the highest version offered. Listeners must see strictly ascending versions.
func TestNeverReverts(t *testing.T) {
	offers := map[string][]byte{}
	for v := uint64(1); v <= 4; v++ {
		for _, reason := range []string{"a", "b"} {
			offers[fmt.Sprint(v, reason)] = variant(v, reason)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		store := newStore()
		offersByGoroutine := rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom([]string{"1a", "1b", "2a", "2b", "3a", "3b", "4a", "4b"}), 0, 5), 1, 4).Draw(t, "threads")
		var mu sync.Mutex
		var seen []*config.InForce
		store.OnChange(func(f *config.InForce) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, f)
		})
		var running sync.WaitGroup
		highest := uint64(0)
		for _, list := range offersByGoroutine {
			for _, name := range list {
				highest = max(highest, uint64(name[0]-'0'))
			}
			running.Go(func() {
				for _, name := range list {
					before := store.Current()
					d := store.Offer(offers[name])
					if before != nil && d.InForce.Bundle.Version < before.Bundle.Version {
						t.Errorf("Offer returned version %d as the one in force, although the higher version %d was in force before", d.InForce.Bundle.Version, before.Bundle.Version)
					}
				}
			})
		}
		running.Wait()
		if highest > 0 && store.Current().Bundle.Version != highest {
			t.Fatalf("version %d is in force although version %d was offered", store.Current().Bundle.Version, highest)
		}
		mu.Lock()
		defer mu.Unlock()
		for i := 1; i < len(seen); i++ {
			if seen[i].Bundle.Version <= seen[i-1].Bundle.Version {
				t.Fatalf("listener got version %d after version %d", seen[i].Bundle.Version, seen[i-1].Bundle.Version)
			}
		}
	})
}

// An offer with the version in force but different content must raise an alarm that stays until a higher version is
// accepted, and must not replace the bundle in force.
func TestConflictAlarmStays(t *testing.T) {
	store := newStore()
	first := store.Offer(variant(2, "a"))
	require.Equal(t, config.Accepted, first.Verdict)
	require.Equal(t, config.Conflict, store.Offer(variant(2, "b")).Verdict)
	require.Equal(t, config.Conflict, store.Offer(variant(2, "b")).Verdict)
	require.Equal(t, config.Same, store.Offer(variant(2, "a")).Verdict)
	require.Equal(t, config.Older, store.Offer(variant(1, "a")).Verdict)
	alarm := store.Alarm()
	require.NotNil(t, alarm)
	require.Equal(t, uint64(2), alarm.Count)
	require.Len(t, alarm.Offered, 1)
	require.Equal(t, first.InForce.Digest, store.Current().Digest)
	require.Equal(t, config.Accepted, store.Offer(variant(3, "a")).Verdict)
	require.Nil(t, store.Alarm())
	require.Equal(t, uint64(2), store.Conflicts())
}

// Signers of a retired keyring must not regain control by signing a higher version that leaves out the rotation that
// retired them.
func TestRetiredKeyringStaysRetired(t *testing.T) {
	next := bundles.NewSigners(1, "maria", "vasile")
	store := newStore()
	rotated := bundles.Small(2)
	rotated.Rotations = []bundle.Rotation{trust.SignRotation(next)}
	require.Equal(t, config.Accepted, store.Offer(next.Sign(rotated)).Verdict)
	d := store.Offer(variant(3, "without the rotation"))
	require.Equal(t, config.Refused, d.Verdict)
	require.Contains(t, d.Reason, "rotations")
	require.Equal(t, uint64(2), store.Current().Bundle.Version)
}

// A listener that calls the store must not deadlock, and one that never returns must not delay the next version.
func TestListenersCannotBlockAcceptance(t *testing.T) {
	store := newStore()
	store.OnChange(func(f *config.InForce) {
		if f.Bundle.Version == 1 {
			store.Offer(variant(2, "offered by an OnChange callback"))
			store.OnChange(func(*config.InForce) {})
		}
	})
	release := make(chan struct{})
	defer close(release)
	store.OnChange(func(*config.InForce) { <-release })
	require.Equal(t, config.Accepted, store.Offer(variant(1, "a")).Verdict)
	require.Equal(t, config.Accepted, store.Offer(variant(3, "a")).Verdict)
	require.Equal(t, uint64(3), store.Current().Bundle.Version)
}

// A bundle must be marked as unconfirmed until a peer confirms it. The confirmation must not change the time of
// acceptance.
func TestBundleIsUnconfirmedUntilAPeerConfirmsIt(t *testing.T) {
	store := newStore()
	require.True(t, store.OfferUnconfirmed(variant(1, "a")).InForce.Unconfirmed)
	since := store.Current().Since
	store.Confirm()
	require.False(t, store.Current().Unconfirmed)
	require.Equal(t, since, store.Current().Since)
}
