package relay

import (
	"context"
	"math/rand/v2"

	"go.opentelemetry.io/otel/metric"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
)

// Planner provides the current placement plan.
type Planner interface {
	// Plan returns the current plan, or nil before the first one. It takes no lock.
	Plan() *placement.Plan
}

// LocalRunner runs leaf requests for targets that this VM owns.
type LocalRunner interface {
	DoLeaf(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
}

// Successors is implemented by a LocalRunner that records to which VM it handed over a target.
type Successors interface {
	// Successor returns the VM that this VM handed the target over to, if its own plan does not reflect the handover yet.
	Successor(target ident.TargetID) (ident.VMID, bool)
}

// Options are the dependencies of a Router.
type Options struct {
	Self    ident.VMID
	Planner Planner
	Viewer  membership.Viewer
	Local   LocalRunner
	Peers   *Peers
	Meter   metric.Meter
	// Failures is notified of owners that could not be reached; it may be nil.
	Failures membership.FailureReporter
}

// Router sends each leaf request to an owner of its target. If this VM is an owner, the request goes to this VM's own
// gate, which schedules the slots of the target. Otherwise the request goes through the relay to another VM.
type Router struct {
	Options
	counters *counters
}

// NewRouter returns a router for the VM o.Self. It fails only if its metrics cannot be created.
func NewRouter(o Options) (*Router, error) {
	c, err := newCounters(o.Meter)
	if err != nil {
		return nil, err
	}
	return &Router{Options: o, counters: c}, nil
}

// Send sends one leaf request through an owner of its target. If that VM replies that it is not an owner, Send tries one
// other VM, unless the request is not idempotent: such a request is sent to one VM only.
func (r *Router) Send(ctx context.Context, req outcome.LeafRequest) outcome.LeafResult {
	owner, refused := r.findOwner(ctx, req.Target, "")
	if owner == "" {
		return r.counters.countRefusal(ctx, refused)
	}
	res := r.sendTo(ctx, owner, req)
	if notOwner(res) && !req.NonIdempotent {
		// The plan may have changed in the meantime. If the plan has not changed, a target with a single owner has no
		// next owner.
		if next := r.nextOwner(ctx, req.Target, owner); next != "" {
			r.counters.countRecompute(ctx)
			res = r.sendTo(ctx, next, req)
		}
	}
	r.counters.countResult(ctx, res)
	return res
}

// nextOwner returns the VM to send to after the excluded VM replied that it is not an owner, or "" if there is none. If
// this VM itself is excluded and the plan has no other owner, nextOwner returns the VM to which this VM handed the
// target over.
func (r *Router) nextOwner(ctx context.Context, id ident.TargetID, excluded ident.VMID) ident.VMID {
	next, _ := r.findOwner(ctx, id, excluded)
	if s, ok := r.Local.(Successors); ok && next == "" && excluded == r.Self {
		next, _ = s.Successor(id)
	}
	return next
}

func notOwner(res outcome.LeafResult) bool {
	return res.Status == outcome.LeafNotRun && res.Reason == outcome.ReasonNotOwner
}

// findOwner returns the VM to send to, other than the excluded one. If there is none, it returns "" and the refusal.
func (r *Router) findOwner(ctx context.Context, id ident.TargetID, excluded ident.VMID) (ident.VMID, outcome.LeafResult) {
	select {
	case <-ctx.Done():
		return "", outcome.NotRunResult(outcome.ReasonDeadline, "the context ended before the request was sent")
	default:
	}
	if r.Viewer.View().Stale {
		return "", outcome.NotRunResult(outcome.ReasonStaleView, "this process was paused and has not yet refreshed its membership view")
	}
	plan := r.Planner.Plan()
	if plan == nil {
		return "", outcome.NotRunResult(outcome.ReasonNoBundle, "no placement plan yet")
	}
	target, ok := plan.Target(id)
	if !ok || len(target.Owners) == 0 {
		return "", outcome.NotRunResult(outcome.ReasonTargetUnknown, "the target has no owner in the plan")
	}
	return r.pick(target, excluded), outcome.NotRunResult(outcome.ReasonNotOwner, "the target has no other owner in the plan")
}

// pick returns an owner other than the excluded one: this VM if it is an owner, otherwise one chosen at random in
// proportion to its slots, or "" if there is none.
func (r *Router) pick(target *placement.Target, excluded ident.VMID) ident.VMID {
	total := 0
	for _, o := range target.Owners {
		if o.VM == excluded {
			continue
		}
		if o.VM == r.Self {
			return o.VM
		}
		total += o.Slots
	}
	if total == 0 {
		return ""
	}
	n := 0
	if len(target.Owners) > 1 {
		n = rand.IntN(total)
	}
	for _, o := range target.Owners {
		if o.VM == excluded {
			continue
		}
		if n < o.Slots {
			return o.VM
		}
		n -= o.Slots
	}
	return ""
}

func (r *Router) sendTo(ctx context.Context, owner ident.VMID, req outcome.LeafRequest) outcome.LeafResult {
	if owner == r.Self {
		r.counters.countDirect(ctx)
		return r.Local.DoLeaf(ctx, req)
	}
	member, ok := r.Viewer.View().Lookup(owner)
	if !ok {
		return outcome.NotRunResult(outcome.ReasonPeerUnreachable, "the owner is not in the membership view")
	}
	r.counters.countRelayed(ctx)
	res := r.Peers.SendLeaf(ctx, member.Address, req)
	if res.Reason == outcome.ReasonPeerUnreachable && r.Failures != nil {
		// A failed leaf request shows that an owner is unreachable long before the next membership probe of that owner
		// would.
		r.Failures.ReportFailure(owner)
	}
	return res
}
