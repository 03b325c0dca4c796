package configbench

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/distribution"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/standin/bundles"
)

// The design size and the bounds stated in docs/design.md, and parameters of the benchmarks.
const (
	designNodes         = 650
	designTargets       = 3000
	changesPerDay       = 670
	restartsPerDay      = 369
	secondsPerDay       = 86400
	spreadBound         = 5 * time.Second
	maxControlBytes     = 18_000
	maxPlatformReads    = 2_000
	zoneDelay           = 4 * time.Millisecond
	snapshotsPerService = 2
	// verifyTargets is the number of targets that makes a bundle just below the size limit of 1 MB.
	verifyTargets     = 3500
	platformWatchTime = 8 * time.Second
	maxGrowth         = 1.5
	maxDeltaShare     = 0.1
	fleetMemoryLimit  = 10 << 30
)

// maxVerifyMillis is a tenth of the CPU time that control traffic may use per change: 1.1% of a core over a day,
// divided by the changes of a day.
const maxVerifyMillis = 0.1 * 0.011 * secondsPerDay * 1000 / changesPerDay

func init() {
	bench.Register("config_spread", configSpread)
	bench.Register("config_bytes", configBytes)
	bench.Register("config_delta", configDelta)
	bench.Register("config_verify", configVerify)
	bench.Register("config_platform", configPlatform)
}

// designBundle returns a bundle of the design size.
func designBundle(version uint64) *bundle.Bundle {
	return bundles.Sized(version, configZones, designTargets, snapshotsPerService)
}

// zoneOutBundle returns a bundle of the design size with one zone out; the version selects the zone.
func zoneOutBundle(version uint64) *bundle.Bundle {
	b := designBundle(version)
	b.Zones[int(version)%configZones].State = bundle.ZoneOut
	return b
}

// configSpread measures the time until a change is in force on all VMs. Every VM verifies the bundle. Here the VMs
// share the cores of one machine, so the figure is higher than that of a real fleet. The garbage collector runs only
// near the memory limit, because scanning one heap that holds many VMs is expensive, while each VM of a real fleet has
// a small heap.
func configSpread() ([]bench.Result, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(fleetMemoryLimit))
	var results []bench.Result
	var messages, bytes []float64
	for _, nodes := range []int{82, 164, 328, designNodes} {
		f := newConfigFleet(nodes, zoneDelay)
		if err := f.start(f.signers.Sign(designBundle(1))); err != nil {
			return results, err
		}
		runtime.GC()
		took, err := f.spread(f.signers.Sign(zoneOutBundle(2)), 2, 10*spreadBound)
		f.stop()
		if err != nil {
			return results, err
		}
		perNode := func(total int64) float64 { return float64(total) / float64(nodes) }
		messages, bytes = append(messages, perNode(f.messages.Load())), append(bytes, perNode(f.bytes.Load()))
		results = append(results,
			bench.Result{Name: fmt.Sprintf("config_spread_%d_nodes", nodes), Value: took.Seconds(), Unit: "s", Bound: spreadBound.Seconds(), LowerIsBetter: true},
			bench.Result{Name: fmt.Sprintf("config_messages_a_node_%d_nodes", nodes), Value: messages[len(messages)-1], Unit: "messages", Informative: true},
			bench.Result{Name: fmt.Sprintf("config_bytes_a_node_%d_nodes", nodes), Value: bytes[len(bytes)-1], Unit: "B", Informative: true})
	}
	last := len(messages) - 1
	return append(results,
		bench.Result{Name: "config_messages_a_node_650_over_82", Value: messages[last] / messages[0], Unit: "ratio", Bound: maxGrowth, LowerIsBetter: true},
		bench.Result{Name: "config_bytes_a_node_650_over_82", Value: bytes[last] / bytes[0], Unit: "ratio", Bound: maxGrowth, LowerIsBetter: true}), nil
}

// configBytes measures the bytes that a VM sends and receives for changes. One change in ten gives all services a new
// snapshot; the others change a zone or a target. One VM restarts with every second change. That is the design's rate
// of restarts for 650 VMs, applied to 82 VMs. The share of bundles that are sent whole, and not as a delta, is
// therefore higher than in a fleet of the design size.
func configBytes() ([]bench.Result, error) {
	const nodes, changes = 82, 20
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(fleetMemoryLimit))
	f := newConfigFleet(nodes, 0)
	if err := f.start(f.signers.Sign(designBundle(1))); err != nil {
		return nil, err
	}
	defer f.stop()
	for version := uint64(2); version < 2+changes; version++ {
		b := zoneOutBundle(version)
		replaceSnapshots(b, int(version)/10)
		b.Services[version].Targets[0].State = bundle.TargetLeaving
		if _, err := f.spread(f.signers.Sign(b), version, 10*spreadBound); err != nil {
			return nil, err
		}
		if version%2 == 0 {
			victim := 1 + int(version)%(nodes-1)
			f.vms[victim].stop()
			f.prepare(victim)
			f.run(victim)
		}
	}
	whole, delta := f.totals()
	// Every byte is sent by one VM and received by another, so it counts twice.
	perChange := 2 * float64(f.bytes.Load()) / nodes / changes
	return []bench.Result{
		{Name: "config_bytes_a_second_a_node", Value: perChange * changesPerDay / secondsPerDay, Unit: "B/s", Bound: maxControlBytes, LowerIsBetter: true},
		{Name: "config_share_of_whole_transfers", Value: float64(whole) / float64(whole+delta), Unit: "ratio", Informative: true},
		{Name: "config_share_of_delta_transfers", Value: float64(delta) / float64(whole+delta), Unit: "ratio", Informative: true},
	}, nil
}

