package delegate

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"teaselbank.example/teaselbank/coordinator"
	"teaselbank.example/teaselbank/forward"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
)

// Runner runs searches on this VM; *forward.Service implements it.
type Runner interface {
	// RunSearch runs a search for another VM. Any error means that the search was not started.
	RunSearch(ctx context.Context, s *forward.Search) (*forward.SearchReply, error)
	// SendAll sends a request to targets for another VM and passes the results to deliver, which is called on the calling
	// goroutine, until all sends have a result or the context ends.
	SendAll(ctx context.Context, r *forward.Relay, deliver func(*forward.RelayBatch) error) error
	// ConfigurationVersion returns the version of the configuration by which this VM routes; 0 if it has none.
	ConfigurationVersion() uint64
}

// Server serves the calls of other VMs to this one as a coordinator.
type Server struct {
	Runner Runner
	Pace   *coordinator.Pace
	// Ready reports whether this VM takes new work.
	Ready func() bool
	// OtherZoneContact returns when this VM last had contact with a VM or a target of another zone; the zero time if never.
	OtherZoneContact func() time.Time
}

// noContact is the age of a contact that never took place.
const noContact = -1

// Available implements peerv1connect.CoordinatorServiceHandler.
func (s *Server) Available(_ context.Context, req *connect.Request[peerv1.AvailableRequest]) (*connect.Response[peerv1.AvailableResponse], error) {
	now := time.Now()
	resp := &peerv1.AvailableResponse{SendUs: s.Pace.Estimate(now).Microseconds(), OtherZoneAgeUs: noContact,
		ConfigVersion: s.Runner.ConfigurationVersion()}
	if contact := s.OtherZoneContact(); !contact.IsZero() {
		resp.OtherZoneAgeUs = max(0, now.Sub(contact).Microseconds())
	}
	switch {
	case !s.Ready():
		resp.Refusal = "not ready"
	case req.Msg.GetConfigVersion() != resp.ConfigVersion:
		resp.Refusal = "another version of the configuration"
	}
	return connect.NewResponse(resp), nil
}

// Search implements peerv1connect.CoordinatorServiceHandler.
func (s *Server) Search(ctx context.Context, req *connect.Request[peerv1.SearchRequest]) (*connect.Response[peerv1.SearchResponse], error) {
	reply, err := s.Runner.RunSearch(ctx, searchFromMessage(req.Msg, time.Now()))
	if err != nil {
		return connect.NewResponse(&peerv1.SearchResponse{NotStarted: err.Error()}), nil
	}
	return connect.NewResponse(replyToMessage(reply)), nil
}

// SendAll implements peerv1connect.CoordinatorServiceHandler.
func (s *Server) SendAll(ctx context.Context, req *connect.Request[peerv1.SendAllRequest], stream *connect.ServerStream[peerv1.SendAllResponse]) error {
	return s.Runner.SendAll(ctx, relayFromMessage(req.Msg, time.Now()), func(b *forward.RelayBatch) error { return stream.Send(batchToMessage(b)) })
}
