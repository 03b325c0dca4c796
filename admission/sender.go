package admission

import (
	"context"

	"teaselbank.example/teaselbank/outcome"
)

// Sender runs one leaf request.
type Sender interface {
	Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult
}

// ObservedSender is a Sender that reports the result of each send to the controller.
type ObservedSender struct {
	Sender     Sender
	Controller *Controller
}

// Send runs the request and reports its result. Cancelled sends are not reported: they ended because their query no
// longer needed them, which does not indicate load.
func (s ObservedSender) Send(ctx context.Context, r outcome.LeafRequest) outcome.LeafResult {
	res := s.Sender.Send(ctx, r)
	if res.Reason != outcome.ReasonCancelled {
		s.Controller.Observe(res)
	}
	return res
}
