package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"teaselbank.example/teaselbank/platform/platformtest"
)

// meanFaultInterval is the mean time between the starts of two faults. A fault lasts up to several seconds, so faults
// overlap.
const meanFaultInterval = 400 * time.Millisecond

// Durations of faults.
const (
	maxFaultDuration = 4 * time.Second
	maxDowntime      = 2 * time.Second
	minDrainTime     = time.Second
	maxClockSkew     = 15 * time.Second
)

// fault is a kind of fault. inject causes the fault and, if the fault lasts for a time, waits and undoes it. weight is
// how often the kind is chosen relative to the others.
type fault struct {
	name   string
	weight int
	inject func(h *harness, random *rand.Rand)
}

var faultKinds = []fault{
	{"target_link", 6, (*harness).impairTargetLinks},
	{"store_link", 3, (*harness).impairStoreLinks},
	{"store_down", 1, (*harness).failStore},
	{"store_history_lost", 1, (*harness).dropStoreHistory},
	{"pause", 3, (*harness).pauseVM},
	{"kill", 2, (*harness).killVM},
	{"stop", 3, (*harness).stopVM},
	{"stop_and_kill", 1, (*harness).stopThenKill},
	{"reload", 1, (*harness).reloadVM},
	{"configuration", 4, (*harness).changeConfiguration},
	{"zone_out", 1, (*harness).takeZoneOut},
	{"target_crash", 3, (*harness).crashTarget},
	{"target_leaves", 2, (*harness).drainTarget},
	{"target_clock", 1, (*harness).skewTargetClock},
}

// backendFaults come in a sequence of their own, so that a seed has the same sequence of faultKinds as before they were added.
var backendFaults = []fault{
	{"service_full", 3, (*harness).fillService},
	{"odd_entry", 1, (*harness).publishOddEntry},
}

// meanBackendFaultInterval is the mean time between the starts of two backendFaults.
const meanBackendFaultInterval = 1500 * time.Millisecond

// injectFaults starts faults for Options.FaultDuration and returns when the last one has ended.
func (h *harness) injectFaults() {
	var sequences sync.WaitGroup
	sequences.Go(func() { h.injectSequence(backendFaults, 4, meanBackendFaultInterval) })
	h.injectSequence(faultKinds, 2, meanFaultInterval)
	sequences.Wait()
	h.activeFaults.Wait()
}

// injectSequence starts faults of some kinds for Options.FaultDuration. stream selects the random sequence of the seed.
func (h *harness) injectSequence(kinds []fault, stream uint64, meanInterval time.Duration) {
	random := rand.New(rand.NewPCG(uint64(h.Seed), stream))
	total := 0
	for _, f := range kinds {
		total += f.weight
	}
	for end := time.Now().Add(h.FaultDuration); time.Now().Before(end); {
		f := pickFault(kinds, random.IntN(total))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), stream+1))
		h.activeFaults.Go(func() { f.inject(h, faultRandom) })
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanInterval)))
	}
}

// pickFault returns the fault kind for a roll below the sum of all weights.
func pickFault(kinds []fault, roll int) fault {
	for _, f := range kinds {
		if roll -= f.weight; roll < 0 {
			return f
		}
	}
	return kinds[0]
}

// randomDuration returns a duration in [0, limit).
func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(limit))
}

// sleepFaultDuration waits for the random duration of a fault.
func (h *harness) sleepFaultDuration(random *rand.Rand) {
	time.Sleep(randomDuration(random, maxFaultDuration))
}

func pickMode(random *rand.Rand) linkMode {
	return []linkMode{linkDelay, linkReset, linkOneWay, linkSilent}[random.IntN(4)]
}

func (h *harness) impairTargetLinks(random *rand.Rand) {
	mode := pickMode(random)
	var impaired []*target
	for range 1 + random.IntN(4) {
		if t := h.targets.pick(random, false); t != nil {
			impaired = append(impaired, t)
			t.link.set(mode)
		}
	}
	h.record.addEvent(-1, fmt.Sprintf("target_link mode=%s targets=%d", mode, len(impaired)))
	h.sleepFaultDuration(random)
	for _, t := range impaired {
		t.link.set(linkPass)
	}
	h.record.addEvent(-1, "target_link ends")
}

