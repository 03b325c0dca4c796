// Package delegate carries searches from the VMs that receive them to the coordinators that run them.
package delegate

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/coordinator"
	"teaselbank.example/teaselbank/forward"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/leafconn"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/peerhttp"
)

// Times of calls to coordinators.
const (
	// availableTimeout is how long a VM waits for a coordinator that may be out of reach. After that it runs the search
	// itself, which must still leave most of a short objective.
	availableTimeout = 30 * time.Millisecond
	// maxTries is how many coordinators are asked before the VM runs a search itself.
	maxTries = 2
	// checkInterval is how often a coordinator whose response is due is checked, checkTimeout how long its reply may take,
	// and maxFailedChecks after how many failed checks the search is lost.
	checkInterval   = 100 * time.Millisecond
	checkTimeout    = 80 * time.Millisecond
	maxFailedChecks = 2
	// contactTimeout is how long a VM waits for a coordinator that it asks for its contact with other zones.
	contactTimeout = 100 * time.Millisecond
	// idleTimeout is how long a connection to a coordinator without calls stays open.
	idleTimeout = 30 * time.Second
	// deadlineGrace is how much longer than the deadline a VM waits for the response, which then states the reason.
	deadlineGrace = 20 * time.Millisecond
)

// MaxMessageBytes bounds one message to or from a coordinator. It is enough for the largest body of a caller's request and
// for the signatures of several thousand shards.
const MaxMessageBytes = 4 << 20

var errLost = errors.New("the coordinator of the search no longer replies")

// Dial opens a connection to a peer.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Client.
type Options struct {
	// Roles returns the current division of the fleet, which must not change afterwards.
	Roles func() *coordinator.Roles
	// Pace is that of this VM.
	Pace  *coordinator.Pace
	Clock clockwork.Clock
	Dial  Dial
	// Failures is notified of coordinators that do not reply.
	Failures membership.FailureReporter
	Logger   *log.Logger
}

// Client hands searches over to the coordinators of this VM's zone, and sends requests to targets of other zones through
// the coordinators there. It implements forward.Coordinators and forward.Relays.
type Client struct {
	Options

	handedOver, notStarted, lost atomic.Uint64

	mu    sync.Mutex
	peers map[ident.VMID]*peer
	// pruned is the division of the fleet for which peers was last cleared of VMs that are no coordinators.
	pruned *coordinator.Roles
}

