package search

import (
	"strconv"
	"strings"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
)

// searchEvent is the event name of a search's line in the decision log.
const searchEvent = "search"

// maxLoggedLeaves bounds the leaf decisions in one line. The largest fan-out by design is 104 leaves.
const maxLoggedLeaves = 160

// leafDecision describes one send in the decision line of its search.
type leafDecision struct {
	shard  ident.ShardID
	target ident.TargetID
	zone   ident.Zone
	kind   outcome.SendKind
	reason replica.Reason
	class  ResultClass
	stale  bool
}

// leafDecisions lists the sends of a search. The writer of the decision log formats it, off the request path.
type leafDecisions struct {
	leaves  []leafDecision
	omitted int
}

// String lists the sends as shard:target@zone:kind:reason:class, separated by semicolons. It appends :stale if the
// target was chosen on stale data, and ;omitted:N at the end if N sends are left out. The class is "open" for a send
// that had not ended when the answer was given.
func (d leafDecisions) String() string {
	var b strings.Builder
	for i, l := range d.leaves {
		if i > 0 {
			b.WriteByte(';')
		}
		for _, part := range []string{string(l.shard), ":", string(l.target), "@", string(l.zone), ":", string(l.kind), ":", string(l.reason), ":", string(l.class)} {
			b.WriteString(part)
		}
		if l.stale {
			b.WriteString(":stale")
		}
	}
	if d.omitted > 0 {
		b.WriteString(";omitted:" + strconv.Itoa(d.omitted))
	}
	return b.String()
}

// logDecision writes the decision line of a search, unless sampling leaves it out. r is nil if no snapshot was pinned.
func (s *Searcher) logDecision(r *run, answer *Answer, service ident.ServiceID) {
	every, ok := s.Decisions.Admit(searchEvent)
	if !ok {
		return
	}
	fields := []any{"request", answer.RequestID, "service", service, "outcome", answer.Outcome, "reason", answer.Reason,
		"snapshot", answer.Snapshot, "config_version", answer.ConfigVersion, "answered", answer.Coverage.Answered,
		"expected", answer.Coverage.Expected, "elapsed", answer.Elapsed, "sample_one_in", every}
	if r != nil {
		fields = append(fields, "pin", r.pin.Reason, "leaves", r.leafDecisions())
	}
	s.Decisions.Add(searchEvent, fields...)
}

func (r *run) leafDecisions() leafDecisions {
	kept := r.attempts[:min(len(r.attempts), maxLoggedLeaves)]
	d := leafDecisions{leaves: make([]leafDecision, len(kept)), omitted: len(r.attempts) - len(kept)}
	for i, a := range kept {
		class := a.class
		if class == "" {
			class = "open"
		}
		d.leaves[i] = leafDecision{shard: a.request.Shard, target: a.target.ID, zone: a.target.Zone, kind: a.request.Kind,
			reason: a.reason, class: class, stale: a.stale}
	}
	return d
}
