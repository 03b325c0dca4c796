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

// Planner gives the current placement plan, or nil before there is one. It takes no lock.
type Planner interface {
	Plan() *placement.Plan
}

// Local runs leaf requests of targets that this VM owns.
type Local interface {
	DoLeaf(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
}

// Successors is implemented by a Local that knows whom it handed a target over to while the plan does not follow yet.
type Successors interface {
	Successor(target ident.TargetID) (ident.VMID, bool)
}

// Options are the surroundings of a Router.
type Options struct {
	Self    ident.VMID
	Planner Planner
	Viewer  membership.Viewer
	Local   Local
	Peers   *Peers
	Meter   metric.Meter
	// Failures hears of owners that could not be reached; it may be nil.
	Failures membership.FailureReporter
}

// Router sends each leaf request to the owner of its target: to this VM's own gates when it is the owner, else to
// the owner through the relay.
type Router struct {
	Options
	counters *counters
}

// NewRouter returns a router for the VM.
func NewRouter(o Options) (*Router, error) {
	c, err := newCounters(o.Meter)
	if err != nil {
		return nil, err
	}
	return &Router{Options: o, counters: c}, nil
}

// Send runs one leaf request through the owner of its target. An owner that says it is not the owner is replaced once.
// A request that is not idempotent is handed to one owner only.
func (r *Router) Send(ctx context.Context, req outcome.LeafRequest) outcome.LeafResult {
	owner, refused := r.owner(ctx, req.Target, "")
	if owner == "" {
		return r.counters.refuse(ctx, refused)
	}
	res := r.sendTo(ctx, owner, req)
	if notOwner(res) && !req.NonIdempotent {
		// The plan may have changed meanwhile; an unchanged one names no other owner of a target that has only one.
		if next := r.other(ctx, req.Target, owner); next != "" {
			r.counters.recompute(ctx)
			res = r.sendTo(ctx, next, req)
		}
	}
	r.counters.result(ctx, res)
	return res
}

// other returns the VM to send to after one said that it is not the owner, or none.
func (r *Router) other(ctx context.Context, id ident.TargetID, denied ident.VMID) ident.VMID {
	next, _ := r.owner(ctx, id, denied)
	if s, ok := r.Local.(Successors); ok && next == "" && denied == r.Self {
		next, _ = s.Successor(id)
	}
	return next
}

func notOwner(res outcome.LeafResult) bool {
	return res.Status == outcome.LeafNotRun && res.Reason == outcome.ReasonNotOwner
}

// owner returns the VM to send to, other than the excluded one; or none and the reason.
func (r *Router) owner(ctx context.Context, id ident.TargetID, excluded ident.VMID) (ident.VMID, outcome.LeafResult) {
	select {
	case <-ctx.Done():
		return "", outcome.LeafRefused(outcome.ReasonDeadline, "the context ended before the send")
	default:
	}
	if r.Viewer.View().Stale {
		return "", outcome.LeafRefused(outcome.ReasonStaleView, "this process was paused and has to refresh its view")
	}
	plan := r.Planner.Plan()
	if plan == nil {
		return "", outcome.LeafRefused(outcome.ReasonNoBundle, "no placement plan yet")
	}
	target, ok := plan.Target(id)
	if !ok || len(target.Owners) == 0 {
		return "", outcome.LeafRefused(outcome.ReasonTargetUnknown, "the target has no owner in the plan")
	}
	return r.pick(target, excluded), outcome.LeafRefused(outcome.ReasonNotOwner, "no other owner")
}

// pick prefers this VM, and otherwise chooses an owner in proportion to its slots.
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
		r.counters.direct(ctx)
		return r.Local.DoLeaf(ctx, req)
	}
	member, ok := r.Viewer.View().Lookup(owner)
	if !ok {
		return outcome.LeafRefused(outcome.ReasonPeerUnreachable, "the owner is not in the view")
	}
	r.counters.relayed(ctx)
	res := r.Peers.SendLeaf(ctx, member.Address, req)
	if res.Reason == outcome.ReasonPeerUnreachable && r.Failures != nil {
		// Searches meet a lost owner long before the next probe would.
		r.Failures.ReportFailure(owner)
	}
	return res
}
