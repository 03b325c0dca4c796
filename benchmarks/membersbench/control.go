package membersbench

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"teaselbank.example/teaselbank/benchmarks/bench"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/membership/membersim"
)

// Bounds of the control traffic's cost for one VM, and parameters of the measurement.
const (
	maxControlBytes   = 18_000 // bytes/s, sent and received
	maxControlCPU     = 11.0   // ms/s: 1.1% of a core
	maxControlMemory  = 32.0   // MB
	maxLeaveSeconds   = 3.0
	controlWindow     = 60 * time.Second
	controlZones      = 6
	restartsPerMinute = 3 // more than six times the rate of an ordinary day, which has 360 restarts and replacements
)

func init() {
	bench.Register("members_control", controlCost)
	bench.Register("members_removal", removalTime)
}

// controlSizes are the measured fleet sizes in VMs; the last one is the design size.
var controlSizes = []int{82, 164, 328, 650}

// controlFleet returns a fleet of the given number of VMs whose views have converged and that counts encoded bytes.
func controlFleet(nodes int) (*membersim.Fleet, error) {
	zones := make([]ident.Zone, controlZones)
	for i := range zones {
		zones[i] = ident.Zone(fmt.Sprintf("zone-%d", i))
	}
	f := membersim.NewFleet(uint64(nodes), nodes/controlZones, zones...)
	for i := len(f.VMs); i < nodes; i++ {
		f.VMs = append(f.VMs, f.Start(ident.VMID(fmt.Sprintf("extra-%03d", i)), zones[0], nil))
		f.VMs[i].ApplyList(f.Listed)
	}
	if !f.RunUntilConverged(2 * time.Minute) {
		return nil, fmt.Errorf("membership views of %d nodes did not converge within 2 minutes", nodes)
	}
	// Updates queued during the start are not part of the steady state; let them drain.
	f.Run(time.Minute)
	f.Encode = true
	return f, nil
}

// controlSample is the cost of the control traffic for one VM of a fleet in which only restarts occur: bytes/s and
// messages/s sent and received, calls/s started, CPU time in ms/s and memory in MB.
type controlSample struct {
	nodes                               int
	bytes, messages, calls, cpu, memory float64
}

// measureControl runs a simulated fleet for controlWindow and returns the mean cost per VM.
func measureControl(nodes int) (controlSample, error) {
	before := heapBytes()
	f, err := controlFleet(nodes)
	if err != nil {
		return controlSample{}, err
	}
	messages, sent, cpu := f.Messages, f.Bytes, cpuTime()
	for i := range restartsPerMinute {
		f.VMs[i].Stop()
		f.Restart(i)
		f.Run(controlWindow / restartsPerMinute)
	}
	used := cpuTime() - cpu
	perNode := float64(nodes) * controlWindow.Seconds()
	s := controlSample{nodes: nodes, cpu: float64(used.Microseconds()) / 1000 / perNode,
		// Each message is sent by one VM and received by another.
		messages: 2 * float64(f.Messages-messages) / perNode, bytes: 2 * float64(f.Bytes-sent) / perNode,
		memory: (heapBytes() - before) / float64(nodes) / 1e6}
	// A call is a request and a reply, and a VM serves as many calls as it starts: one started call per four messages.
	s.calls = s.messages / 4
	runtime.KeepAlive(f)
	return s, nil
}

// controlCost measures simulated fleets and adds the cost of real calls, which is measured over loopback.
func controlCost() ([]bench.Result, error) {
	call, err := measureCalls()
	if err != nil {
		return nil, err
	}
	results := []bench.Result{
		{Name: "members_call_framing", Value: call.framing, Unit: "bytes", Informative: true},
		{Name: "members_call_cpu", Value: call.cpu, Unit: "ms", Informative: true},
	}
	var samples []controlSample
	for _, nodes := range controlSizes {
		s, err := measureControl(nodes)
		if err != nil {
			return results, err
		}
		// For each call that a VM starts it serves another one, so it handles the framing of two calls, each in both
		// directions. The CPU time of a loopback call already includes client and server.
		s.bytes += 2 * s.calls * call.framing
		s.cpu += s.calls * call.cpu
		samples = append(samples, s)
		results = append(results,
			bench.Result{Name: fmt.Sprintf("members_bytes_%d_nodes", nodes), Value: s.bytes, Unit: "bytes/s", Bound: maxControlBytes, LowerIsBetter: true},
			bench.Result{Name: fmt.Sprintf("members_messages_%d_nodes", nodes), Value: s.messages, Unit: "messages/s", Informative: true},
			bench.Result{Name: fmt.Sprintf("members_cpu_%d_nodes", nodes), Value: s.cpu, Unit: "ms/s", Bound: maxControlCPU, LowerIsBetter: true},
			bench.Result{Name: fmt.Sprintf("members_memory_%d_nodes", nodes), Value: s.memory, Unit: "MB", Bound: maxControlMemory, LowerIsBetter: true})
	}
	return append(results, growthPerNode(samples)...), nil
}

// growthPerNode returns the growth of each cost per added node, from the smallest to the largest measured fleet.
func growthPerNode(samples []controlSample) []bench.Result {
	first, last := samples[0], samples[len(samples)-1]
	added := float64(last.nodes - first.nodes)
	return []bench.Result{
		{Name: "members_bytes_slope", Value: (last.bytes - first.bytes) / added, Unit: "bytes/s/node", Informative: true},
		{Name: "members_messages_slope", Value: (last.messages - first.messages) / added, Unit: "messages/s/node", Informative: true},
		{Name: "members_memory_slope", Value: (last.memory - first.memory) * 1000 / added, Unit: "kB/node", Informative: true},
	}
}

// removalTime measures the time until all VMs of a fleet of the design size have stopped giving new work to a leaving
// VM, and to a killed one.
func removalTime() ([]bench.Result, error) {
	f, err := controlFleet(controlSizes[len(controlSizes)-1])
	if err != nil {
		return nil, err
	}
	removalSeconds := func(vm *membersim.Endpoint, states ...membership.State) (float64, error) {
		start := f.Clock.Now()
		if !f.RunUntil(start.Add(time.Minute), func() bool { return f.AllSee(vm.Member.ID, states...) }) {
			return 0, fmt.Errorf("some VM still sends work to %s after 1 minute", vm.Member.ID)
		}
		return f.Clock.Now().Sub(start).Seconds(), nil
	}
	f.VMs[10].Leave(func(int) {})
	left, err := removalSeconds(f.VMs[10], membership.Leaving)
	if err != nil {
		return nil, err
	}
	f.VMs[200].Stop()
	killed, err := removalSeconds(f.VMs[200], membership.Dead)
	return []bench.Result{
		{Name: "members_leaving_removed", Value: left, Unit: "s", Bound: maxLeaveSeconds, LowerIsBetter: true},
		{Name: "members_killed_removed", Value: killed, Unit: "s", Informative: true},
	}, err
}

// heapBytes returns the heap and stack memory in use after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTime returns the user and system CPU time of this process, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
