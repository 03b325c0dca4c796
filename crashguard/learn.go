package crashguard

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

// Limits of Learn.
const (
	// learnFrom is how many peers are asked at a time.
	learnFrom = 3
	// learnInterval is the pause between two attempts.
	learnInterval = 50 * time.Millisecond
	// startedTogether is the greatest time between the starts of two VMs that may have been lost together, as far as their
	// clocks tell.
	startedTogether = 5 * time.Second
	// findPeersFor is how long a VM that has just started waits until it has found peers.
	findPeersFor = 600 * time.Millisecond
	// furtherReplies is how long the replies of the other peers are waited for after one has replied that has learned the
	// refusals of others.
	furtherReplies = 100 * time.Millisecond
	// learnFor is how long Learn takes at most.
	learnFor = 2 * time.Second
)

// Ready reports whether this VM has learned which requests its peers refuse. Until then it could let one through that crashes
// targets. It implements lifecycle.ReadyCheck.
func (c *Coordinator) Ready() bool { return c.learned.Load() }

// Learn takes over the refusals of peers, for a VM that has just started. It ends when a peer has returned those that it has
// learned itself, when a peer has replied and all known ones have started as recently as this VM, when no peer is found, or
// after learnFor. After a loss of all VMs it must not delay their return.
func (c *Coordinator) Learn(ctx context.Context) {
	defer c.learned.Store(true)
	began := time.Now()
	for time.Since(began) < learnFor {
		peers, older := c.teachers()
		if len(peers) == 0 && time.Since(began) >= findPeersFor {
			return
		}
		replied, learned := c.askAll(ctx, peers)
		if learned > 0 || replied > 0 && !older {
			c.logger.Info("refusals_learned", "peers", replied, "learned", learned, "refusals", len(c.table.Refusals(time.Now())))
			return
		}
		select {
		case <-time.After(learnInterval):
		case <-ctx.Done():
			return
		}
	}
	c.logger.Warn("refusals_not_learned", "after", time.Since(began))
}

// teachers returns learnFrom usable peers at most, drawn from those that started well before this VM, or from all if there are
// none; older reports that there are some. They are drawn at random so that the VMs of a fleet that starts together do not all ask the same ones.
func (c *Coordinator) teachers() (teachers []membership.Member, older bool) {
	view := c.viewer.View()
	if view == nil {
		return nil, false
	}
	peers := slices.DeleteFunc(slices.Clone(view.UsableIn("")), func(m membership.Member) bool { return m.ID == view.Self.ID })
	before := slices.DeleteFunc(slices.Clone(peers), func(m membership.Member) bool {
		return view.Self.Incarnation.Started.Sub(m.Incarnation.Started) < startedTogether
	})
	if older = len(before) > 0; older {
		peers = before
	}
	rand.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	return peers[:min(len(peers), learnFrom)], older
}

// askAll takes over the refusals of peers, and returns how many of them replied and how many of these have learned the refusals
// of others. Peers that do not reply delay it only while none of the others has learned them.
func (c *Coordinator) askAll(ctx context.Context, peers []membership.Member) (replied, learned int) {
	type reply struct {
		peer ident.VMID
		msg  *peerv1.RefusalsResponse
		err  error
	}
	replies := make(chan reply, len(peers))
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, m := range peers {
		go func() {
			resp, err := c.client(m.Address).Refusals(ctx, connect.NewRequest(&peerv1.RefusalsRequest{}))
			if err != nil {
				replies <- reply{m.ID, nil, err}
				return
			}
			replies <- reply{m.ID, resp.Msg, nil}
		}()
	}
	for range peers {
		r := <-replies
		if ctx.Err() != nil && r.err != nil {
			continue
		}
		if r.err != nil {
			c.logger.Warn("refusals_call", "peer", r.peer, "err", r.err)
			continue
		}
		replied++
		if r.msg.GetLearned() {
			learned++
			time.AfterFunc(furtherReplies, cancel)
		}
		for _, f := range r.msg.GetFingerprints() {
			c.table.Refuse(Fingerprint(f.GetFingerprint()), time.Duration(f.GetRemainingMs())*time.Millisecond, time.Now())
		}
	}
	return replied, learned
}
