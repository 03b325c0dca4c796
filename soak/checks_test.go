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

// validRecord returns a record without violations: a read, an order, a scatter and a request on a version route.
func validRecord() *record {
	r := newRecord()
	r.shardSets = [][]string{{"a0", "a1"}}
	r.targets = map[string]targetInfo{"i-1": {serviceRead, shardBody(serviceRead)}, "i-2": {serviceOrder, shardBody(serviceOrder)},
		"i-3": {"a0", shardBody("a0")}, "i-4": {"a1", shardBody("a1")}}
	r.published = map[int]time.Time{1: at(0)}
	add := func(id string, k kind, route, service, targetID string) {
		r.exchanges = append(r.exchanges, &exchange{ID: id, Kind: k, Route: route, Service: service, Incarnation: 1, Sent: at(1000), Ended: at(1010),
			Status: 200, RequestID: id, Signature: platformtest.Signature(targetID, id), Body: shardBody(service)})
		r.arrivals = append(r.arrivals, &arrival{ID: id, TargetID: targetID, Service: service, Zone: "a", Route: route, Ran: true, Succeeded: true, At: at(1005)})
	}
	add("read", kindRead, routeRead, serviceRead, "i-1")
	add("order", kindOrder, routeOrder, serviceOrder, "i-2")
	add("version", kindVersion, "v1", serviceRead, "i-1")
	r.exchanges = append(r.exchanges, &exchange{ID: "scatter", Kind: kindScatter, Route: routeScatter, Sent: at(1000), Ended: at(1010), Status: 200,
		Covered: []string{platformtest.Signature("i-3", "scatter"), platformtest.Signature("i-4", "scatter")}, Body: topRecordsOf("a0", "a1")})
	for targetID, service := range map[string]string{"i-3": "a0", "i-4": "a1"} {
		r.arrivals = append(r.arrivals, &arrival{ID: "scatter", TargetID: targetID, Service: service, Route: routeScatter, Ran: true, Succeeded: true, At: at(1005)})
	}
	return r
}

// topRecordsOf returns the topRecords greatest records of the shards.
func topRecordsOf(services ...string) []byte {
	var list []string
	for _, service := range services {
		for record := range slices.Chunk(shardBody(service), 16) {
			list = append(list, string(record))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(list)))
	return []byte(strings.Join(list[:topRecords], ""))
}

func (r *record) exchange(id string) *exchange {
	for _, a := range r.exchanges {
		if a.ID == id {
			return a
		}
	}
	return nil
}

// Each kind of violation must be reported, and a valid record must have none. This guards against checks that can't fail.
func TestChecksReportEachBrokenPromise(t *testing.T) {
	for name, c := range map[string]struct {
		corrupt func(r *record)
		want    string
	}{
		"nothing": {func(*record) {}, ""},
		"an order runs twice": {func(r *record) {
			r.arrivals = append(r.arrivals, &arrival{ID: "order", TargetID: "i-2", Service: serviceOrder, Route: routeOrder, Ran: true, At: at(1500)})
		}, "TWICE"},
		"a read runs on three targets": {func(r *record) {
			for _, targetID := range []string{"i-8", "i-9"} {
				r.arrivals = append(r.arrivals, &arrival{ID: "read", TargetID: targetID, Service: serviceRead, Route: routeRead, Ran: true, At: at(999)})
			}
		}, "BUDGET"},
		"a refused order runs later":          {func(r *record) { a := r.exchange("order"); a.Status, a.Signature = 503, "" }, "REFUSED"},
		"a refused read has run":              {func(r *record) { a := r.exchange("read"); a.Status, a.Signature = 429, "" }, "REFUSED"},
		"a request is dropped":                {func(r *record) { a := r.exchange("read"); a.Broken, a.OrderlyClose, a.Ended = true, true, at(1400) }, "LOST"},
		"a route is denied":                   {func(r *record) { a := r.exchange("read"); a.Status, a.Signature = 404, "" }, "DENIED"},
		"a response signed by another target": {func(r *record) { r.exchange("read").Signature = platformtest.Signature("i-2", "read") }, "MIXED"},
		"a response to another request":       {func(r *record) { r.exchange("read").RequestID = "order" }, "MIXED"},
		"a response cut short":                {func(r *record) { a := r.exchange("read"); a.Body = a.Body[:16] }, "MIXED"},
		"a failure returned as a success":     {func(r *record) { r.arrivals[0].Succeeded = false }, "MIXED"},
		"a failure that no target gave":       {func(r *record) { r.exchange("read").Status = 500 }, "MIXED"},
		"a shard both covered and missing":    {func(r *record) { r.exchange("scatter").Missing = 1 }, "MIXED"},
		"a shard named twice":                 {func(r *record) { a := r.exchange("scatter"); a.Covered = append(a.Covered, a.Covered[0]) }, "MIXED"},
		"a record too many":                   {func(r *record) { a := r.exchange("scatter"); a.Body = append(a.Body, a.Body[:16]...) }, "MIXED"},
		"too few shards":                      {func(r *record) { r.shardSets = [][]string{{"a0", "a1", "a2", "a3"}}; r.exchange("scatter").Missing = 2 }, "MIXED"},
		"a request that no client sent": {func(r *record) {
			r.arrivals = append(r.arrivals, &arrival{ID: "nobody", TargetID: "i-1", Service: serviceRead, Route: routeRead, Ran: true, At: at(1)})
		}, "UNASKED"},
		"a request at the wrong service": {func(r *record) { r.arrivals[1].Service, r.targets["i-2"] = serviceRead, targetInfo{} }, "ROUTE"},
		"a version route that answers 404 after it was served": {func(r *record) {
			r.exchanges = append(r.exchanges, &exchange{ID: "later", Kind: kindVersion, Route: "v1", Incarnation: 1, Sent: at(2000), Ended: at(2001), Status: 404})
		}, "CONFIG"},
		"a zone that is out gets work":   {func(r *record) { r.exclusions = []exclusion{{Zone: "a", From: at(1001), To: at(2000)}} }, "EVAC"},
		"a target that leaves gets work": {func(r *record) { r.exclusions = []exclusion{{TargetID: "i-1", From: at(1001), To: at(2000)}} }, "DRAIN"},
		"too many extra sends": {func(r *record) {
			for range extraSlack + 2 {
				r.arrivals = append(r.arrivals, &arrival{ID: "read", TargetID: "i-1", Service: serviceRead, Route: routeRead, At: at(1100)})
			}
		}, "BUDGET"},
	} {
		r := validRecord()
		c.corrupt(r)
		found := strings.Join(findViolations(r), "\n")
		if c.want == "" {
			require.Empty(t, found, name)
			continue
		}
		require.Contains(t, found, c.want, name)
	}
}