// peer is a coordinator and this VM's connection to it.
type peer struct {
	id      ident.VMID
	http    *http.Client
	rpc     peerv1connect.CoordinatorServiceClient
	address string
	// health is guarded by Client.mu.
	health coordinator.Health
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client { return &Client{Options: o, peers: map[ident.VMID]*peer{}} }

// Counts returns how many searches were run by coordinators, how many were handed over to none, and how many were lost
// because their coordinator no longer replied.
func (c *Client) Counts() (handedOver, notStarted, lost uint64) {
	return c.handedOver.Load(), c.notStarted.Load(), c.lost.Load()
}

// Run implements forward.Coordinators.
func (c *Client) Run(ctx context.Context, s *forward.Search) (*forward.SearchReply, error) {
	roles := c.Roles()
	if roles.Self || len(roles.Local) == 0 {
		return nil, forward.ErrNotStarted
	}
	p, newest := c.reserve(ctx, roles, s.Version)
	switch {
	case p == nil && newest > s.Version:
		return nil, &forward.NewerVersionError{Version: newest}
	case p == nil:
		c.notStarted.Add(1)
		return nil, forward.ErrNotStarted
	}
	defer c.release(p)
	reply, err := c.search(ctx, p, s)
	switch {
	case err == nil:
		c.handedOver.Add(1)
	case errors.Is(err, forward.ErrNotStarted):
		c.notStarted.Add(1)
	case ctx.Err() == nil:
		c.lost.Add(1)
		c.failed(p, err)
	}
	return reply, err
}

// reserve returns a coordinator that would run a search now, nil if there is none, and the newest version of the
// configuration that one has stated. release must be called when the search has ended.
func (c *Client) reserve(ctx context.Context, roles *coordinator.Roles, version uint64) (found *peer, newest uint64) {
	for range maxTries {
		p := c.choose(roles.Local)
		if p == nil {
			return nil, newest
		}
		callCtx, cancel := context.WithTimeout(ctx, availableTimeout)
		resp, err := p.rpc.Available(callCtx, connect.NewRequest(&peerv1.AvailableRequest{ConfigVersion: version}))
		cancel()
		if err != nil {
			c.release(p)
			if ctx.Err() == nil {
				c.failed(p, err)
			}
			return nil, newest
		}
		newest = max(newest, resp.Msg.GetConfigVersion())
		offered := time.Duration(resp.Msg.GetSendUs()) * time.Microsecond
		if resp.Msg.GetRefusal() == "" && coordinator.WorthHandingOver(c.Pace.Estimate(c.Clock.Now()), offered) {
			return p, newest
		}
		c.release(p)
		if newest > version {
			// The coordinator is fine; this VM is about to get the same version.
			return nil, newest
		}
		c.refused(p)
	}
	return nil, newest
}

// choose returns the coordinator to try, with one more search in flight, or nil if all are avoided.
func (c *Client) choose(members []membership.Member) *peer {
	if len(members) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune()
	at := coordinator.Choose(c.candidates(members), c.Clock.Now(), rand.IntN(len(members)))
	if at < 0 {
		return nil
	}
	m := members[at]
	p := c.peers[m.ID]
	if p == nil || p.address != m.Address {
		p = c.newPeer(m.ID, m.Address)
		c.peers[m.ID] = p
	}
	p.health.InFlight++
	return p
}

// prune drops the VMs that are no coordinators any more, at most once for each division of the fleet; c.mu must be held.
func (c *Client) prune() {
	roles := c.Roles()
	if roles == c.pruned {
		return
	}
	c.pruned = roles
	known := map[ident.VMID]bool{}
	for _, m := range roles.Local {
		known[m.ID] = true
	}
	for _, list := range roles.Remote {
		for _, m := range list {
			known[m.ID] = true
		}
	}
	for id, p := range c.peers {
		if !known[id] && p.health.InFlight == 0 {
			p.http.CloseIdleConnections()
			delete(c.peers, id)
		}
	}
}

// candidates returns the members as candidates; c.mu must be held.
func (c *Client) candidates(members []membership.Member) []coordinator.Health {
	candidates := make([]coordinator.Health, len(members))
	for i, m := range members {
		if p := c.peers[m.ID]; p != nil && p.address == m.Address {
			candidates[i] = p.health
		}
	}
	return candidates
}

// newPeer returns a peer with a client of its own, so that its connection can be replaced without those of others.
func (c *Client) newPeer(id ident.VMID, address string) *peer {
	client := peerhttp.NewClient(peerhttp.Options{Dial: c.Dial, IdleTimeout: idleTimeout, SendOnce: true})
	return &peer{id: id, address: address, http: client,
		rpc: peerv1connect.NewCoordinatorServiceClient(client, "http://"+address, connect.WithReadMaxBytes(MaxMessageBytes))}
}

func (c *Client) release(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.health.InFlight--
}

func (c *Client) refused(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.health.Refused(c.Clock.Now())
}

// failed records that a coordinator did not reply. Its connection is replaced: a connection may go silent for good while
// new ones work.
func (c *Client) failed(p *peer, err error) {
	c.Logger.Warn("coordinator_failed", "peer", p.id, "err", err)
	c.mu.Lock()
	if c.peers[p.id] == p {
		next := c.newPeer(p.id, p.address)
		next.health.Failed(c.Clock.Now())
		c.peers[p.id] = next
	}
	c.mu.Unlock()
	p.http.CloseIdleConnections()
	c.Failures.ReportFailure(p.id)
}

// Available implements forward.Relays.
func (c *Client) Available(zone ident.Zone) bool {
	roles := c.Roles()
	c.mu.Lock()
	defer c.mu.Unlock()
	return coordinator.Choose(c.candidates(roles.Remote[zone]), c.Clock.Now(), 0) >= 0
}

// SendAll implements forward.Relays.
func (c *Client) SendAll(ctx context.Context, zone ident.Zone, r *forward.Relay, deliver func(*forward.RelayBatch)) error {
	roles := c.Roles()
	p := c.choose(roles.Remote[zone])
	if p == nil {
		return fmt.Errorf("%w: no VM of zone %s relays", leafconn.ErrNotSent, zone)
	}
	defer c.release(p)
	var maybeSent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) }})
	err := receiveAll(traced, p, r, deliver)
	if err != nil && ctx.Err() == nil {
		c.failed(p, err)
	}
	if err != nil && !maybeSent.Load() {
		return fmt.Errorf("%w: %w", leafconn.ErrNotSent, err)
	}
	return err
}

