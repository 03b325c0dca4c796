package feed_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/feed"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/gen/teaselbank/peer/v1/peerv1connect"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
)

func discardLogger() *log.Logger { return log.New(io.Discard) }

// Guards against a mirror that goes back to an older state when delayed batches, full copies and peers' replies arrive
// in any order, and against a mirror that differs from the source at the end.
func TestMirrorNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := newHistory()
		var last uint64
		m := feed.NewMirror(func(revision uint64, changed []feed.Record) {
			require.GreaterOrEqual(t, revision, last)
			last = revision
		})
		newestSeen := map[string]uint64{}
		other := feed.NewMirror(func(uint64, []feed.Record) {})
		var delayed []feed.Batch
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				source.write(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.Bool().Draw(t, "delete"))
			case 2:
				m.Apply(source.since(m.Revision()))
			case 3:
				delayed = append(delayed, source.full(), source.since(m.Revision()))
			case 4:
				if len(delayed) > 0 {
					m.Apply(delayed[0])
					delayed = delayed[1:]
				}
			case 5:
				other.Apply(source.since(other.Revision()))
				m.Apply(other.Changes(m.Revision()))
			}
			for _, r := range m.Changes(0).Records {
				require.GreaterOrEqual(t, r.Revision, newestSeen[r.Key])
				newestSeen[r.Key] = r.Revision
			}
		}
		m.Apply(source.since(m.Revision()))
		require.Equal(t, source.keys(), keysOf(m.Changes(0)))
	})
}

// history is the log of all changes of a source.
type history struct {
	rev uint64
	log []feed.Record
	// valueBytes is the size of new values; 0 stands for that of the revision's number.
	valueBytes int
}

func newHistory() *history { return &history{rev: 1} }

func (h *history) write(key string, deleted bool) {
	h.rev++
	r := feed.Record{Key: key, Revision: h.rev, Deleted: deleted}
	if !deleted {
		r.Value = []byte(strconv.FormatUint(h.rev, 10))
		for random := rand.New(rand.NewPCG(h.rev, 0)); len(r.Value) < h.valueBytes; {
			r.Value = binary.BigEndian.AppendUint64(r.Value, random.Uint64()) // can't be compressed
		}
	}
	h.log = append(h.log, r)
}

