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

// Bounds of the control costs of one VM.
const (
	maxControlBytes   = 18_000 // bytes/s, sent and received
	maxControlCPU     = 11.0   // ms/s: 1.1% of a core
	maxControlMemory  = 32.0   // MB
	maxLeaveSeconds   = 3.0
	controlWindow     = 60 * time.Second
	controlZones      = 6
	restartsPerMinute = 3 // over six times the 360 restarts and replacements of an ordinary day
)

func init() {
	bench.Register("members_control", controlCost)
	bench.Register("members_removal", removalTime)
}

// controlSizes are the measured fleets; the design size is last.
var controlSizes = []int{82, 164, 328, 650}

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
		return nil, fmt.Errorf("%d nodes did not settle in 2 minutes", nodes)
	}
	// The start leaves queued updates; they are no part of the steady state.
	f.Run(time.Minute)
	f.Encode = true
	return f, nil
}

// controlSample is what one VM uses in a steady fleet with restarts.
type controlSample struct {
	nodes                               int
	bytes, messages, calls, cpu, memory float64
}

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
	// A VM begins a quarter of the messages it handles, and answers another quarter.
	s.calls = s.messages / 4
	runtime.KeepAlive(f)
	return s, nil
}

// controlCost measures fleets in memory and adds the cost of real calls, which is measured on loopback.
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
		// Framing counts both directions of a call, and a VM is one end of two calls for each that it begins; the
		// loopback figure of CPU covers both ends.
		s.bytes += 2 * s.calls * call.framing
		s.cpu += s.calls * call.cpu
		samples = append(samples, s)
		results = append(results,
			bench.Result{Name: fmt.Sprintf("members_bytes_%d_nodes", nodes), Value: s.bytes, Unit: "bytes/s", Bound: maxControlBytes, Less: true},
			bench.Result{Name: fmt.Sprintf("members_messages_%d_nodes", nodes), Value: s.messages, Unit: "messages/s", Informative: true},
			bench.Result{Name: fmt.Sprintf("members_cpu_%d_nodes", nodes), Value: s.cpu, Unit: "ms/s", Bound: maxControlCPU, Less: true},
			bench.Result{Name: fmt.Sprintf("members_memory_%d_nodes", nodes), Value: s.memory, Unit: "MB", Bound: maxControlMemory, Less: true})
	}
	return append(results, slopes(samples)...), nil
}

// slopes gives the growth over the measured sizes, for each node that is added.
func slopes(samples []controlSample) []bench.Result {
	first, last := samples[0], samples[len(samples)-1]
	added := float64(last.nodes - first.nodes)
	return []bench.Result{
		{Name: "members_bytes_slope", Value: (last.bytes - first.bytes) / added, Unit: "bytes/s/node", Informative: true},
		{Name: "members_messages_slope", Value: (last.messages - first.messages) / added, Unit: "messages/s/node", Informative: true},
		{Name: "members_memory_slope", Value: (last.memory - first.memory) * 1000 / added, Unit: "kB/node", Informative: true},
	}
}

// removalTime measures when the last of 650 VMs stops giving new work to a killed and to a leaving VM.
func removalTime() ([]bench.Result, error) {
	f, err := controlFleet(controlSizes[len(controlSizes)-1])
	if err != nil {
		return nil, err
	}
	until := func(vm *membersim.Endpoint, states ...membership.State) (float64, error) {
		start := f.Clock.Now()
		if !f.RunUntil(start.Add(time.Minute), func() bool { return f.AllSee(vm.Member.ID, states...) }) {
			return 0, fmt.Errorf("%s still gets work after a minute", vm.Member.ID)
		}
		return f.Clock.Now().Sub(start).Seconds(), nil
	}
	f.VMs[10].Leave(func(int) {})
	left, err := until(f.VMs[10], membership.Leaving)
	if err != nil {
		return nil, err
	}
	f.VMs[200].Stop()
	killed, err := until(f.VMs[200], membership.Dead)
	return []bench.Result{
		{Name: "members_leaving_removed", Value: left, Unit: "s", Bound: maxLeaveSeconds, Less: true},
		{Name: "members_killed_removed", Value: killed, Unit: "s", Informative: true},
	}, err
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// cpuTime is the processor time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