// impairStoreLinks impairs the links of some or all VMs to the store.
func (h *harness) impairStoreLinks(random *rand.Rand) {
	mode, share := pickMode(random), random.Float64()
	if random.IntN(3) == 0 {
		share = 1
	}
	h.record.addEvent(-1, fmt.Sprintf("store_link mode=%s share=%.2f", mode, share))
	var impaired []*vm
	for _, v := range h.vms {
		if random.Float64() <= share {
			v.store.set(mode)
			impaired = append(impaired, v)
		}
	}
	h.sleepFaultDuration(random)
	for _, v := range impaired {
		v.store.set(linkPass)
	}
	h.record.addEvent(-1, "store_link ends")
}

func (h *harness) failStore(random *rand.Rand) {
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)]
	h.record.addEvent(-1, fmt.Sprintf("store_down status=%d", status))
	h.store.Fail(func(string) int { return status })
	h.sleepFaultDuration(random)
	h.store.Fail(nil)
	h.record.addEvent(-1, "store_down ends")
}

func (h *harness) dropStoreHistory(*rand.Rand) {
	h.record.addEvent(-1, "store_history_lost")
	h.store.Compact()
}

// pauseVM suspends the process of a VM for a while, also while another fault affects that VM.
func (h *harness) pauseVM(random *rand.Rand) {
	v := h.vms[random.IntN(len(h.vms))]
	h.record.addEvent(v.index, "pause")
	h.record.beginDisruption(v.index)
	v.signal(syscall.SIGSTOP)
	h.sleepFaultDuration(random)
	v.signal(syscall.SIGCONT)
	h.record.endDisruption(v.index)
	h.record.addEvent(v.index, "pause ends")
}

// changeRandomVM applies change to the process of a random VM, unless another change of that process is in progress.
func (h *harness) changeRandomVM(random *rand.Rand, change func(v *vm) error) {
	i := random.IntN(len(h.vms))
	if !h.processMu[i].TryLock() {
		return
	}
	defer h.processMu[i].Unlock()
	if err := change(h.vms[i]); err != nil {
		h.record.addViolation(fmt.Sprintf("cannot restart vm-%d: %v", i, err))
	}
}

func (h *harness) killVM(random *rand.Rand) {
	h.changeRandomVM(random, func(v *vm) error {
		h.record.addEvent(v.index, "kill")
		h.record.beginDisruption(v.index)
		v.kill()
		h.record.endDisruption(v.index)
		return h.restart(v, random)
	})
}

// restart starts the process of the VM again after a random downtime.
func (h *harness) restart(v *vm, random *rand.Rand) error {
	time.Sleep(randomDuration(random, maxDowntime))
	h.record.addEvent(v.index, "start")
	return v.start()
}

// stopVM sends SIGTERM to a VM, in a third of the cases a second time, and starts the VM again once it has exited.
func (h *harness) stopVM(random *rand.Rand) {
	h.changeRandomVM(random, func(v *vm) error {
		h.record.addEvent(v.index, "stop")
		if delay, incarnation := randomDuration(random, maxDowntime), v.incarnation.Load(); random.IntN(3) == 0 {
			h.activeFaults.Go(func() {
				time.Sleep(delay)
				v.signalIncarnation(incarnation, syscall.SIGTERM)
			})
		}
		if v.stop(stopGrace) {
			h.record.addViolation(fmt.Sprintf("STOP: vm-%d did not exit after SIGTERM and was killed", v.index))
		}
		h.record.addEvent(v.index, "stopped")
		return h.restart(v, random)
	})
}

func (h *harness) stopThenKill(random *rand.Rand) {
	h.changeRandomVM(random, func(v *vm) error {
		h.record.addEvent(v.index, "stop_and_kill")
		v.signal(syscall.SIGTERM)
		time.Sleep(randomDuration(random, maxDowntime))
		h.record.beginDisruption(v.index)
		v.kill()
		h.record.endDisruption(v.index)
		return h.restart(v, random)
	})
}

// reloadVM rewrites the settings file of a VM with other seed peers and sends SIGHUP.
func (h *harness) reloadVM(random *rand.Rand) {
	v := h.vms[random.IntN(len(h.vms))]
	h.record.addEvent(v.index, "reload")
	if err := v.writeSettings(h.zones, h.seedPeers(v.index+random.IntN(len(h.vms)))); err != nil {
		h.record.addViolation(err.Error())
	}
	v.signal(syscall.SIGHUP)
}

func (h *harness) changeConfiguration(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		h.publish()
		h.record.addEvent(-1, fmt.Sprintf("configuration version=%d", h.version.Load()))
		time.Sleep(randomDuration(random, time.Second))
	}
}

