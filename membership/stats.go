package membership

import "sync/atomic"

type counters struct {
	probes, probeFailures, indirectProbes, deadProbes, pushes, syncs atomic.Uint64
	suspicions, refutations, reports, pauses, unrefreshed            atomic.Uint64
}

// Stats are counts since the start of the node.
type Stats struct {
	// Probes is how many direct probes were started, ProbeFailures how many of them failed.
	Probes, ProbeFailures uint64
	IndirectProbes        uint64
	// DeadProbes went to members that were believed dead.
	DeadProbes uint64
	Pushes     uint64
	// Syncs asked a peer for all its members.
	Syncs       uint64
	Suspicions  uint64
	Refutations uint64
	// Reports are failures on the data path that caused a probe.
	Reports uint64
	Pauses  uint64
	// Unrefreshed is how often a stale view was used again although no peer had answered.
	Unrefreshed uint64
}

// Stats returns the counts without taking a lock.
func (n *Node) Stats() Stats {
	c := &n.counters
	return Stats{Probes: c.probes.Load(), ProbeFailures: c.probeFailures.Load(), IndirectProbes: c.indirectProbes.Load(),
		DeadProbes: c.deadProbes.Load(), Pushes: c.pushes.Load(), Syncs: c.syncs.Load(), Suspicions: c.suspicions.Load(),
		Refutations: c.refutations.Load(), Reports: c.reports.Load(), Pauses: c.pauses.Load(), Unrefreshed: c.unrefreshed.Load()}
}
