package feed

import (
	"context"
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
	// catchUpDelay is how long a VM that hears of something newer waits for its own source before it asks the peer:
	// usually both learn of it at the same moment.
	catchUpDelay = 350 * time.Millisecond
	// startPoll is how often a VM that knows nothing asks a peer.
	startPoll = 300 * time.Millisecond
	// maxPeerAnswer holds a whole copy with a configuration of 1 MB.
	maxPeerAnswer = 16 << 20
)

// Peers passes changes between the mirrors of VMs. It takes part in the probes of the failure detector: each carries
// the newest revision that its sender knows.
type Peers struct {
	mirror *Mirror
	http   *http.Client
	logger *log.Logger
	pulls  atomic.Uint64
	// ahead holds the last peer that knew more; pulling is set while it is asked.
	mu      sync.Mutex
	pulling bool
	closed  bool
}

// NewPeers returns the exchange for a mirror.
func NewPeers(mirror *Mirror, client *http.Client, logger *log.Logger) *Peers {
	return &Peers{mirror: mirror, http: client, logger: logger}
}

// Pulls returns how often a peer was asked.
func (p *Peers) Pulls() uint64 { return p.pulls.Load() }

// Version implements membership.ConfigGossip; the version is the newest revision of a record.
func (p *Peers) Version() (uint64, []byte) { return p.mirror.Newest(), nil }

// PeerHas implements membership.ConfigGossip: a peer that stays ahead of this VM's own source is asked for what it
// knows.
func (p *Peers) PeerHas(m membership.Member, version uint64, _ []byte) {
	if version <= p.mirror.Newest() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulling || p.closed {
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

// Pull asks the peer at an address for what changed.
func (p *Peers) Pull(ctx context.Context, address string) {
	p.pulls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := peerv1connect.NewFeedServiceClient(p.http, "http://"+address, connect.WithReadMaxBytes(maxPeerAnswer))
	after := p.mirror.Revision()
	resp, err := client.Changes(ctx, connect.NewRequest(&peerv1.ChangesRequest{After: after}))
	if err != nil {
		p.logger.Warn("peer_pull", "peer", address, "after", after, "err", err)
		return
	}
	b := Batch{Revision: resp.Msg.GetRevision(), Whole: resp.Msg.GetWhole()}
	for _, r := range resp.Msg.GetRecords() {
		b.Records = append(b.Records, Record{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Deleted: r.GetDeleted()})
	}
	if b.Revision <= after {
		return
	}
	changed := p.mirror.Apply(b)
	p.logger.Info("peer_pull", "peer", address, "after", after, "revision", b.Revision, "changed", changed, "whole", b.Whole)
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

// Changes answers a peer.
func (p *Peers) Changes(_ context.Context, req *connect.Request[peerv1.ChangesRequest]) (*connect.Response[peerv1.ChangesResponse], error) {
	b := p.mirror.Changes(req.Msg.GetAfter())
	resp := &peerv1.ChangesResponse{Revision: b.Revision, Whole: b.Whole}
	for _, r := range b.Records {
		resp.Records = append(resp.Records, &peerv1.PublishedRecord{Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted})
	}
	return connect.NewResponse(resp), nil
}
