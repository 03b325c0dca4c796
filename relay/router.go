package relay

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"connectrpc.com/connect"

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

// Router sends each leaf request to the owner of its target: to this VM's own gates when it is the owner, else to
// the owner through the relay.
type Router struct {
	self    ident.VMID
	planner Planner
	viewer  membership.Viewer
	local   Local
	peers   *Peers

	direct  atomic.Uint64
	relayed atomic.Uint64
}

// NewRouter returns a router for the VM.
func NewRouter(self ident.VMID, planner Planner, viewer membership.Viewer, local Local, peers *Peers) *Router {
	return &Router{self: self, planner: planner, viewer: viewer, local: local, peers: peers}
}

// Counts returns how many leaf requests went to own gates and to other owners.
func (r *Router) Counts() (direct, relayed uint64) { return r.direct.Load(), r.relayed.Load() }

// maxOwnerLookups allows one repetition after an owner answered that it is not the owner.
const maxOwnerLookups = 2

// Send runs one leaf request through the owner of its target.
func (r *Router) Send(ctx context.Context, req outcome.LeafRequest) outcome.LeafResult {
	var res outcome.LeafResult
	for range maxOwnerLookups {
		res = r.sendOnce(ctx, req)
		if res.Status != outcome.LeafNotRun || res.Reason != outcome.ReasonNotOwner {
			return res
		}
	}
	return res
}

func (r *Router) sendOnce(ctx context.Context, req outcome.LeafRequest) outcome.LeafResult {
	if ctx.Err() != nil {
		return outcome.LeafRefused(outcome.ReasonDeadline, "deadline passed before the send")
	}
	plan := r.planner.Plan()
	if plan == nil {
		return outcome.LeafRefused(outcome.ReasonNoBundle, "no placement plan yet")
	}
	target, ok := plan.Target(req.Target)
	if !ok || len(target.Owners) == 0 {
		return outcome.LeafRefused(outcome.ReasonTargetUnknown, "the target has no owner in the plan")
	}
	if _, own := target.OwnedBy(r.self); own {
		r.direct.Add(1)
		return r.local.DoLeaf(ctx, req)
	}
	member, ok := r.viewer.View().Lookup(target.Owners[0].VM)
	if !ok {
		return outcome.LeafRefused(outcome.ReasonPeerUnreachable, "the owner is not in the view")
	}
	r.relayed.Add(1)
	return r.relay(ctx, member.Address, req)
}

func (r *Router) relay(ctx context.Context, address string, req outcome.LeafRequest) outcome.LeafResult {
	resp, err := r.peers.Relay(address).SendLeaf(ctx, connect.NewRequest(ToMessage(ctx, req)))
	if err != nil {
		return Failure(err)
	}
	return ResultFromMessage(resp.Msg)
}

// Failure says what a failed call to a peer means: only a dial that failed proves that nothing was sent.
func Failure(err error) outcome.LeafResult {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return outcome.LeafRefused(outcome.ReasonPeerUnreachable, err.Error())
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return outcome.LeafLost(outcome.ReasonDeadline, err.Error())
	case connect.CodeOf(err) == connect.CodeCanceled:
		return outcome.LeafLost(outcome.ReasonCancelled, err.Error())
	default:
		return outcome.LeafLost(outcome.ReasonPeerUnreachable, err.Error())
	}
}
