package distribution

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// No order of offers, pushes, fetches, restarts of VMs and messages with a false version in the header may make a
// running VM go back to a lower version or replace a version's content.
func TestNoInterleavingReverts(t *testing.T) {
	offers := map[string][]byte{}
	for n := uint64(1); n <= 5; n++ {
		for _, reason := range []string{"a", "b"} {
			offers[string(rune('0'+n))+reason] = variant(n, reason)
		}
	}
	names := []string{"1a", "1b", "2a", "2b", "3a", "3b", "4a", "4b", "5a", "5b"}
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		f := &fleet{vms: map[ident.VMID]*vm{}, cut: func(_, _ membership.Member) bool { return false }}
		for _, id := range []ident.VMID{"a", "b", "c"} {
			f.members = append(f.members, membership.Member{ID: id, Zone: "z", State: membership.Alive})
		}
		start := func(i int) {
			self := f.members[i]
			f.vms[self.ID] = &vm{member: self, Distributor: New(Options{Clock: clock, Store: config.NewStore(clock, trust.Keyring),
				Viewer: staticView{membership.NewView(self, f.members, 1, clock.Now())}, Transport: memberTransport{f, self}, Seed: 1})}
		}
		for i := range f.members {
			start(i)
		}
		index := rapid.IntRange(0, len(f.members)-1)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			before := map[ident.VMID]*config.InForce{}
			for id, v := range f.vms {
				before[id] = v.Store.Current()
			}
			at := f.vms[f.members[index.Draw(t, "at")].ID]
			peer := f.members[index.Draw(t, "peer")]
			switch rapid.SampledFrom([]string{"offer", "push", "fetch", "lie", "restart"}).Draw(t, "step") {
			case "offer":
				at.Offer(offers[rapid.SampledFrom(names).Draw(t, "bundle")])
			case "push":
				if cur := at.Store.Current(); cur != nil && peer.ID != at.member.ID {
					_ = at.push(t.Context(), peer, cur)
				}
			case "fetch":
				_ = at.fetch(t.Context(), peer)
			case "lie":
				at.HandlePush(&peerv1.PushRequest{Payload: &peerv1.BundlePayload{Version: 9, Encoding: EncodingIdentity,
					Data: offers[rapid.SampledFrom(names).Draw(t, "bundle")]}})
			case "restart":
				start(index.Draw(t, "restarted"))
				continue
			}
			for id, v := range f.vms {
				requireNoRevert(t, before[id], v.Store.Current())
			}
		}
	})
}

func requireNoRevert(t *rapid.T, before, after *config.InForce) {
	if before == nil {
		return
	}
	if after.Bundle.Version < before.Bundle.Version || (after.Bundle.Version == before.Bundle.Version && after.Digest != before.Digest) {
		t.Fatalf("version %d with digest %s came into force after version %d with digest %s", after.Bundle.Version, after.Digest.Short(), before.Bundle.Version, before.Digest.Short())
	}
}