func (h *history) since(after uint64) feed.Batch {
	if after == 0 {
		return h.full()
	}
	b := feed.Batch{Revision: h.rev}
	for _, r := range h.log {
		if r.Revision > after {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

func (h *history) full() feed.Batch {
	newest := map[string]feed.Record{}
	for _, r := range h.log {
		newest[r.Key] = r
	}
	b := feed.Batch{Revision: h.rev, Full: true}
	for _, r := range newest {
		if !r.Deleted {
			b.Records = append(b.Records, r)
		}
	}
	return b
}

func (h *history) keys() map[string]string { return keysOf(h.full()) }

func keysOf(b feed.Batch) map[string]string {
	keys := map[string]string{}
	for _, r := range b.Records {
		if !r.Deleted {
			keys[r.Key] = string(r.Value)
		}
	}
	return keys
}

// Guards against a peer that misses deletions because it lags so far behind that the mirror no longer keeps them. Such
// a peer must get a full copy.
func TestMirrorReturnsFullCopyBeyondTombstones(t *testing.T) {
	source := newHistory()
	m := feed.NewMirror(func(uint64, []feed.Record) {})
	source.write("kept", false)
	m.Apply(source.full())
	lagging := m.Revision()
	for i := range 3000 {
		source.write("k"+strconv.Itoa(i), false)
		source.write("k"+strconv.Itoa(i), true)
		m.Apply(source.since(m.Revision()))
	}
	b := m.Changes(lagging)
	require.True(t, b.Full)
	require.Equal(t, source.keys(), keysOf(b))
}

// scriptedSource is a source whose replies are set by the test.
type scriptedSource struct {
	mu    sync.Mutex
	loads int
	next  chan func() (feed.Batch, error)
	full  func() (feed.Batch, error)
}

func (s *scriptedSource) Load(context.Context) (feed.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	return s.full()
}

func (s *scriptedSource) Changes(ctx context.Context, _ uint64, _ time.Duration) (feed.Batch, error) {
	select {
	case f := <-s.next:
		return f()
	case <-ctx.Done():
		return feed.Batch{}, ctx.Err()
	}
}

// Guards against a follower that stops, or misses changes, when the history is gone or a call fails.
func TestFollowerReloads(t *testing.T) {
	h := newHistory()
	h.write("a", false)
	source := &scriptedSource{next: make(chan func() (feed.Batch, error), 8)}
	source.full = func() (feed.Batch, error) { return h.full(), nil }
	m := feed.NewMirror(func(uint64, []feed.Record) {})
	f := feed.NewFollower(source, m, discardLogger(), func() bool { return true }, func(uint64, feed.Batch) {})
	source.next <- func() (feed.Batch, error) { return feed.Batch{}, errors.New("reset") }
	source.next <- func() (feed.Batch, error) {
		source.mu.Lock()
		defer source.mu.Unlock()
		h.write("b", false)
		h.write("a", true)
		return feed.Batch{}, feed.ErrHistoryGone
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.Run(ctx) })
	require.Eventually(t, func() bool {
		keys := keysOf(m.Changes(0))
		return len(keys) == 1 && keys["b"] != ""
	}, 20*time.Second, time.Millisecond)
	cancel()
	running.Wait()
	require.Equal(t, 2, source.loads)
	require.EqualValues(t, 2, f.Failures())
}

// peer is the mirror of one VM, served over HTTP.
type peer struct {
	mirror  *feed.Mirror
	peers   *feed.Peers
	address string
}

func newPeer(t *testing.T, children func() []string) *peer {
	p := &peer{mirror: feed.NewMirror(func(uint64, []feed.Record) {})}
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	p.address = server.Listener.Addr().String()
	p.peers = feed.NewPeers(feed.PeersOptions{Mirror: p.mirror, HTTP: server.Client(), Logger: discardLogger(), Self: p.address,
		Children: children, LastContact: func() time.Time { return time.Time{} }})
	mux.Handle(peerv1connect.NewFeedServiceHandler(feed.Server{Peers: p.peers}))
	return p
}

// Guards against a VM that gets no changes because the source refuses it: changes are pushed to it down the tree, and
// it pulls from a peer if a push shows a gap or a probe shows a newer revision.
func TestPeersPush(t *testing.T) {
	h := newHistory()
	leaf := newPeer(t, func() []string { return nil })
	middle := newPeer(t, func() []string { return []string{leaf.address} })
	root := newPeer(t, func() []string { return []string{middle.address} })
	push := func() {
		before, after := root.mirror.RequiredRevision(), root.mirror.Revision()
		b := h.since(max(1, after))
		root.mirror.Apply(b)
		root.peers.Push(before, b)
	}
	caughtUp := func(p *peer) func() bool {
		return func() bool { return p.mirror.RequiredRevision() == root.mirror.RequiredRevision() }
	}
	h.write("a", false)
	push()
	require.Eventually(t, caughtUp(leaf), 20*time.Second, time.Millisecond)
	h.write("b", false)
	root.mirror.Apply(h.since(root.mirror.Revision()))
	h.write("c", false)
	push()
	require.Eventually(t, caughtUp(leaf), 20*time.Second, time.Millisecond)
	require.Equal(t, h.keys(), keysOf(leaf.mirror.Changes(0)))
	h.write("d", false)
	root.mirror.Apply(h.since(root.mirror.Revision()))
	leaf.peers.ObservePeerVersion(membership.Member{ID: "root", Address: root.address}, root.mirror.RequiredRevision(), nil)
	require.Eventually(t, caughtUp(leaf), 20*time.Second, time.Millisecond)
}

// Guards against a zone without a VM that follows the source, and against all VMs of a zone following it at once if the bound
// on changes leaves time.
func TestFollowerRole(t *testing.T) {
	now := time.Unix(1000, 0)
	var members []membership.Member
	for i := range 12 {
		id := ident.VMID("vm-" + strconv.Itoa(i))
		members = append(members, membership.Member{ID: id, Zone: "a", Address: string(id), State: membership.Alive})
	}
	following, afterTakeover, pushed := 0, 0, map[string]int{}
	for _, self := range members {
		view := membership.NewView(self, members, 1, now)
		var r feed.FollowerRole
		if r.ShouldFollow(view, now, now) {
			following++
		}
		var silent feed.FollowerRole
		require.True(t, silent.ShouldFollow(view, now.Add(-6*time.Second), now), "every VM must follow the source if it has replied to no VM for 6 s")
		var inTime feed.FollowerRole
		require.True(t, inTime.ShouldFollow(view, now.Add(-2600*time.Millisecond), now), "every VM must follow the source before the default bound of 3 s has passed")
		takeover := feed.FollowerRole{ChangeBound: 6 * time.Second}
		if takeover.ShouldFollow(view, now.Add(-2400*time.Millisecond), now) {
			afterTakeover++
		}
		for _, address := range feed.Children(view) {
			pushed[address]++
		}
	}
	require.Equal(t, 1, following)
	require.Equal(t, 2, afterTakeover, "only the next VM of the ranking must follow too if the source has been silent for 2.4 s and the bound is 6 s")
	require.Len(t, pushed, len(members)-1)
	for address, count := range pushed {
		require.Equal(t, 1, count, address)
	}
}

// Guards against a VM that misses a change although it read all records: records changed between two calls of the read, so
// that the copy holds a record that is newer than a change it lacks. Pushes and probes must not take the revision of that
// record for the revision up to which the copy is complete.
func TestChangeBetweenTwoCallsOfARead(t *testing.T) {
	inPages := func() feed.Batch {
		// The configuration, at revision 5, was read by the first call at revision 10, and a target that registered at 15 by
		// the second one. The configuration changed at 12.
		return feed.Batch{Full: true, Revision: 10, Records: []feed.Record{{Key: "config", Value: []byte("5"), Revision: 5}, {Key: "target", Value: []byte("15"), Revision: 15}}}
	}
	config := func(p *peer) string { return keysOf(p.mirror.Changes(0))["config"] }
	newFleet := func() (sender, receiver *peer) {
		sender, receiver = newPeer(t, func() []string { return nil }), newPeer(t, func() []string { return nil })
		sender.mirror.Apply(feed.Batch{Full: true, Revision: 15, Records: []feed.Record{{Key: "config", Value: []byte("12"), Revision: 12}, {Key: "target", Value: []byte("15"), Revision: 15}}})
		receiver.mirror.Apply(inPages())
		return sender, receiver
	}
	t.Run("push", func(t *testing.T) {
		sender, receiver := newFleet()
		before := sender.mirror.RequiredRevision()
		b := feed.Batch{Revision: 16, Records: []feed.Record{{Key: "other", Value: []byte("16"), Revision: 16}}}
		sender.mirror.Apply(b)
		_, err := peerv1connect.NewFeedServiceClient(http.DefaultClient, "http://"+receiver.address).Tell(t.Context(), connect.NewRequest(&peerv1.TellRequest{
			After: before, Revision: b.Revision, From: sender.address, Records: []*peerv1.PublishedRecord{{Key: "other", Value: []byte("16"), Revision: 16}}}))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return config(receiver) == "12" }, 20*time.Second, time.Millisecond)
	})
	t.Run("probe", func(t *testing.T) {
		sender, receiver := newFleet()
		receiver.peers.ObservePeerVersion(membership.Member{ID: "sender", Address: sender.address}, sender.mirror.RequiredRevision(), nil)
		require.Eventually(t, func() bool { return config(receiver) == "12" }, 20*time.Second, time.Millisecond)
	})
}

// Guards against probes that make a VM pull again and again although it has all changes: the newest change was the deletion
// of a key, which a read of all records does not show.
func TestProbeOfAPeerWithoutNewsCausesNoPull(t *testing.T) {
	h := newHistory()
	follower, loaded := newPeer(t, func() []string { return nil }), newPeer(t, func() []string { return nil })
	h.write("a", false)
	follower.mirror.Apply(h.full())
	h.write("b", false)
	h.write("b", true)
	follower.mirror.Apply(h.since(follower.mirror.Revision()))
	loaded.mirror.Apply(h.full())
	loaded.peers.ObservePeerVersion(membership.Member{ID: "follower", Address: follower.address}, follower.mirror.RequiredRevision(), nil)
	require.Never(t, func() bool { return loaded.peers.Pulls() > 0 }, time.Second, 10*time.Millisecond)
}