func (h *harness) takeZoneOut(random *rand.Rand) {
	zone := h.zones[random.IntN(len(h.zones))]
	h.record.addEvent(-1, "zone_out "+zone)
	h.store.EvacuateZone(zone, false)
	h.sleepFaultDuration(random)
	h.store.EvacuateZone(zone, true)
	h.record.addEvent(-1, "zone_back "+zone)
}

// crashTarget closes a target while its entry stays in the store for a while. In half of the cases a new target, often
// of another service, takes over the address of the closed target before the entry is removed. Then a replacement of
// the same service starts at a new address.
func (h *harness) crashTarget(random *rand.Rand) {
	t := h.targets.pick(random, true)
	if t == nil {
		return
	}
	h.record.addEvent(-1, "target_crash "+t.server.ID)
	t.link.set(linkReset)
	t.server.Close()
	time.Sleep(minReplacementDelay + randomDuration(random, maxDowntime))
	reuse := random.IntN(2) == 0
	if reuse {
		other := h.targets.pick(random, false)
		h.startReplacement(other.service, other.zone, t.link)
		t.link.set(linkPass)
	} else {
		t.link.Close()
	}
	time.Sleep(randomDuration(random, maxDowntime))
	h.store.Deregister(t.server.ID)
	h.startReplacement(t.service, t.zone, nil)
}

// startReplacement starts a target of the service in the zone, at the address of reuse if that is not nil.
func (h *harness) startReplacement(service, zone string, reuse *proxy) {
	t, err := h.targets.add(service, zone, reuse)
	if err != nil {
		h.record.addViolation(fmt.Sprintf("cannot start a target of %s: %v", service, err))
		return
	}
	h.record.addEvent(-1, fmt.Sprintf("target_start %s service=%s reused_address=%t", t.server.ID, service, reuse != nil))
}

// drainTarget starts a replacement of a target, marks the target as draining, deregisters it and closes it.
func (h *harness) drainTarget(random *rand.Rand) {
	t := h.targets.pick(random, true)
	if t == nil {
		return
	}
	h.startReplacement(t.service, t.zone, nil)
	h.record.addEvent(-1, "target_leaves "+t.server.ID)
	h.targets.publish(t, true, 0)
	time.Sleep(minDrainTime + randomDuration(random, maxFaultDuration))
	h.store.Deregister(t.server.ID)
	time.Sleep(randomDuration(random, maxDowntime))
	t.link.Close()
	t.server.Close()
}

// skewTargetClock makes a target publish a start time that is wrong by up to maxClockSkew in either direction.
func (h *harness) skewTargetClock(random *rand.Rand) {
	t := h.targets.pick(random, false)
	if t == nil {
		return
	}
	skew := randomDuration(random, 2*maxClockSkew) - maxClockSkew
	h.record.addEvent(-1, fmt.Sprintf("target_clock %s skew=%s", t.server.ID, skew.Round(time.Millisecond)))
	h.targets.publish(t, false, time.Now().Add(skew).UnixMilli())
}

// fillService makes the targets of a service refuse most requests for a while, some of them with a late second refusal or with a
// time for which they want none.
func (h *harness) fillService(random *rand.Rand) {
	t := h.targets.pick(random, false)
	if t == nil {
		return
	}
	h.record.addEvent(-1, "service_full "+t.service)
	h.targets.setFull(t.service, true)
	h.sleepFaultDuration(random)
	h.targets.setFull(t.service, false)
	h.record.addEvent(-1, "service_full ends "+t.service)
}

// publishOddEntry publishes an entry that names no target, at the address of one, and removes it after a while.
func (h *harness) publishOddEntry(random *rand.Rand) {
	t := h.targets.pick(random, false)
	if t == nil {
		return
	}
	entry := func(address, slots string) []byte {
		return platformtest.RawEntry(t.service, t.zone, address, slots)
	}
	odd := [][]byte{bytes.Repeat([]byte(`{"a":[`), 50_000), entry(t.link.Address, "1e400"), entry(t.link.Address, "9223372036854775807"),
		entry("127.0.0.1:65536", "4"), entry("127.0.0.1:0", "4")}
	id, kind := "odd", random.IntN(len(odd)+1)
	value := entry(t.link.Address, "4")
	if kind < len(odd) {
		value = odd[kind]
	} else {
		id = "odd\r\nX-Odd: 1"
	}
	h.record.addEvent(-1, fmt.Sprintf("odd_entry kind=%d", kind))
	h.store.RegisterBytes(id, value)
	h.sleepFaultDuration(random)
	h.store.Deregister(id)
	h.record.addEvent(-1, "odd_entry ends")
}
