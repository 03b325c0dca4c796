package soak

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/platform/platformtest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// good is a record in which no promise is broken: a read, an order, a scatter and a request of a version.
func good() *record {
	r := newRecord()
	r.sets = [][]string{{"a0", "a1"}}
	r.leafs = map[string]leafInfo{"i-1": {serviceRead, shardBody(serviceRead)}, "i-2": {serviceOrder, shardBody(serviceOrder)},
		"i-3": {"a0", shardBody("a0")}, "i-4": {"a1", shardBody("a1")}}
	r.published = map[int]time.Time{1: at(0)}
	one := func(id string, k kind, route, service, leaf string) {
		r.answers = append(r.answers, &answer{ID: id, Kind: k, Route: route, Service: service, Life: 1, Sent: at(1000), Ended: at(1010),
			Status: 200, RequestID: id, Signature: platformtest.Signature(leaf, id), Body: shardBody(service)})
		r.arrivals = append(r.arrivals, &arrival{ID: id, Leaf: leaf, Service: service, Zone: "a", Route: route, Ran: true, Good: true, At: at(1005)})
	}
	one("read", kindRead, routeRead, serviceRead, "i-1")
	one("order", kindOrder, routeOrder, serviceOrder, "i-2")
	one("version", kindVersion, "v1", serviceRead, "i-1")
	r.answers = append(r.answers, &answer{ID: "scatter", Kind: kindScatter, Route: routeScatter, Sent: at(1000), Ended: at(1010), Status: 200,
		Covered: []string{platformtest.Signature("i-3", "scatter"), platformtest.Signature("i-4", "scatter")}, Body: greatest("a0", "a1")})
	for leaf, service := range map[string]string{"i-3": "a0", "i-4": "a1"} {
		r.arrivals = append(r.arrivals, &arrival{ID: "scatter", Leaf: leaf, Service: service, Route: routeScatter, Ran: true, Good: true, At: at(1005)})
	}
	return r
}

// greatest returns the greatest records of the shards.
func greatest(services ...string) []byte {
	var list []string
	for _, service := range services {
		for record := range slices.Chunk(shardBody(service), 16) {
			list = append(list, string(record))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(list)))
	return []byte(strings.Join(list[:topRecords], ""))
}

func (r *record) of(id string) *answer {
	for _, a := range r.answers {
		if a.ID == id {
			return a
		}
	}
	return nil
}

// A check that can't fail proves nothing: each kind of broken promise must be reported, and a good record must not.
func TestChecksReportEachBrokenPromise(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(r *record)
		want  string
	}{
		"nothing": {func(*record) {}, ""},
		"an order runs again elsewhere": {func(r *record) {
			r.arrivals = append(r.arrivals, &arrival{ID: "order", Leaf: "i-2", Service: serviceOrder, Route: routeOrder, Ran: true, At: at(1500)})
		}, "TWICE"},
		"a read runs on three targets": {func(r *record) {
			for _, leaf := range []string{"i-8", "i-9"} {
				r.arrivals = append(r.arrivals, &arrival{ID: "read", Leaf: leaf, Service: serviceRead, Route: routeRead, Ran: true, At: at(999)})
			}
		}, "BUDGET"},
		"a refused order runs later":   {func(r *record) { a := r.of("order"); a.Status, a.Signature = 503, "" }, "REFUSED"},
		"a refused read has run":       {func(r *record) { a := r.of("read"); a.Status, a.Signature = 429, "" }, "REFUSED"},
		"a request is dropped":         {func(r *record) { a := r.of("read"); a.Broken, a.OrderlyClose, a.Ended = true, true, at(1400) }, "LOST"},
		"a route is denied":            {func(r *record) { a := r.of("read"); a.Status, a.Signature = 404, "" }, "DENIED"},
		"an answer of another target":  {func(r *record) { r.of("read").Signature = platformtest.Signature("i-2", "read") }, "MIXED"},
		"an answer to another request": {func(r *record) { r.of("read").RequestID = "order" }, "MIXED"},
		"an answer cut short":          {func(r *record) { a := r.of("read"); a.Body = a.Body[:16] }, "MIXED"},
		"a failure as a success":       {func(r *record) { r.arrivals[0].Good = false }, "MIXED"},
		"a failure that nobody gave":   {func(r *record) { r.of("read").Status = 500 }, "MIXED"},
		"a shard not accounted for":    {func(r *record) { r.of("scatter").Missing = 1 }, "MIXED"},
		"a shard named twice":          {func(r *record) { a := r.of("scatter"); a.Covered = append(a.Covered, a.Covered[0]) }, "MIXED"},
		"a record too many":            {func(r *record) { a := r.of("scatter"); a.Body = append(a.Body, a.Body[:16]...) }, "MIXED"},
		"too few shards":               {func(r *record) { r.sets = [][]string{{"a0", "a1", "a2", "a3"}}; r.of("scatter").Missing = 2 }, "MIXED"},
		"a request that nobody sent": {func(r *record) {
			r.arrivals = append(r.arrivals, &arrival{ID: "nobody", Leaf: "i-1", Service: serviceRead, Route: routeRead, Ran: true, At: at(1)})
		}, "UNASKED"},
		"a request at the wrong service": {func(r *record) { r.arrivals[1].Service, r.leafs["i-2"] = serviceRead, leafInfo{} }, "ROUTE"},
		"a version that is forgotten": {func(r *record) {
			r.answers = append(r.answers, &answer{ID: "later", Kind: kindVersion, Route: "v1", Life: 1, Sent: at(2000), Ended: at(2001), Status: 404})
		}, "CONFIG"},
		"a zone that is out gets work":   {func(r *record) { r.bars = []bar{{Zone: "a", From: at(1001), To: at(2000)}} }, "EVAC"},
		"a target that leaves gets work": {func(r *record) { r.bars = []bar{{Leaf: "i-1", From: at(1001), To: at(2000)}} }, "DRAIN"},
		"too many extra sends": {func(r *record) {
			for range extraSlack + 2 {
				r.arrivals = append(r.arrivals, &arrival{ID: "read", Leaf: "i-1", Service: serviceRead, Route: routeRead, At: at(1100)})
			}
		}, "BUDGET"},
	} {
		r := good()
		c.spoil(r)
		found := strings.Join(checks(r), "\n")
		if c.want == "" {
			require.Empty(t, found, name)
			continue
		}
		require.Contains(t, found, c.want, name)
	}
}

