package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// faultEvery is the mean time between the starts of two faults; a fault lasts up to several seconds, so they overlap.
const faultEvery = 400 * time.Millisecond

// Times of faults.
const (
	maxHarm      = 4 * time.Second
	maxAway      = 2 * time.Second
	drainTime    = time.Second
	maxClockSkew = 15 * time.Second
)

// fault is one thing that can go wrong: it harms the world and undoes the harm after a while. The weight is how often it
// is chosen, relative to the others.
type fault struct {
	name   string
	weight int
	make   func(w *world, random *rand.Rand)
}

var faultKinds = []fault{
	{"target_link", 6, (*world).harmTargets},
	{"store_link", 3, (*world).harmStoreLinks},
	{"store_down", 1, (*world).failStore},
	{"store_history_lost", 1, (*world).forgetHistory},
	{"pause", 3, (*world).pauseVM},
	{"kill", 2, (*world).killVM},
	{"stop", 3, (*world).stopVM},
	{"stop_and_kill", 1, (*world).stopThenKill},
	{"reload", 1, (*world).reloadVM},
	{"configuration", 4, (*world).changeConfiguration},
	{"zone_out", 1, (*world).takeZoneOut},
	{"target_crash", 3, (*world).crashTarget},
	{"target_leaves", 2, (*world).drainTarget},
	{"target_clock", 1, (*world).skewTargetClock},
}

// harm makes faults for the time of the run and returns when the last one has ended.
func (w *world) harm() {
	random := rand.New(rand.NewPCG(uint64(w.Seed), 2))
	total := 0
	for _, f := range faultKinds {
		total += f.weight
	}
	for end := time.Now().Add(w.Faults); time.Now().Before(end); {
		f := pickFault(random.IntN(total))
		own := rand.New(rand.NewPCG(random.Uint64(), 3))
		w.underWay.Go(func() { f.make(w, own) })
		time.Sleep(time.Duration(random.ExpFloat64() * float64(faultEvery)))
	}
	w.underWay.Wait()
}

func pickFault(roll int) fault {
	for _, f := range faultKinds {
		if roll -= f.weight; roll < 0 {
			return f
		}
	}
	return faultKinds[0]
}

func span01(random *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(most))
}

// hold keeps a fault up for a random time.
func (w *world) hold(random *rand.Rand) { time.Sleep(span01(random, maxHarm)) }

func pickMode(random *rand.Rand) linkMode {
	return []linkMode{linkDelay, linkReset, linkOneWay, linkSilent}[random.IntN(4)]
}

func (w *world) harmTargets(random *rand.Rand) {
	mode := pickMode(random)
	var harmed []*backend
	for range 1 + random.IntN(4) {
		if k := w.backends.pick(random, false); k != nil {
			harmed = append(harmed, k)
			k.link.set(mode)
		}
	}
	w.record.event(-1, fmt.Sprintf("target_link mode=%s targets=%d", mode, len(harmed)))
	w.hold(random)
	for _, k := range harmed {
		k.link.set(linkPass)
	}
	w.record.event(-1, "target_link ends")
}

// harmStoreLinks harms the links of some VMs, or of all, to the store.
func (w *world) harmStoreLinks(random *rand.Rand) {
	mode, share := pickMode(random), random.Float64()
	if random.IntN(3) == 0 {
		share = 1
	}
	w.record.event(-1, fmt.Sprintf("store_link mode=%s share=%.2f", mode, share))
	var harmed []*vm
	for _, v := range w.vms {
		if random.Float64() <= share {
			v.store.set(mode)
			harmed = append(harmed, v)
		}
	}
	w.hold(random)
	for _, v := range harmed {
		v.store.set(linkPass)
	}
	w.record.event(-1, "store_link ends")
}

func (w *world) failStore(random *rand.Rand) {
	status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[random.IntN(2)]
	w.record.event(-1, fmt.Sprintf("store_down status=%d", status))
	w.store.Fail(func(string) int { return status })
	w.hold(random)
	w.store.Fail(nil)
	w.record.event(-1, "store_down ends")
}

func (w *world) forgetHistory(*rand.Rand) {
	w.record.event(-1, "store_history_lost")
	w.store.Compact()
}

// pauseVM stops a process for a while, whatever else happens to it.
func (w *world) pauseVM(random *rand.Rand) {
	v := w.vms[random.IntN(len(w.vms))]
	w.record.event(v.index, "pause")
	w.record.upsetNow(v.index)
	v.signal(syscall.SIGSTOP)
	w.hold(random)
	v.signal(syscall.SIGCONT)
	w.record.calmNow(v.index)
	w.record.event(v.index, "pause ends")
}

// exclusively runs a change of a VM's process, unless another one is under way.
func (w *world) exclusively(random *rand.Rand, change func(v *vm) error) {
	i := random.IntN(len(w.vms))
	if !w.busy[i].TryLock() {
		return
	}
	defer w.busy[i].Unlock()
	if err := change(w.vms[i]); err != nil {
		w.record.fault(fmt.Sprintf("vm-%d can't be started: %v", i, err))
	}
}

