package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"teaselbank.example/teaselbank/platform/platformtest"
)

// Shares of all requests that a target handles abnormally without an injected fault, and times of targets.
const (
	refusedShare        = 0.02
	failedShare         = 0.01
	truncatedShare      = 0.005
	duplicateShare      = 0.005
	meanServiceTime     = 6 * time.Millisecond
	slowShare           = 0.01
	slowServiceTime     = 250 * time.Millisecond
	minReplacementDelay = 500 * time.Millisecond
	recordsPerShard     = 8
	// repeatedRefusals is the share of the refusals of a full target that it sends a second time, once the next request comes on
	// the same connection or repeatWait has passed.
	repeatedRefusals = 0.3
	repeatWait       = 300 * time.Millisecond
	// fullShare is the share of the requests that a full target refuses. With restingRefusals of these refusals it states for
	// how long it wants none, up to maxRest.
	fullShare       = 0.7
	restingRefusals = 0.1
	maxRest         = 300 * time.Millisecond
)

// target is a running target behind a proxy that can impair its link.
type target struct {
	server        *platformtest.Target
	link          *proxy
	service, zone string
}

// targetSet holds the targets that are running.
type targetSet struct {
	store  *platformtest.Store
	record *record

	mu     sync.Mutex
	live   []*target
	lastID int
	random *rand.Rand
	// full holds the services whose targets are full.
	full map[string]bool
}

// setFull sets whether the targets of a service are full.
func (b *targetSet) setFull(service string, full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.full == nil {
		b.full = map[string]bool{}
	}
	b.full[service] = full
}

// shardBody returns the body of a successful reply of every target of the service. Each service has records of its own.
func shardBody(service string) []byte {
	seed := uint64(0)
	for _, c := range []byte(service) {
		seed = seed*31 + uint64(c)
	}
	values := make([]uint64, recordsPerShard)
	for i := range values {
		values[i] = (seed*7919 + uint64(i)*104729) % 1_000_003
	}
	return platformtest.Records(values...)
}

// add starts a target of the service in the zone and registers it in the store. If reuse is not nil, the target takes
// over that proxy and with it the address of a target that has exited.
func (b *targetSet) add(service, zone string, reuse *proxy) (*target, error) {
	b.mu.Lock()
	b.lastID++
	id := fmt.Sprintf("i-%d", b.lastID)
	b.mu.Unlock()
	body := shardBody(service)
	server, err := platformtest.NewTarget(id, body)
	if err != nil {
		return nil, err
	}
	t := &target{server: server, link: reuse, service: service, zone: zone}
	if reuse != nil {
		reuse.retarget(server.Address)
	} else if t.link, err = newProxy(server.Address); err != nil {
		return nil, err
	}
	server.SetBehaviour(func(a platformtest.Arrival) platformtest.Behaviour { return b.chooseBehaviour(t, a) })
	b.record.mu.Lock()
	b.record.targets[id] = targetInfo{Service: service, Body: body}
	b.record.mu.Unlock()
	b.mu.Lock()
	b.live = append(b.live, t)
	b.mu.Unlock()
	b.publish(t, false, 0)
	return t, nil
}

// publish registers the target in the store; born is its start in Unix milliseconds, 0 for none.
func (b *targetSet) publish(t *target, draining bool, born int64) {
	b.store.RegisterEntry(platformtest.Entry{ID: t.server.ID, Service: t.service, Address: t.link.Address, Zone: t.zone,
		Draining: draining, Born: born})
}