// A part of a request that was meant for the earlier owner of a target's address is turned away there, which says nothing
// of the part that the target answered.
func TestRedirectedArrivalIsNoAnswer(t *testing.T) {
	r := good()
	for _, id := range []string{"read", "scatter"} {
		leaf := map[string]string{"read": "i-1", "scatter": "i-3"}[id]
		r.arrivals = append(r.arrivals, &arrival{ID: id, Leaf: leaf, Service: r.leafs[leaf].Service, Route: r.of(id).Route, At: at(1006)})
	}
	require.Empty(t, checks(r))
}

// What a fault of the VM explains, and what may cross the end of an idle connection, is not a lost request.
func TestLostAllowsForFaultsOfTheVM(t *testing.T) {
	r := good()
	a := r.of("read")
	a.Broken, a.OrderlyClose, a.Ended = true, true, at(1400)
	r.upset[0] = []span{{From: at(1300), To: at(1350)}}
	require.Empty(t, checks(r))
	r.upset[0] = []span{{From: at(-500), To: at(-1)}}
	require.NotEmpty(t, checks(r), "the fault was over")
	r.upset = map[int][]span{}
	a.Ended = at(1100)
	require.Empty(t, checks(r))
}

// A link must do to its bytes what its mode says, in open connections too.
func TestProxyModes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	heard := make(chan byte, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				piece := make([]byte, 1)
				for {
					if _, err := c.Read(piece); err != nil {
						return
					}
					heard <- piece[0]
					_, _ = c.Write(piece)
				}
			}()
		}
	}()
	p, err := newProxy(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(p.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	piece := make([]byte, 1)
	send := func(c net.Conn, b byte) {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	c := dial()
	send(c, 1)
	_, err = c.Read(piece)
	require.NoError(t, err)
	require.Equal(t, byte(1), <-heard)

	p.set(linkDelay)
	began := time.Now()
	send(c, 2)
	require.Equal(t, byte(2), <-heard)
	_, err = c.Read(piece)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), 2*delayTime)

	p.set(linkOneWay)
	send(c, 3)
	require.Equal(t, byte(3), <-heard, "the server still hears")
	require.Eventually(t, func() bool { return p.lost.Load() == 1 }, time.Minute, time.Millisecond)
	p.set(linkPass)
	send(c, 4)
	require.Equal(t, byte(4), <-heard)
	require.Eventually(t, func() bool { return p.lost.Load() == 2 }, time.Minute, time.Millisecond, "no answer overtakes a lost one")

	p.set(linkSilent)
	send(c, 5)
	require.Eventually(t, func() bool { return p.lost.Load() == 3 }, time.Minute, time.Millisecond)
	p.set(linkReset)
	_, err = c.Read(piece)
	require.Error(t, err)
	require.Empty(t, heard)
	require.ErrorIs(t, dialAndRead(p.Address), syscall.ECONNRESET)
}

// dialAndRead returns the error of a new connection. A reset that comes right after the handshake can end the dial
// itself, because the socket reports it before Dial has returned.
func dialAndRead(address string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_, err = c.Read(make([]byte, 1))
	return err
}

// A signal that is meant for an earlier process of a VM must not reach the next one, which nothing would start again.
func TestSignalsStayWithTheirProcess(t *testing.T) {
	script := filepath.Join(t.TempDir(), "waits")
	require.NoError(t, os.WriteFile(script, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700)) //nolint:gosec // it has to run
	v := &vm{ctx: t.Context(), dir: t.TempDir(), binary: script, record: newRecord()}
	require.NoError(t, v.start())
	first := v.life.Load()
	v.kill()
	require.NoError(t, v.start())
	v.signalLife(first, syscall.SIGKILL)
	require.False(t, v.stopped, "the next process was told to stop")
	select {
	case <-v.ended():
		t.Fatal("the next process ended")
	default:
	}
	v.signalLife(v.life.Load(), syscall.SIGKILL)
	<-v.ended()
}
