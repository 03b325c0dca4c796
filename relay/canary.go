package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/search"
)

// CanaryRunner runs the canaries of the fingerprints whose home is this VM, and applies quarantines that other homes
// decided. In each availability zone one VM is the home of a fingerprint: only that VM runs the canaries of the
// fingerprint for the zone. A canary is the first run of a query, on one shard, while the query is not known to be
// safe.
type CanaryRunner interface {
	// RunCanary runs the canary request on the replicas and returns the verdict on the fingerprint.
	RunCanary(ctx context.Context, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) search.GuardResult
	// Quarantine quarantines the fingerprint for the remaining time.
	Quarantine(fingerprint string, remaining time.Duration)
}

// Canary runs the canary of a fingerprint whose home is this VM.
func (s *Server) Canary(ctx context.Context, req *connect.Request[peerv1.CanaryRequest]) (*connect.Response[peerv1.CanaryResponse], error) {
	if s.Canaries == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.Msg.GetLeaf().GetRemainingUs())*time.Microsecond)
	defer cancel()
	replicas := make([]ident.TargetID, len(req.Msg.GetTargetIds()))
	for i, id := range req.Msg.GetTargetIds() {
		replicas[i] = ident.TargetID(id)
	}
	res := s.Canaries.RunCanary(ctx, req.Msg.GetFingerprint(), RequestFromMessage(req.Msg.GetLeaf()), replicas)
	resp := &peerv1.CanaryResponse{Verdict: string(res.Verdict), TargetId: string(res.Target)}
	if res.Leaf != nil {
		resp.Leaf = ResultToMessage(*res.Leaf)
	}
	return connect.NewResponse(resp), nil
}

// Quarantine applies the quarantines that another home VM decided.
func (s *Server) Quarantine(_ context.Context, req *connect.Request[peerv1.QuarantineRequest]) (*connect.Response[peerv1.QuarantineResponse], error) {
	if s.Canaries == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	for _, f := range req.Msg.GetFingerprints() {
		s.Canaries.Quarantine(f.GetFingerprint(), time.Duration(f.GetRemainingMs())*time.Millisecond)
	}
	return connect.NewResponse(&peerv1.QuarantineResponse{}), nil
}

// Canary has the VM at the address, the home of the fingerprint, run a canary on the replicas. An unknown verdict counts
// as GuardFailed.
func (p *Peers) Canary(ctx context.Context, address, fingerprint string, canary outcome.LeafRequest, replicas []ident.TargetID) (search.GuardResult, error) {
	m := &peerv1.CanaryRequest{Fingerprint: fingerprint, Leaf: RequestToMessage(ctx, canary)}
	for _, id := range replicas {
		m.TargetIds = append(m.TargetIds, string(id))
	}
	resp, err := p.Client(address).Canary(ctx, connect.NewRequest(m))
	if err != nil {
		return search.GuardResult{}, err
	}
	res := search.GuardResult{Verdict: search.GuardVerdict(resp.Msg.GetVerdict()), Target: ident.TargetID(resp.Msg.GetTargetId())}
	if res.Verdict != search.GuardSafe && res.Verdict != search.GuardQuarantined {
		res.Verdict = search.GuardFailed
	}
	if resp.Msg.GetLeaf() != nil {
		leaf := ResultFromMessage(resp.Msg.GetLeaf())
		res.Leaf = &leaf
	}
	return res, nil
}

// Quarantine reports a quarantined fingerprint to the VM at the address. Errors are ignored: a VM that misses the report
// relies on the home of its own zone, so that an unsafe fingerprint reaches only a bounded number of targets per zone.
func (p *Peers) Quarantine(ctx context.Context, address, fingerprint string, remaining time.Duration) {
	_, _ = p.Client(address).Quarantine(ctx, connect.NewRequest(&peerv1.QuarantineRequest{
		Fingerprints: []*peerv1.QuarantinedFingerprint{{Fingerprint: fingerprint, RemainingMs: remaining.Milliseconds()}}}))
}
