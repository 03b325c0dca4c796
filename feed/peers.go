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
	// peerTimeout bounds a call that carries little.
	peerTimeout = 800 * time.Millisecond
	// byteTime is how much longer a call may take for each byte of the values that it carries: a small VM has a link of 20
	// Mbit/s and sends to several peers at once.
	byteTime = 2 * time.Microsecond
	// firstPullBytes is the size assumed of a copy for a VM that has none.
	firstPullBytes = 1 << 20
	// catchUpDelay is how long a VM that learns of a newer revision from a probe waits for the usual push before it
	// pulls.
	catchUpDelay = 250 * time.Millisecond
	// bootstrapInterval is how often a VM with an empty mirror pulls from a peer.
	bootstrapInterval = 300 * time.Millisecond
	// maxPeerResponseBytes is enough for a full copy with a configuration of 1 MB.
	maxPeerResponseBytes = 16 << 20
)

// Peers exchanges changes between the mirrors of VMs. It implements membership.ConfigGossip: each probe carries the
// highest record revision of its sender, and the time since the source last replied to any VM, as far as is known there.
type Peers struct {
	mirror *Mirror
	http   *http.Client
	logger *log.Logger
	// self is this VM's peer address.
	self string
	// children returns the peer addresses to which this VM pushes changes.
	children func() []string
	// lastContact returns when the source last replied to this VM, or the zero time if it never did.
	lastContact func() time.Time

	// pulls and pushes count calls to peers.
	pulls, pushes atomic.Uint64

	mu sync.Mutex
	// pulling reports that a pull that a probe caused is scheduled or in flight.
	pulling bool
	// lastPeerContact is when the source last replied to another VM, as far as probes and pushes have shown.
	lastPeerContact time.Time
}

// PeersOptions configures Peers.
type PeersOptions struct {
	Mirror *Mirror
	HTTP   *http.Client
	Logger *log.Logger
	// Self is this VM's peer address.
	Self string
	// Children returns the peer addresses to which this VM pushes changes.
	Children func() []string
	// LastContact returns when the source last replied to this VM, or the zero time if it never did.
	LastContact func() time.Time
}

// NewPeers returns the Peers of one VM's mirror.
func NewPeers(o PeersOptions) *Peers {
	return &Peers{mirror: o.Mirror, http: o.HTTP, logger: o.Logger, self: o.Self, children: o.Children, lastContact: o.LastContact}
}

// Pulls returns the number of calls that requested changes from a peer.
func (p *Peers) Pulls() uint64 { return p.pulls.Load() }

// Pushes returns the number of calls that pushed changes to a peer.
func (p *Peers) Pushes() uint64 { return p.pushes.Load() }

// LastSourceContact returns when the source last replied to another VM, as far as probes and pushes have shown. It
// returns the zero time if they have shown no reply.
func (p *Peers) LastSourceContact() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastPeerContact
}

// recordPeerContact records that the source replied to another VM at the given time.
func (p *Peers) recordPeerContact(contact time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if contact.After(p.lastPeerContact) {
		p.lastPeerContact = contact
	}
}

// Version implements membership.ConfigGossip. The version is the highest revision of a record. The digest is the time
// since the source last replied to any VM, in milliseconds as a big-endian uint64, or nil if no reply is known.
func (p *Peers) Version() (uint64, []byte) {
	lastSeen := p.lastContact()
	if peerContact := p.LastSourceContact(); peerContact.After(lastSeen) {
		lastSeen = peerContact
	}
	if lastSeen.IsZero() {
		return p.mirror.RequiredRevision(), nil
	}
	return p.mirror.RequiredRevision(), binary.BigEndian.AppendUint64(nil, uint64(max(0, time.Since(lastSeen).Milliseconds())))
}

// ObservePeerVersion implements membership.ConfigGossip. If the peer has a record that is newer than the revision up to
// which this VM's mirror is complete, and still is after catchUpDelay, this VM pulls from the peer. A VM with an empty
// mirror pulls at once.
func (p *Peers) ObservePeerVersion(m membership.Member, version uint64, age []byte) {
	if len(age) == 8 {
		p.recordPeerContact(time.Now().Add(-time.Duration(binary.BigEndian.Uint64(age)) * time.Millisecond))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= p.mirror.Revision() || p.pulling {
		return
	}
	p.pulling = true
	delay := catchUpDelay
	if p.mirror.Revision() == 0 {
		delay = 0
	}
	time.AfterFunc(delay, func() {
		defer p.pullDone()
		if version > p.mirror.Revision() {
			p.Pull(context.Background(), m.Address)
		}
	})
}

func (p *Peers) pullDone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulling = false
}