// A leaf request meant for the previous target at a reused address is refused there. The checks must not take that
// arrival for the one to which the target replied.
func TestRefusedArrivalIsNotTakenForTheReply(t *testing.T) {
	r := validRecord()
	for _, id := range []string{"read", "scatter"} {
		targetID := map[string]string{"read": "i-1", "scatter": "i-3"}[id]
		r.arrivals = append(r.arrivals, &arrival{ID: id, TargetID: targetID, Service: r.targets[targetID].Service, Route: r.exchange(id).Route, At: at(1006)})
	}
	require.Empty(t, findViolations(r))
}

// A request is not lost if a disruption of the VM explains it, or if it may have been in flight while the VM closed an idle
// connection.
func TestLostAllowsForFaultsOfTheVM(t *testing.T) {
	r := validRecord()
	a := r.exchange("read")
	a.Broken, a.OrderlyClose, a.Ended = true, true, at(1400)
	r.disruptions[0] = []interval{{From: at(1300), To: at(1350)}}
	require.Empty(t, findViolations(r))
	r.disruptions[0] = []interval{{From: at(-500), To: at(-1)}}
	require.NotEmpty(t, findViolations(r), "a request lost after the end of the disruption must be reported")
	r.disruptions = map[int][]interval{}
	a.Ended = at(1100)
	require.Empty(t, findViolations(r))
}

// Each mode must have its effect on the data of new and of open connections.
func TestProxyModes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan byte, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buf := make([]byte, 1)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					received <- buf[0]
					_, _ = c.Write(buf)
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
	buf := make([]byte, 1)
	send := func(c net.Conn, b byte) {
		_, err := c.Write([]byte{b})
		require.NoError(t, err)
	}
	c := dial()
	send(c, 1)
	_, err = c.Read(buf)
	require.NoError(t, err)
	require.Equal(t, byte(1), <-received)

	p.set(linkDelay)
	began := time.Now()
	send(c, 2)
	require.Equal(t, byte(2), <-received)
	_, err = c.Read(buf)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), 2*delayTime)

	p.set(linkOneWay)
	send(c, 3)
	require.Equal(t, byte(3), <-received, "a one-way link must still deliver data from the client")
	require.Eventually(t, func() bool { return p.dropped.Load() == 1 }, time.Minute, time.Millisecond)
	p.set(linkPass)
	send(c, 4)
	require.Equal(t, byte(4), <-received)
	require.Eventually(t, func() bool { return p.dropped.Load() == 2 }, time.Minute, time.Millisecond, "a connection must deliver no reply after one that was dropped")

	p.set(linkSilent)
	send(c, 5)
	require.Eventually(t, func() bool { return p.dropped.Load() == 3 }, time.Minute, time.Millisecond)
	p.set(linkReset)
	_, err = c.Read(buf)
	require.Error(t, err)
	require.Empty(t, received)
	require.ErrorIs(t, dialAndRead(p.Address), syscall.ECONNRESET)
}

// dialAndRead opens a connection, reads from it and returns the error. A reset right after the handshake can fail the dial
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

// A signal meant for an earlier process of a VM must not reach the next one, because nothing would start that one again.
func TestSignalsStayWithTheirProcess(t *testing.T) {
	script := filepath.Join(t.TempDir(), "waits")
	require.NoError(t, os.WriteFile(script, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700)) //nolint:gosec // must be executable
	v := &vm{ctx: t.Context(), dir: t.TempDir(), binary: script, record: newRecord()}
	require.NoError(t, v.start())
	first := v.incarnation.Load()
	v.kill()
	require.NoError(t, v.start())
	v.signalIncarnation(first, syscall.SIGKILL)
	require.False(t, v.stopRequested, "a signal meant for the earlier process marked the next one as asked to stop")
	select {
	case <-v.ended():
		t.Fatal("a signal meant for the earlier process ended the next one")
	default:
	}
	v.signalIncarnation(v.incarnation.Load(), syscall.SIGKILL)
	<-v.ended()
}