// chooseBehaviour decides how the target handles a request and records the arrival.
func (b *targetSet) chooseBehaviour(t *target, a platformtest.Arrival) platformtest.Behaviour {
	route, _, _ := strings.Cut(strings.TrimPrefix(a.RequestURI, "/"), "/")
	seen := &arrival{ID: a.ID, TargetID: t.server.ID, Service: t.service, Zone: t.zone, Route: route, At: time.Now()}
	defer b.record.addArrival(seen)
	if a.Misdirected(t.server.ID) {
		return platformtest.Behaviour{}
	}
	b.mu.Lock()
	roll, scale := b.random.Float64(), b.random.Float64()
	full := b.full[t.service]
	b.mu.Unlock()
	if full && roll < fullShare {
		return b.refuseFull(t, roll/fullShare, scale)
	}
	serviceTime := time.Duration(scale * 2 * float64(meanServiceTime))
	if roll < refusedShare {
		return platformtest.Behaviour{Status: 503, NotRun: true}
	}
	seen.Ran = true
	roll -= refusedShare
	switch {
	case roll < failedShare:
		return platformtest.Behaviour{Status: 500, ServiceTime: serviceTime}
	case roll < failedShare+truncatedShare:
		return platformtest.Behaviour{Raw: func(c net.Conn, a platformtest.Arrival) {
			_, _ = fmt.Fprintf(c, "%sContent-Length: 128\r\n\r\nshort", platformtest.RawSuccess(a.ID))
		}}
	case roll < failedShare+truncatedShare+duplicateShare:
		seen.Succeeded = true
		return platformtest.Behaviour{Raw: func(c net.Conn, a platformtest.Arrival) { b.answerTwice(c, t, a) }}
	case roll < failedShare+truncatedShare+duplicateShare+slowShare:
		serviceTime = slowServiceTime
	}
	seen.Succeeded = true
	return platformtest.Behaviour{ServiceTime: serviceTime}
}

// refuseFull returns how a full target refuses a request; kind and scale are random.
func (b *targetSet) refuseFull(t *target, kind, scale float64) platformtest.Behaviour {
	switch {
	case kind < repeatedRefusals:
		return platformtest.Behaviour{Raw: func(c net.Conn, a platformtest.Arrival) { b.refuseTwice(c, t, a) }}
	case kind < repeatedRefusals+restingRefusals:
		seconds := strconv.FormatFloat(scale*maxRest.Seconds(), 'f', 3, 64)
		return platformtest.Behaviour{Status: 503, NotRun: true, Header: http.Header{platformtest.HeaderRetryAfter: {seconds}}}
	}
	return platformtest.Behaviour{Status: 503, NotRun: true}
}

// refuseTwice refuses a request. It sends the refusal again when the next request comes on the connection, and runs that
// request.
func (b *targetSet) refuseTwice(c net.Conn, t *target, a platformtest.Arrival) {
	refusal := platformtest.RawRefusal(a.ID)
	_, _ = io.WriteString(c, refusal)
	_ = c.SetReadDeadline(time.Now().Add(repeatWait))
	next, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	route, _, _ := strings.Cut(strings.TrimPrefix(next.RequestURI, "/"), "/")
	seen := &arrival{ID: next.Header.Get(platformtest.HeaderID), TargetID: t.server.ID, Service: t.service, Zone: t.zone, Route: route, At: time.Now()}
	seen.Ran = next.Header.Get(platformtest.HeaderExpect) == t.server.ID
	b.record.addArrival(seen)
	_, _ = io.WriteString(c, refusal)
}

// answerTwice sends a successful reply twice, so that the copy arrives where the reply to the next request is expected.
func (b *targetSet) answerTwice(c net.Conn, t *target, a platformtest.Arrival) {
	body := shardBody(t.service)
	reply := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", platformtest.HeaderID, a.ID,
		platformtest.HeaderSignature, platformtest.Signature(t.server.ID, a.ID), len(body), body)
	_, _ = fmt.Fprint(c, reply, reply)
	time.Sleep(slowServiceTime)
}

// pick returns a random running target, and removes it from the set if remove is true. It returns nil if no target is
// running.
func (b *targetSet) pick(random *rand.Rand, remove bool) *target {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.live) == 0 {
		return nil
	}
	i := random.IntN(len(b.live))
	t := b.live[i]
	if remove {
		b.live = append(b.live[:i], b.live[i+1:]...)
	}
	return t
}

// firstInZone returns the first target of the zone. It returns nil if there is none.
func (b *targetSet) firstInZone(zone string) *target {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.live {
		if t.zone == zone {
			return t
		}
	}
	return nil
}

func (b *targetSet) all() []*target {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*target(nil), b.live...)
}

func (b *targetSet) close() {
	for _, t := range b.all() {
		t.link.Close()
		t.server.Close()
	}
}
