// Package distribution delivers signed configuration bundles to every VM. A few VMs in each availability zone, the
// watchers, read them from the platform; the others get them from peers. Each bundle received is offered to the config
// store, which verifies it and decides whether to accept it, so peers need not be trusted.
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

// Transport sends calls to a peer.
type Transport interface {
	Fetch(ctx context.Context, to membership.Member, req *peerv1.FetchRequest) (*peerv1.FetchResponse, error)
	Push(ctx context.Context, to membership.Member, req *peerv1.PushRequest) (*peerv1.PushResponse, error)
}

// Platform provides the published bundle. Bundle is a long poll: it waits for a bundle with a version higher than
// after, at most for the duration wait. If none is published in that time, it returns a nil slice and no error.
type Platform interface {
	Bundle(ctx context.Context, after uint64, wait time.Duration) ([]byte, error)
}

// Options configures a Distributor.
type Options struct {
	Clock     clockwork.Clock
	Store     *config.Store
	Viewer    membership.Viewer
	Transport Transport
	Platform  Platform
	// PeerGrace is how long a starting VM tries to get a bundle from peers before it reads the bundle from the
	// platform.
	PeerGrace time.Duration
	// Logger may be nil; then nothing is logged.
	Logger *log.Logger
	// Seed makes the choice of peers and the jitter reproducible; 0 means a random seed.
	Seed uint64
}

// Distributor fetches and forwards bundles on behalf of one VM.
type Distributor struct {
	Options

	stats   Stats
	history history
	encoded encodedCache

	// intakeMu serializes decoding and verification, so that a version pushed by several peers is verified once.
	intakeMu sync.Mutex
	// forwardSignal signals that there is a newly accepted bundle to forward, and fetchSignal that fetchQueue is not
	// empty. Each buffers one signal.
	forwardSignal chan struct{}
	fetchSignal   chan struct{}
	fetchQueue    peerQueue

	// peerHasBundle is set once a peer is known to have a bundle. If the peer's bundle is newer than the one in force,
	// or conflicts with it, the flag is set only once this VM has received that bundle.
	peerHasBundle atomic.Bool
	// started is set when the startup phase is over.
	started atomic.Bool

	randMu sync.Mutex
	rand   *rand.Rand
}

// New returns a distributor. It answers calls of peers at once, but sends nothing until Run is called.
func New(o Options) *Distributor {
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	seed := o.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &Distributor{Options: o, forwardSignal: make(chan struct{}, 1), fetchSignal: make(chan struct{}, 1),
		rand: rand.New(rand.NewPCG(seed, seed))}
}

// Run fetches and forwards bundles until the context ends.
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
	parts.Go(func() { d.antiEntropyLoop(ctx) })
	parts.Go(func() { d.watchLoop(ctx) })
	parts.Wait()
}

// Ready reports whether this VM may serve: it has a bundle, and the startup phase, in which peers are asked for one
// until PeerGrace has passed, is over.
func (d *Distributor) Ready() bool { return d.started.Load() && d.Store.Current() != nil }

// Version returns the version and digest of the bundle in force, for gossip. If no bundle is in force, it returns 0 and
// nil.
func (d *Distributor) Version() (version uint64, digest []byte) {
	cur := d.Store.Current()
	if cur == nil {
		return 0, nil
	}
	return cur.Bundle.Version, cur.Digest[:]
}

// Offer offers a signed bundle that comes neither from a peer nor from the platform to the store, and forwards it to
// peers if it is accepted.
func (d *Distributor) Offer(raw []byte) config.Decision {
	d.intakeMu.Lock()
	defer d.intakeMu.Unlock()
	decision := d.offerLocked(raw, "local", nil, d.Store.Offer)
	if decision.Verdict == config.Accepted {
		signal(d.forwardSignal)
	}
	return decision
}

// offerLocked offers a bundle with the offer function and, if it is accepted, adds it to the history and the encoding
// cache. The caller holds intakeMu and signals forwardSignal. The payload is the encoding in which a peer sent the
// bundle; it is reused for forwarding, so that a delta is encoded only once in the fleet. It is nil if the bundle does
// not come from a peer.
func (d *Distributor) offerLocked(raw []byte, from string, payload *peerv1.BundlePayload, offer func([]byte) config.Decision) config.Decision {
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
	if inForce := decision.InForce; inForce != nil {
		fields = append(fields, "version", inForce.Bundle.Version, "digest", inForce.Digest.Short(),
			"author", inForce.Bundle.Author, "signers", inForce.Signers, "unconfirmed", inForce.Unconfirmed)
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

// signal sends on a channel that buffers one signal; it does nothing if one is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for the delay on the distributor's clock, or until the context ends.
func (d *Distributor) sleep(ctx context.Context, delay time.Duration) {
	timer := d.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// jitter returns a random duration between half the delay and the whole delay, so that VMs that failed at the same time
// do not retry at the same time.
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