func (p *Peers) client(address string) peerv1connect.FeedServiceClient {
	return peerv1connect.NewFeedServiceClient(p.http, "http://"+address, connect.WithReadMaxBytes(maxPeerResponseBytes))
}

// Pull requests changes from the peer at an address, applies them and, unless the reply is a full copy, pushes them on.
func (p *Peers) Pull(ctx context.Context, address string) {
	p.pulls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, p.pullTimeout())
	defer cancel()
	after := p.mirror.Revision()
	resp, err := p.client(address).Changes(ctx, connect.NewRequest(&peerv1.ChangesRequest{After: after}))
	if err != nil {
		p.logger.Warn("peer_pull", "peer", address, "after", after, "err", err)
		return
	}
	b := Batch{Records: fromWire(resp.Msg.GetRecords()), Revision: resp.Msg.GetRevision(), Full: resp.Msg.GetWhole()}
	if b.Revision <= after {
		return
	}
	before := p.mirror.RequiredRevision()
	changed := p.mirror.Apply(b)
	p.logger.Info("peer_pull", "peer", address, "after", after, "revision", b.Revision, "changed", changed, "whole", b.Full)
	if changed > 0 && !b.Full {
		p.Push(before, b)
	}
}

// callTimeout returns the time that a call with values of so many bytes may take.
func callTimeout(valueBytes int) time.Duration {
	return peerTimeout + time.Duration(valueBytes)*byteTime
}

// pullTimeout returns the time that a pull may take, which may return a full copy.
func (p *Peers) pullTimeout() time.Duration {
	if p.mirror.Revision() == 0 {
		return callTimeout(firstPullBytes)
	}
	return callTimeout(p.mirror.ValueBytes())
}

// Push pushes a batch to the children of this VM without waiting for them. before is the value of Mirror.RequiredRevision
// before the batch was applied.
func (p *Peers) Push(before uint64, b Batch) {
	msg := &peerv1.TellRequest{After: before, Records: toWire(b.Records), Revision: b.Revision, From: p.self}
	timeout := callTimeout(b.valueBytes())
	for _, address := range p.children() {
		p.pushes.Add(1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			if _, err := p.client(address).Tell(ctx, connect.NewRequest(&peerv1.TellRequest{After: msg.After, Records: msg.Records,
				Revision: msg.Revision, From: msg.From})); err != nil {
				p.logger.Warn("peer_tell", "peer", address, "revision", b.Revision, "err", err)
			}
		}()
	}
}

// Bootstrap pulls from peers until the mirror is no longer empty or the context ends. next returns the address of a
// peer, or an empty string if there is none.
func (p *Peers) Bootstrap(ctx context.Context, next func() string) {
	for p.mirror.Revision() == 0 && ctx.Err() == nil {
		if address := next(); address != "" {
			p.Pull(ctx, address)
		}
		sleep(ctx, bootstrapInterval)
	}
}

// Server handles peers' calls of the FeedService.
type Server struct{ Peers *Peers }

// Changes returns the changes of this VM's mirror after the requested revision.
func (s Server) Changes(_ context.Context, req *connect.Request[peerv1.ChangesRequest]) (*connect.Response[peerv1.ChangesResponse], error) {
	b := s.Peers.mirror.Changes(req.Msg.GetAfter())
	return connect.NewResponse(&peerv1.ChangesResponse{Records: toWire(b.Records), Revision: b.Revision, Whole: b.Full}), nil
}

// Tell applies changes that a peer pushes, and pushes them on. If changes before them are missing here, this VM pulls
// from the sender instead. A push without records only shows that the source still replies.
func (s Server) Tell(_ context.Context, req *connect.Request[peerv1.TellRequest]) (*connect.Response[peerv1.TellResponse], error) {
	p, msg := s.Peers, req.Msg
	p.recordPeerContact(time.Now())
	if p.mirror.Revision() < msg.GetAfter() {
		go p.Pull(context.Background(), msg.GetFrom())
		return connect.NewResponse(&peerv1.TellResponse{}), nil
	}
	before := p.mirror.RequiredRevision()
	b := Batch{Records: fromWire(msg.GetRecords()), Revision: msg.GetRevision()}
	if p.mirror.Apply(b) > 0 || len(b.Records) == 0 {
		p.Push(before, b)
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
