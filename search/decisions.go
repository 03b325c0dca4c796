package search

import (
	"strconv"
	"strings"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/replica"
)

// searchEvent is the event of the line of one search.
const searchEvent = "search"

// maxLeaves bounds the leaf decisions of one line; the largest fan-out designed for is 104 leaves.
const maxLeaves = 160

// leafDecision is one send in the line of its search.
type leafDecision struct {
	shard  ident.ShardID
	target ident.TargetID
	zone   ident.Zone
	kind   outcome.SendKind
	reason replica.Reason
	class  Class
	stale  bool
}

// leafDecisions is formatted by the writer of the decision log, not on the request path.
type leafDecisions struct {
	leaves  []leafDecision
	omitted int
}

// String lists the sends as shard:target@zone:kind:reason:class, with :stale after a choice on old data. The class is
// "open" for a send that had not ended when the answer was given.
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

// decide writes the one line of a search.
func (s *Searcher) decide(r *run, answer *Answer, service ident.ServiceID) {
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
	kept := r.attempts[:min(len(r.attempts), maxLeaves)]
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
