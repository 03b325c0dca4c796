package membership

import "sync/atomic"

type counters struct {
	probes, probeFailures, indirectProbes, deadProbes, pushes, syncs atomic.Uint64
	suspicions, refutations, reports, pauses, unrefreshedViews       atomic.Uint64
}

// Stats holds counters since the start of the node.
type Stats struct {
	// Probes counts direct probes. ProbeFailures counts those that failed, unless this process was paused meanwhile or
	// the member's incarnation changed.
	Probes, ProbeFailures uint64
	IndirectProbes        uint64
	// DeadProbes counts the syncs with dead members.
	DeadProbes uint64
	Pushes     uint64
	// Syncs counts requests for all members, to any peer.
	Syncs       uint64
	Suspicions  uint64
	Refutations uint64
	// Reports counts failures on the data path that caused a probe.
	Reports uint64
	Pauses  uint64
	// UnrefreshedViews counts stale views that were used again although no peer had replied.
	UnrefreshedViews uint64
}

// Stats returns the counters without taking a lock.
func (n *Node) Stats() Stats {
	c := &n.counters
	return Stats{Probes: c.probes.Load(), ProbeFailures: c.probeFailures.Load(), IndirectProbes: c.indirectProbes.Load(),
		DeadProbes: c.deadProbes.Load(), Pushes: c.pushes.Load(), Syncs: c.syncs.Load(), Suspicions: c.suspicions.Load(),
		Refutations: c.refutations.Load(), Reports: c.reports.Load(), Pauses: c.pauses.Load(), UnrefreshedViews: c.unrefreshedViews.Load()}
}
