package wire

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/peerhttp"
)

// Limits of messages and calls.
const (
	// maxMessageBytes is enough for a reply with several thousand members.
	maxMessageBytes = 1 << 20
	// maxConcurrentCalls limits the calls in flight. A call beyond it fails at once.
	maxConcurrentCalls = 256
)

// Limits of the connections for probes.
const (
	dialTimeout = 300 * time.Millisecond
	// idleTimeout is short because each probe goes to a random peer: if connections to all of 650 peers were kept open,
	// their buffers and keep-alives would cost more than the probes.
	idleTimeout = 5 * time.Second
)

// NewHTTPClient returns the HTTP client for probes. It uses HTTP/2 without TLS, and without pings because each call has
// a short timeout.
func NewHTTPClient() *http.Client {
	return peerhttp.NewClient(peerhttp.Options{Dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, IdleTimeout: idleTimeout})
}

// Transport implements membership.Transport with Connect RPC calls.
type Transport struct {
	// Traffic counts the messages of this transport and of handlers that share it.
	Traffic *Traffic

	http *http.Client
	// inFlight is a semaphore of maxConcurrentCalls.
	inFlight chan struct{}
	clients  sync.Map // address -> peerv1connect.MembershipServiceClient
}

// NewTransport returns a transport that uses the given HTTP client.
func NewTransport(client *http.Client) *Transport {
	return &Transport{Traffic: new(Traffic), http: client, inFlight: make(chan struct{}, maxConcurrentCalls)}
}

func (t *Transport) client(address string) peerv1connect.MembershipServiceClient {
	if c, ok := t.clients.Load(address); ok {
		return c.(peerv1connect.MembershipServiceClient)
	}
	c, _ := t.clients.LoadOrStore(address, peerv1connect.NewMembershipServiceClient(t.http, "http://"+address,
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithInterceptors(t.Traffic.interceptor())))
	return c.(peerv1connect.MembershipServiceClient)
}

var errTooManyCalls = connect.NewError(connect.CodeResourceExhausted, nil)

// call runs f in a goroutine with a context that ends at the timeout. If too many calls are in flight, it runs refused
// in a goroutine instead.
func (t *Transport) call(timeout time.Duration, f func(ctx context.Context), refused func()) {
	select {
	case t.inFlight <- struct{}{}:
	default:
		go refused()
		return
	}
	go func() {
		defer func() { <-t.inFlight }()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		f(ctx)
	}()
}

// Probe implements membership.Transport.
func (t *Transport) Probe(to membership.Member, req membership.ProbeRequest, timeout time.Duration, done func(membership.ProbeReply, error)) {
	msg := ProbeRequest(req)
	t.call(timeout, func(ctx context.Context) {
		resp, err := t.client(to.Address).Probe(ctx, connect.NewRequest(msg))
		if err != nil {
			done(membership.ProbeReply{}, err)
			return
		}
		done(FromProbeReply(resp.Msg), nil)
	}, func() { done(membership.ProbeReply{}, errTooManyCalls) })
}

// IndirectProbe implements membership.Transport.
func (t *Transport) IndirectProbe(via, from, target membership.Member, timeout time.Duration, done func(membership.IndirectReply, error)) {
	msg := &peerv1.IndirectProbeRequest{From: Member(from), Target: Member(target)}
	t.call(timeout, func(ctx context.Context) {
		resp, err := t.client(via.Address).IndirectProbe(ctx, connect.NewRequest(msg))
		if err != nil {
			done(membership.IndirectReply{}, err)
			return
		}
		done(membership.IndirectReply{Reachable: resp.Msg.GetReachable(), Target: FromMember(resp.Msg.GetTarget())}, nil)
	}, func() { done(membership.IndirectReply{}, errTooManyCalls) })
}

// Leave implements membership.Transport.
func (t *Transport) Leave(to, self membership.Member, timeout time.Duration, done func(error)) {
	msg := &peerv1.LeaveRequest{Member: Member(self)}
	t.call(timeout, func(ctx context.Context) {
		_, err := t.client(to.Address).Leave(ctx, connect.NewRequest(msg))
		done(err)
	}, func() { done(errTooManyCalls) })
}

// Handler serves peers' calls to a node.
type Handler struct{ node *membership.Node }

// NewHandler returns the path and the HTTP handler of a node's membership service. Traffic counts its messages.
func NewHandler(node *membership.Node, traffic *Traffic) (string, http.Handler) {
	return peerv1connect.NewMembershipServiceHandler(&Handler{node}, connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithInterceptors(traffic.interceptor()))
}

// Probe handles a direct probe.
func (h *Handler) Probe(_ context.Context, req *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	return connect.NewResponse(ProbeReply(h.node.HandleProbe(FromProbeRequest(req.Msg)))), nil
}

// IndirectProbe probes a member on behalf of the caller and waits for the result.
func (h *Handler) IndirectProbe(ctx context.Context, req *connect.Request[peerv1.IndirectProbeRequest]) (*connect.Response[peerv1.IndirectProbeResponse], error) {
	result := make(chan membership.IndirectReply, 1)
	h.node.HandleIndirectProbe(FromMember(req.Msg.GetFrom()), FromMember(req.Msg.GetTarget()),
		func(r membership.IndirectReply) { result <- r })
	select {
	case r := <-result:
		return connect.NewResponse(&peerv1.IndirectProbeResponse{Reachable: r.Reachable, Target: Member(r.Target)}), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// Leave handles a peer's announcement that it is leaving.
func (h *Handler) Leave(_ context.Context, req *connect.Request[peerv1.LeaveRequest]) (*connect.Response[peerv1.LeaveResponse], error) {
	h.node.HandleLeave(FromMember(req.Msg.GetMember()))
	return connect.NewResponse(&peerv1.LeaveResponse{}), nil
}