// replaceSnapshots replaces the newest snapshot of every service by one with a new ID and other replicas for each
// shard.
func replaceSnapshots(b *bundle.Bundle, generation int) {
	for i := range b.Services {
		newest := &b.Services[i].Snapshots[snapshotsPerService-1]
		newest.ID += ident.SnapshotID(fmt.Sprintf("-%d", generation))
		for j := range newest.Shards {
			newest.Shards[j].Replicas = slices.Clone(newest.Shards[(j*7+generation)%len(newest.Shards)].Replicas)
		}
	}
}

// configDelta compares the size of a delta with the size of the whole signed bundle, uncompressed and compressed by the
// same library.
func configDelta() ([]bench.Result, error) {
	signers := bundles.NewSigners(0, "ana", "ion")
	base, err := designBundle(1).Canonical()
	if err != nil {
		return nil, err
	}
	zoneLeaving := zoneOutBundle(2)
	for i := range zoneLeaving.Services {
		for j := range zoneLeaving.Services[i].Targets {
			if t := &zoneLeaving.Services[i].Targets[j]; t.Zone == zoneLeaving.Zones[2].ID {
				t.State = bundle.TargetLeaving
			}
		}
	}
	var results []bench.Result
	for _, c := range []struct {
		name string
		b    *bundle.Bundle
	}{{"zone_out", zoneOutBundle(2)}, {"zone_out_and_its_targets_leaving", zoneLeaving}} {
		raw := signers.Sign(c.b)
		whole, err := distribution.EncodeDelta(raw, nil)
		if err != nil {
			return nil, err
		}
		delta, err := distribution.EncodeDelta(raw, base)
		if err != nil {
			return nil, err
		}
		results = append(results,
			bench.Result{Name: "config_delta_over_whole_" + c.name, Value: float64(len(delta)) / float64(len(raw)), Unit: "ratio", Bound: maxDeltaShare, LowerIsBetter: true},
			bench.Result{Name: "config_delta_over_compressed_" + c.name, Value: float64(len(delta)) / float64(len(whole)), Unit: "ratio", Informative: true},
			bench.Result{Name: "config_delta_bytes_" + c.name, Value: float64(len(delta)), Unit: "B", Informative: true})
	}
	return results, nil
}

// configVerify measures the time to verify a bundle close to the size limit of 1 MB.
func configVerify() ([]bench.Result, error) {
	signers := bundles.NewSigners(0, "ana", "ion")
	raw := signers.Sign(bundles.Sized(1, configZones, verifyTargets, snapshotsPerService))
	const rounds = 10
	start := time.Now()
	for range rounds {
		if _, err := bundle.Verify(raw, signers.Keyring); err != nil {
			return nil, err
		}
	}
	each := time.Since(start) / rounds
	return []bench.Result{
		{Name: "config_verify", Value: float64(each.Microseconds()) / 1000, Unit: "ms", Bound: maxVerifyMillis, LowerIsBetter: true},
		{Name: "config_verify_bundle_size", Value: float64(len(raw)), Unit: "B", Informative: true},
	}, nil
}

// configPlatform counts the reads at a platform that replies immediately, and at one that is down while every VM sees
// only itself. The figure is the maximum within one second.
func configPlatform() ([]bench.Result, error) {
	var results []bench.Result
	signers := bundles.NewSigners(0, "ana", "ion")
	for _, nodes := range []int{8, designNodes} {
		for _, isolated := range []bool{false, true} {
			p := &countingPlatform{down: isolated}
			f := newConfigFleet(nodes, 0)
			f.platform, f.isolated = p, isolated
			var raw []byte
			name := "config_platform_peak_reads_alone_and_down"
			if !isolated {
				raw, name = signers.Sign(bundles.Small(1)), "config_platform_peak_reads"
			}
			if err := f.start(raw); err != nil {
				return nil, err
			}
			<-time.After(platformWatchTime)
			f.stop()
			results = append(results, bench.Result{Name: fmt.Sprintf("%s_%d_nodes", name, nodes), Value: float64(p.peak()), Unit: "reads/s", Bound: maxPlatformReads, LowerIsBetter: true})
		}
	}
	return results, nil
}