func (w *world) killVM(random *rand.Rand) {
	w.exclusively(random, func(v *vm) error {
		w.record.event(v.index, "kill")
		w.record.upsetNow(v.index)
		v.kill()
		w.record.calmNow(v.index)
		return w.restart(v, random)
	})
}

// restart starts a VM again after a while.
func (w *world) restart(v *vm, random *rand.Rand) error {
	time.Sleep(span01(random, maxAway))
	w.record.event(v.index, "start")
	return v.start()
}

func (w *world) stopVM(random *rand.Rand) {
	w.exclusively(random, func(v *vm) error {
		w.record.event(v.index, "stop")
		if again, life := span01(random, maxAway), v.life.Load(); random.IntN(3) == 0 {
			w.underWay.Go(func() {
				time.Sleep(again)
				v.signalLife(life, syscall.SIGTERM)
			})
		}
		if v.stop(stopPatience) {
			w.record.fault(fmt.Sprintf("STOP: vm-%d had to be killed", v.index))
		}
		w.record.event(v.index, "stopped")
		return w.restart(v, random)
	})
}

func (w *world) stopThenKill(random *rand.Rand) {
	w.exclusively(random, func(v *vm) error {
		w.record.event(v.index, "stop_and_kill")
		v.signal(syscall.SIGTERM)
		time.Sleep(span01(random, maxAway))
		w.record.upsetNow(v.index)
		v.kill()
		w.record.calmNow(v.index)
		return w.restart(v, random)
	})
}

// reloadVM changes the seeds of the settings file and says so to the process.
func (w *world) reloadVM(random *rand.Rand) {
	v := w.vms[random.IntN(len(w.vms))]
	w.record.event(v.index, "reload")
	if err := v.writeSettings(w.zones, w.seeds(v.index+random.IntN(len(w.vms)))); err != nil {
		w.record.fault(err.Error())
	}
	v.signal(syscall.SIGHUP)
}

func (w *world) changeConfiguration(random *rand.Rand) {
	for range 1 + random.IntN(3) {
		w.publish()
		w.record.event(-1, fmt.Sprintf("configuration version=%d", w.version.Load()))
		time.Sleep(span01(random, time.Second))
	}
}

func (w *world) takeZoneOut(random *rand.Rand) {
	zone := w.zones[random.IntN(len(w.zones))]
	w.record.event(-1, "zone_out "+zone)
	w.store.EvacuateZone(zone, false)
	w.hold(random)
	w.store.EvacuateZone(zone, true)
	w.record.event(-1, "zone_back "+zone)
}

// crashTarget ends a target without a word. Its entry lapses later; another target takes its place, sometimes with an
// address that a target of another service had.
func (w *world) crashTarget(random *rand.Rand) {
	k := w.backends.pick(random, true)
	if k == nil {
		return
	}
	w.record.event(-1, "target_crash "+k.leaf.ID)
	k.link.set(linkReset)
	k.leaf.Close()
	time.Sleep(registerDelay + span01(random, maxAway))
	reuse := random.IntN(2) == 0
	if reuse {
		other := w.backends.pick(random, false)
		w.replace(other.service, other.zone, k.link)
		k.link.set(linkPass)
	} else {
		k.link.Close()
	}
	time.Sleep(span01(random, maxAway))
	w.store.Deregister(k.leaf.ID)
	w.replace(k.service, k.zone, nil)
}

func (w *world) replace(service, zone string, reuse *proxy) {
	k, err := w.backends.add(service, zone, reuse)
	if err != nil {
		w.record.fault(fmt.Sprintf("a target of %s can't be started: %v", service, err))
		return
	}
	w.record.event(-1, fmt.Sprintf("target_start %s service=%s reused_address=%t", k.leaf.ID, service, reuse != nil))
}

// drainTarget lets a target leave as planned, and another one take its place.
func (w *world) drainTarget(random *rand.Rand) {
	k := w.backends.pick(random, true)
	if k == nil {
		return
	}
	w.replace(k.service, k.zone, nil)
	w.record.event(-1, "target_leaves "+k.leaf.ID)
	w.backends.publish(k, true, 0)
	time.Sleep(drainTime + span01(random, maxHarm))
	w.store.Deregister(k.leaf.ID)
	time.Sleep(span01(random, maxAway))
	k.link.Close()
	k.leaf.Close()
}

// skewTargetClock makes a target state a start that its clock got wrong.
func (w *world) skewTargetClock(random *rand.Rand) {
	k := w.backends.pick(random, false)
	if k == nil {
		return
	}
	skew := span01(random, 2*maxClockSkew) - maxClockSkew
	w.record.event(-1, fmt.Sprintf("target_clock %s skew=%s", k.leaf.ID, skew.Round(time.Millisecond)))
	w.backends.publish(k, false, time.Now().Add(skew).UnixMilli())
}
