package feed

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/membership"
)

// Timing of calls to peers.
const (
	peerTimeout = 800 * time.Millisecond
	// catchUpDelay is how long a VM that hears of something newer waits for the ordinary way before it asks the peer.
	catchUpDelay = 250 * time.Millisecond
	// startPoll is how often a VM that knows nothing asks a peer.
	startPoll = 300 * time.Millisecond
	// maxPeerAnswer holds a whole copy with a configuration of 1 MB.
	maxPeerAnswer = 16 << 20
)

// Peers passes changes between the mirrors of VMs. It takes part in the probes of the failure detector: each carries
// the newest revision that its sender knows, and how long ago any VM that it heard of was in touch with the source.
type Peers struct {
	mirror *Mirror
	http   *http.Client
	logger *log.Logger
	// self is this VM's peer address.
	self string
	// children returns the peer addresses to which this VM passes changes on.
	children func() []string
	// contact returns when this VM's source last answered.
	contact func() time.Time

	pulls, tells atomic.Uint64

	mu      sync.Mutex
	pulling bool
	// heard is when another VM was last in touch with the source, as far as this VM heard.
	heard time.Time
}

// PeersOptions are the parts of an exchange.
type PeersOptions struct {
	Mirror   *Mirror
	HTTP     *http.Client
	Logger   *log.Logger
	Self     string
	Children func() []string
	Contact  func() time.Time
}

// NewPeers returns the exchange for a mirror.
func NewPeers(o PeersOptions) *Peers {
	return &Peers{mirror: o.Mirror, http: o.HTTP, logger: o.Logger, self: o.Self, children: o.Children, contact: o.Contact}
}

// Pulls returns how often a peer was asked, and Tells how often one was told.
func (p *Peers) Pulls() uint64 { return p.pulls.Load() }

// Tells returns how often a peer was told of changes.
func (p *Peers) Tells() uint64 { return p.tells.Load() }

// Heard returns when another VM was last in touch with the source.
func (p *Peers) Heard() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard
}

func (p *Peers) hear(contact time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if contact.After(p.heard) {
		p.heard = contact
	}
}

// Version implements membership.ConfigGossip: the newest revision of a record, and the age of the newest contact with
// the source in milliseconds.
func (p *Peers) Version() (uint64, []byte) {
	seen := p.contact()
	if heard := p.Heard(); heard.After(seen) {
		seen = heard
	}
	if seen.IsZero() {
		return p.mirror.Newest(), nil
	}
	return p.mirror.Newest(), binary.BigEndian.AppendUint64(nil, uint64(max(0, time.Since(seen).Milliseconds())))
}

// PeerHas implements membership.ConfigGossip: a peer that stays ahead of this VM is asked for what it knows.
func (p *Peers) PeerHas(m membership.Member, version uint64, age []byte) {
	if len(age) == 8 {
		p.hear(time.Now().Add(-time.Duration(binary.BigEndian.Uint64(age)) * time.Millisecond))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.mirror.Newest() || p.pulling {
		return
	}
	p.pulling = true
	delay := catchUpDelay
	if p.mirror.Revision() == 0 {
		delay = 0
	}
	time.AfterFunc(delay, func() {
		defer p.ended()
		if version > p.mirror.Newest() {
			p.Pull(context.Background(), m.Address)
		}
	})
}

func (p *Peers) ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulling = false
}

func (p *Peers) client(address string) peerv1connect.FeedServiceClient {
	return peerv1connect.NewFeedServiceClient(p.http, "http://"+address, connect.WithReadMaxBytes(maxPeerAnswer))
}

// Pull asks the peer at an address for what changed.
func (p *Peers) Pull(ctx context.Context, address string) {
	p.pulls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	after := p.mirror.Revision()
	resp, err := p.client(address).Changes(ctx, connect.NewRequest(&peerv1.ChangesRequest{After: after}))
	if err != nil {
		p.logger.Warn("peer_pull", "peer", address, "after", after, "err", err)
		return
	}
	b := Batch{Records: fromWire(resp.Msg.GetRecords()), Revision: resp.Msg.GetRevision(), Whole: resp.Msg.GetWhole()}
	if b.Revision <= after {
		return
	}
	before := p.mirror.Newest()
	changed := p.mirror.Apply(b)
	p.logger.Info("peer_pull", "peer", address, "after", after, "revision", b.Revision, "changed", changed, "whole", b.Whole)
	if changed > 0 && !b.Whole {
		p.Tell(before, b)
	}
}

// Tell passes a batch on to the VMs that learn from this one.
func (p *Peers) Tell(before uint64, b Batch) {
	msg := &peerv1.TellRequest{After: before, Records: toWire(b.Records), Revision: b.Revision, From: p.self}
	for _, address := range p.children() {
		p.tells.Add(1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			if _, err := p.client(address).Tell(ctx, connect.NewRequest(&peerv1.TellRequest{After: msg.After, Records: msg.Records,
				Revision: msg.Revision, From: msg.From})); err != nil {
				p.logger.Warn("peer_tell", "peer", address, "revision", b.Revision, "err", err)
			}
		}()
	}
}

// Start asks peers until something is known or the context ends. next returns the address of a peer, or nothing.
func (p *Peers) Start(ctx context.Context, next func() string) {
	for p.mirror.Revision() == 0 && ctx.Err() == nil {
		if address := next(); address != "" {
			p.Pull(ctx, address)
		}
		pause(ctx, startPoll)
	}
}

// Server answers peers.
type Server struct{ Peers *Peers }

// Changes returns what this VM knows.
func (s Server) Changes(_ context.Context, req *connect.Request[peerv1.ChangesRequest]) (*connect.Response[peerv1.ChangesResponse], error) {
	b := s.Peers.mirror.Changes(req.Msg.GetAfter())
	return connect.NewResponse(&peerv1.ChangesResponse{Records: toWire(b.Records), Revision: b.Revision, Whole: b.Whole}), nil
}

// Tell takes changes. If changes before them are missing here, the sender is asked for all.
func (s Server) Tell(_ context.Context, req *connect.Request[peerv1.TellRequest]) (*connect.Response[peerv1.TellResponse], error) {
	p, msg := s.Peers, req.Msg
	p.hear(time.Now())
	before := p.mirror.Newest()
	if before < msg.GetAfter() {
		go p.Pull(context.Background(), msg.GetFrom())
		return connect.NewResponse(&peerv1.TellResponse{}), nil
	}
	b := Batch{Records: fromWire(msg.GetRecords()), Revision: msg.GetRevision()}
	if p.mirror.Apply(b) > 0 || len(b.Records) == 0 {
		p.Tell(before, b)
	}
	return connect.NewResponse(&peerv1.TellResponse{}), nil
}

func toWire(records []Record) []*peerv1.PublishedRecord {
	out := make([]*peerv1.PublishedRecord, len(records))
	for i, r := range records {
		out[i] = &peerv1.PublishedRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted}
	}
	return out
}

func fromWire(records []*peerv1.PublishedRecord) []Record {
	out := make([]Record, len(records))
	for i, r := range records {
		out[i] = Record{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Deleted: r.GetDeleted()}
	}
	return out
}
