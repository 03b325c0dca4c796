package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"teaselbank.example/teaselbank/platform/platformtest"
)

// How often a target misbehaves of its own accord, of all requests, and how long requests take.
const (
	refusedShare   = 0.02
	failedShare    = 0.01
	cutShare       = 0.005
	strayShare     = 0.005
	usualWork      = 6 * time.Millisecond
	pauseShare     = 0.01
	pauseWork      = 250 * time.Millisecond
	registerDelay  = 500 * time.Millisecond
	recordsPerLeaf = 8
)

// backend is a target behind a link that can be harmed.
type backend struct {
	leaf          *platformtest.Target
	link          *proxy
	service, zone string
}

// backends holds the targets that live now.
type backends struct {
	store  *platformtest.Store
	record *record

	mu     sync.Mutex
	live   []*backend
	number int
	random *rand.Rand
}

// shardBody is what each target of a shard answers: records that no other shard has.
func shardBody(service string) []byte {
	seed := uint64(0)
	for _, c := range []byte(service) {
		seed = seed*31 + uint64(c)
	}
	values := make([]uint64, recordsPerLeaf)
	for i := range values {
		values[i] = (seed*7919 + uint64(i)*104729) % 1_000_003
	}
	return platformtest.Records(values...)
}

// add starts a target of the service in the zone and publishes it. If reuse is not nil, the target takes over the
// address of one that has ended.
func (b *backends) add(service, zone string, reuse *proxy) (*backend, error) {
	b.mu.Lock()
	b.number++
	id := fmt.Sprintf("i-%d", b.number)
	b.mu.Unlock()
	body := shardBody(service)
	leaf, err := platformtest.NewTarget(id, body)
	if err != nil {
		return nil, err
	}
	k := &backend{leaf: leaf, link: reuse, service: service, zone: zone}
	if reuse != nil {
		reuse.retarget(leaf.Address)
	} else if k.link, err = newProxy(leaf.Address); err != nil {
		return nil, err
	}
	leaf.Behave(func(a platformtest.Arrival) platformtest.Behaviour { return b.behave(k, a) })
	b.record.mu.Lock()
	b.record.leafs[id] = leafInfo{Service: service, Body: body}
	b.record.mu.Unlock()
	b.mu.Lock()
	b.live = append(b.live, k)
	b.mu.Unlock()
	b.publish(k, false, 0)
	return k, nil
}

func (b *backends) publish(k *backend, draining bool, born int64) {
	b.store.RegisterEntry(platformtest.Entry{ID: k.leaf.ID, Service: k.service, Address: k.link.Address, Zone: k.zone,
		Draining: draining, Born: born})
}

// behave decides what the target does with a request, and notes it.
func (b *backends) behave(k *backend, a platformtest.Arrival) platformtest.Behaviour {
	route, _, _ := strings.Cut(strings.TrimPrefix(a.Target, "/"), "/")
	seen := &arrival{ID: a.ID, Leaf: k.leaf.ID, Service: k.service, Zone: k.zone, Route: route, At: time.Now()}
	defer b.record.arrived(seen)
	if a.Misdirected(k.leaf.ID) {
		return platformtest.Behaviour{}
	}
	b.mu.Lock()
	roll, spread := b.random.Float64(), b.random.Float64()
	b.mu.Unlock()
	work := time.Duration(spread * 2 * float64(usualWork))
	if roll < refusedShare {
		return platformtest.Behaviour{Status: 503, NotRun: true}
	}
	seen.Ran = true
	roll -= refusedShare
	switch {
	case roll < failedShare:
		return platformtest.Behaviour{Status: 500, ServiceTime: work}
	case roll < failedShare+cutShare:
		return platformtest.Behaviour{Raw: func(c net.Conn, a platformtest.Arrival) {
			_, _ = fmt.Fprintf(c, "%sContent-Length: 128\r\n\r\nshort", platformtest.RawSuccess(a.ID))
		}}
	case roll < failedShare+cutShare+strayShare:
		seen.Good = true
		return platformtest.Behaviour{Raw: func(c net.Conn, a platformtest.Arrival) { b.answerTwice(c, k, a) }}
	case roll < failedShare+cutShare+strayShare+pauseShare:
		work = pauseWork
	}
	seen.Good = true
	return platformtest.Behaviour{ServiceTime: work}
}

// answerTwice answers well, and once more where the next answer is due.
func (b *backends) answerTwice(c net.Conn, k *backend, a platformtest.Arrival) {
	body := shardBody(k.service)
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", platformtest.HeaderID, a.ID,
		platformtest.HeaderSignature, platformtest.Signature(k.leaf.ID, a.ID), len(body), body)
	_, _ = fmt.Fprint(c, one, one)
	time.Sleep(pauseWork)
}

// pick returns a random live target and takes it out of the list if it is to end.
func (b *backends) pick(random *rand.Rand, ends bool) *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.live) == 0 {
		return nil
	}
	i := random.IntN(len(b.live))
	k := b.live[i]
	if ends {
		b.live = append(b.live[:i], b.live[i+1:]...)
	}
	return k
}

// in returns a target of the zone.
func (b *backends) in(zone string) *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.live {
		if k.zone == zone {
			return k
		}
	}
	return nil
}

func (b *backends) all() []*backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]*backend(nil), b.live...)
}

func (b *backends) close() {
	for _, k := range b.all() {
		k.link.Close()
		k.leaf.Close()
	}
}
