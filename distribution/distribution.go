// Package distribution brings signed bundles to every VM: a few watchers in each availability zone read the platform,
// and the others learn from peers. Whatever arrives is offered to the config store, which alone decides; a peer need
// not be trusted.
package distribution

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"

	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/membership"
)

// Transport carries the calls to one peer.
type Transport interface {
	Fetch(ctx context.Context, to membership.Member, req *peerv1.FetchRequest) (*peerv1.FetchResponse, error)
	Push(ctx context.Context, to membership.Member, req *peerv1.PushRequest) (*peerv1.PushResponse, error)
}

// Platform is the published bundle. Bundle waits up to wait for a version above after and returns nil if there is
// none.
type Platform interface {
	Bundle(ctx context.Context, after uint64, wait time.Duration) ([]byte, error)
}

// Options are the parts a Distributor works with.
type Options struct {
	Clock     clockwork.Clock
	Store     *config.Store
	Viewer    membership.Viewer
	Transport Transport
	Platform  Platform
	// PeerGrace is how long a starting VM looks for peers before it takes the platform's bundle.
	PeerGrace time.Duration
	// Logger may be nil.
	Logger *log.Logger
	// Seed makes the choice of peers and the jitter repeatable; 0 takes a random seed.
	Seed uint64
}

// Distributor spreads bundles for one VM.
type Distributor struct {
	Options

	stats   Stats
	history history
	encoded encodedCache

	// intake serialises decoding and verification, so that several peers that push one version cost one verification.
	intake sync.Mutex
	// accepted and wanted each hold one signal: a newer bundle to forward, a peer to fetch from.
	accepted chan struct{}
	wanted   chan struct{}
	wants    wants

	// heard is set once a peer that has a bundle was heard of.
	heard atomic.Bool
	// started is set when the start-up phase is over.
	started atomic.Bool

	randMu sync.Mutex
	rand   *rand.Rand
}

// New returns a distributor that does nothing until Run; it answers peers at once.
func New(o Options) *Distributor {
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Distributor{Options: o, accepted: make(chan struct{}, 1), wanted: make(chan struct{}, 1),
		rand: rand.New(rand.NewPCG(seed, seed))}
}

// Run spreads bundles until the context ends.
func (d *Distributor) Run(ctx context.Context) {
	var parts sync.WaitGroup
	for _, part := range []func(context.Context){d.forwardLoop, d.fetchLoop, d.startThenWatch} {
		parts.Go(func() { part(ctx) })
	}
	parts.Wait()
}

func (d *Distributor) startThenWatch(ctx context.Context) {
	d.start(ctx)
	var parts sync.WaitGroup
	parts.Go(func() { d.compareLoop(ctx) })
	parts.Go(func() { d.watchLoop(ctx) })
	parts.Wait()
}

// Ready reports whether this VM may serve: it has a bundle, and either a peer was asked for a newer one or PeerGrace
// has passed.
func (d *Distributor) Ready() bool { return d.started.Load() && d.Store.Current() != nil }

// Version returns version and digest of the bundle in force, for gossip; 0 and nil if there is none.
func (d *Distributor) Version() (version uint64, digest []byte) {
	cur := d.Store.Current()
	if cur == nil {
		return 0, nil
	}
	return cur.Bundle.Version, cur.Digest[:]
}

// Offer takes a bundle that was obtained in another way than by this package.
func (d *Distributor) Offer(raw []byte) config.Decision {
	d.intake.Lock()
	defer d.intake.Unlock()
	decision := d.take(raw, "local", nil, d.Store.Offer)
	if decision.Verdict == config.Accepted {
		signal(d.accepted)
	}
	return decision
}

// take offers a bundle and, if it is accepted, prepares its forwarding; the caller signals it. The caller holds intake. The payload is the
// form in which a peer sent it, or nil; it is forwarded as it is, so that a delta is encoded once in the fleet.
func (d *Distributor) take(raw []byte, from string, payload *peerv1.BundlePayload, offer func([]byte) config.Decision) config.Decision {
	decision := offer(raw)
	d.logDecision(decision, from)
	if decision.Verdict != config.Accepted {
		return decision
	}
	d.history.add(decision.InForce.Verified)
	d.encoded.reset(decision.InForce.Verified, payload)
	return decision
}

func (d *Distributor) logDecision(decision config.Decision, from string) {
	fields := []any{"from", from, "verdict", decision.Verdict, "reason", decision.Reason}
	if force := decision.InForce; force != nil {
		fields = append(fields, "version", force.Bundle.Version, "digest", force.Digest.Short(),
			"author", force.Bundle.Author, "signers", force.Signers, "unconfirmed", force.Unconfirmed)
	}
	switch decision.Verdict {
	case config.Accepted, config.Same, config.Older:
		d.Logger.Info("bundle_offered", fields...)
	case config.Conflict:
		d.stats.Conflicts.Add(1)
		d.Logger.Error("config_conflict", fields...)
	default:
		d.stats.Refused.Add(1)
		d.Logger.Error("bundle_offered", fields...)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits on the distributor's clock.
func (d *Distributor) sleep(ctx context.Context, delay time.Duration) {
	timer := d.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// jitter returns a duration from half of the given one up to all of it, so that VMs that fail together do not return
// together.
func (d *Distributor) jitter(delay time.Duration) time.Duration {
	d.randMu.Lock()
	defer d.randMu.Unlock()
	half := delay / 2
	return half + time.Duration(d.rand.Int64N(int64(delay-half)+1))
}

func (d *Distributor) shuffle(list []membership.Member) {
	d.randMu.Lock()
	defer d.randMu.Unlock()
	d.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
