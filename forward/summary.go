package forward

import (
	"time"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/topology"
)

// Summary describes how a request was served.
type Summary struct {
	ID      string
	Route   string
	Arrived time.Time
	Took    time.Duration
	Status  int
	// Reason is the text of a response of this VM's own; empty if targets' replies were passed on.
	Reason   string
	WriteErr error
	// Version is the version of the configuration and Revision that of the topology.
	Version, Revision uint64
	// Shards counts the units of the request, one for each shard or one in all, and Covered those with a successful
	// reply. ExtraSends counts the sends after the first of each unit, and DeniedExtraSends the extra sends that the
	// budget did not allow. MaxTargets is how many targets may run one unit.
	Shards, Covered, ExtraSends, DeniedExtraSends, MaxTargets int
	// Late reports that the request ended too late for its response to meet the objective.
	Late bool
	// CallerLeft reports that the caller closed its connection.
	CallerLeft bool
	// Entry is the VM that received the caller's request, if this VM ran the search for it. Coordinator is the VM that ran
	// the search for this one.
	Entry, Coordinator ident.VMID
	// Attempts lists the units that were sent more than once or got no successful reply.
	Attempts []UnitAttempts
}

// UnitAttempts is a unit of a request that was sent more than once or got no successful reply.
type UnitAttempts struct {
	Service string
	// Targets are the targets that the unit was submitted to, in order. A target that refused the unit may be left out.
	Targets []*topology.Target
	Served  bool
	// Err is the error of the last send that ended without a reply, nil if there was none.
	Err error
}

// fill sets the fields that describe the sends.
func (sum *Summary) fill(j *job, reason endReason) {
	sum.Shards, sum.Covered, sum.ExtraSends, sum.DeniedExtraSends, sum.MaxTargets = len(j.units), j.covered, j.extraSends, j.deniedExtraSends, j.route.MaxTargets
	sum.CallerLeft = reason == endCallerLeft
	sum.Late = time.Now().After(j.answerBy.Add(time.Millisecond))
	for i := range j.units {
		u := &j.units[i]
		if u.reply != nil && len(u.tried) == 1 {
			continue
		}
		a := UnitAttempts{Service: string(u.service), Served: u.reply != nil, Err: u.lastErr}
		for _, e := range u.tried {
			a.Targets = append(a.Targets, e.Target)
		}
		sum.Attempts = append(sum.Attempts, a)
	}
}