func receiveAll(ctx context.Context, p *peer, r *forward.Relay, deliver func(*forward.RelayBatch)) error {
	stream, err := p.rpc.SendAll(ctx, connect.NewRequest(relayToMessage(r, time.Now())))
	if err != nil {
		return fmt.Errorf("call relay %s: %w", p.id, err)
	}
	for stream.Receive() {
		deliver(batchFromMessage(stream.Msg()))
	}
	if err := errors.Join(stream.Err(), stream.Close()); err != nil {
		return fmt.Errorf("receive from relay %s: %w", p.id, err)
	}
	return nil
}

// OtherZoneContact asks a coordinator of this VM's zone when it last had contact with another zone. ok is false if there
// is none that replies, or if it had no contact.
func (c *Client) OtherZoneContact(ctx context.Context) (at time.Time, ok bool) {
	roles := c.Roles()
	if roles.Self {
		return time.Time{}, false
	}
	p := c.choose(roles.Local)
	if p == nil {
		return time.Time{}, false
	}
	defer c.release(p)
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	asked := time.Now()
	resp, err := p.rpc.Available(ctx, connect.NewRequest(&peerv1.AvailableRequest{}))
	if err != nil {
		c.failed(p, err)
		return time.Time{}, false
	}
	age := resp.Msg.GetOtherZoneAgeUs()
	return asked.Add(-microseconds(age)), age >= 0
}

// search has the coordinator run a search. It returns forward.ErrNotStarted only if no target can have the search.
func (c *Client) search(ctx context.Context, p *peer, s *forward.Search) (*forward.SearchReply, error) {
	ctx, cancel := context.WithDeadline(ctx, s.Request.Deadline.Add(deadlineGrace))
	defer cancel()
	var maybeSent, lost atomic.Bool
	stopChecks := c.checkWhenDue(ctx, p, s, func() {
		lost.Store(true)
		cancel()
	})
	defer stopChecks()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) }})
	resp, err := p.rpc.Search(traced, connect.NewRequest(searchToMessage(s, time.Now())))
	switch {
	case err != nil && !maybeSent.Load():
		return nil, fmt.Errorf("%w: %w", forward.ErrNotStarted, err)
	case lost.Load():
		return nil, fmt.Errorf("%w: %s", errLost, p.id)
	case err != nil:
		return nil, fmt.Errorf("call coordinator %s: %w", p.id, err)
	case resp.Msg.GetNotStarted() != "":
		c.refused(p)
		return nil, fmt.Errorf("%w: coordinator %s: %s", forward.ErrNotStarted, p.id, resp.Msg.GetNotStarted())
	}
	return replyFromMessage(resp.Msg, p.id), nil
}

// checkWhenDue checks, once the response of a search is due, whether its coordinator still replies, and calls lost if it
// does not. The returned function ends the checks.
func (c *Client) checkWhenDue(ctx context.Context, p *peer, s *forward.Search, lost func()) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	failed := 0
	var check func()
	var timer atomic.Pointer[time.Timer]
	check = func() {
		callCtx, cancelCall := context.WithTimeout(ctx, checkTimeout)
		defer cancelCall()
		if _, err := p.rpc.Available(callCtx, connect.NewRequest(&peerv1.AvailableRequest{ConfigVersion: s.Version})); err == nil {
			failed = 0
		} else if failed++; failed >= maxFailedChecks && ctx.Err() == nil {
			lost()
			return
		}
		if ctx.Err() == nil {
			timer.Store(time.AfterFunc(checkInterval, check))
		}
	}
	timer.Store(time.AfterFunc(time.Until(s.AnswerBy)+checkInterval/2, check))
	return func() {
		cancel()
		timer.Load().Stop()
	}
}
