package main

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case: those of billing-run, and of garble with "extra late" in the site file.
const (
	orderWork  = 60 * time.Millisecond
	orderSlots = 3
	orderQueue = 12
	orderConns = 40
	// extraShare is how many of the leafs send second answers, for extraX of their answers, for extraFor at a time.
	extraShare = 0.6
	extraX     = 0.03
	extraFor   = 5 * time.Second
	extraPause = 200 * time.Millisecond
	// A second answer is extraLate later, and up to extraSpread more.
	extraLate   = 40 * time.Millisecond
	extraSpread = 160 * time.Millisecond
	// netDelay is the time of the way between zones, there and back.
	netDelay = 7 * time.Millisecond
	// crest and trough are how many requests a second come for each that the leafs can run, by turns.
	crest, trough       = 1.25, 0.8
	crestFor, troughFor = 1500 * time.Millisecond, 2500 * time.Millisecond
	loadFor             = 85 * time.Second
	// orderServices is the number of services, each with four leafs.
	orderServices = 2
)

func init() { cases["twice-after-second-answer"] = twiceAfterSecondAnswer }

// orders is a leaf with slots and a queue, which may send second answers.
type orders struct {
	leaf  *Leaf
	mu    sync.Mutex
	busy  int
	queue []chan struct{}
	// credit is how many second answers the leaf may send now.
	credit float64
	// extra reports that the leaf sends second answers now.
	extra  atomic.Bool
	extras atomic.Int64
	locks  sync.Map // net.Conn to *sync.Mutex
}

// ran counts the runs of each request at all leafs, again the runs beyond the first.
var (
	ran   sync.Map
	again atomic.Int64
)

// enter returns once the leaf has a slot for a request, or false if the leaf is full.
func (o *orders) enter() bool {
	o.mu.Lock()
	if o.busy < orderSlots {
		o.busy++
		o.mu.Unlock()
		return true
	}
	if len(o.queue) >= orderQueue {
		o.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	o.queue = append(o.queue, turn)
	o.mu.Unlock()
	<-turn
	return true
}

func (o *orders) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) > 0 {
		close(o.queue[0])
		o.queue = o.queue[1:]
		return
	}
	o.busy--
}

func (o *orders) handle(c net.Conn, r *http.Request, _ []byte) (done, keep bool) {
	id := r.Header.Get("Request-Id")
	time.Sleep(netDelay)
	if !o.enter() {
		o.leaf.rec.Log("shed", "leaf", o.leaf.ID, "id", id, "conn", c.RemoteAddr())
		return true, o.answer(c, id, 503, map[string]string{"Not-Executed": "1", "Request-Id": id}, nil)
	}
	defer o.leave()
	o.leaf.began(r, id)
	if n, _ := ran.LoadOrStore(id, new(atomic.Int64)); n.(*atomic.Int64).Add(1) > 1 {
		again.Add(1)
	}
	time.Sleep(orderWork)
	return true, o.answer(c, id, 200, map[string]string{"Response-Stamp": o.leaf.stamp(id), "Request-Id": id}, []byte("order "+id))
}

// takeExtra reports whether an answer is sent a second time: extraX of the answers in all, and refusals first.
func (o *orders) takeExtra(status int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.credit = min(o.credit+extraX, 2)
	if status != http.StatusServiceUnavailable || o.credit < 1 {
		return false
	}
	o.credit--
	return true
}

// answer writes an answer and, at times, the same answer again a little later.
func (o *orders) answer(c net.Conn, id string, status int, header map[string]string, body []byte) bool {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for k, v := range header {
		b.WriteString(k + ": " + v + "\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	lock, _ := o.locks.LoadOrStore(c, new(sync.Mutex))
	write := func() bool {
		lock.(*sync.Mutex).Lock()
		defer lock.(*sync.Mutex).Unlock()
		_, err := c.Write(b.Bytes())
		return err == nil
	}
	ok := write()
	if ok && o.extra.Load() && o.takeExtra(status) {
		time.AfterFunc(extraLate+time.Duration(rand.Float64()*float64(extraSpread)), func() {
			if write() {
				o.extras.Add(1)
				o.leaf.rec.Log("second_answer", "leaf", o.leaf.ID, "id", id, "status", status, "conn", c.RemoteAddr())
			}
		})
	}
	return ok
}

// twiceAfterSecondAnswer sends more requests that are not idempotent than the leafs of a service can run, while some leafs
// send some of their answers a second time. It counts the requests that run more than once, and those that are refused
// with 503 and have run.
func twiceAfterSecondAnswer(p *play) error {
	f, err := newFleet(p.rec, p.root, []int{3, 3, 2})
	if err != nil {
		return err
	}
	defer f.Close()
	shards := []string{"shard-a", "shard-b", "shard-c", "shard-d"}
	for _, z := range zoneNames {
		for _, s := range shards {
			if _, err := f.Leaf("i-"+s+"-"+z, s, z, 6*time.Millisecond, true); err != nil {
				return err
			}
		}
	}
	var all []*orders
	for k := range orderServices {
		for i, z := range []string{zoneNames[0], zoneNames[1], zoneNames[2], zoneNames[0]} {
			service := fmt.Sprintf("orders-%d", k)
			l, err := startLeaf(p.rec, fmt.Sprintf("i-%s-%d", service, i), service, z, fmt.Sprintf("127.%d.102.%d", f.block, len(all)+1), orderWork, false)
			if err != nil {
				return err
			}
			l.Slots = orderSlots
			o := &orders{leaf: l}
			l.hook = o.handle
			f.leafs = append(f.leafs, l)
			f.Store.Put("servers/"+l.ID, l.entry("ready"))
			all = append(all, o)
		}
	}
	c := config(3, "orders-0", shards)
	routes, services := c["routes"].([]map[string]any), c["services"].([]map[string]any)
	route := routes[1]
	route["type"], route["timeout_ms"], route["slo_ms"] = "unsafe", 4000, 250
	services[0]["max_conns"] = orderConns
	for k := 1; k < orderServices; k++ {
		next, service := maps.Clone(route), maps.Clone(services[0])
		next["name"], next["prefix"], next["service"] = fmt.Sprintf("r-one-%d", k), fmt.Sprintf("/one/%d/", k), fmt.Sprintf("orders-%d", k)
		service["name"] = next["service"]
		routes, services = append(routes, next), append(services, service)
	}
	c["routes"], c["services"] = routes, services
	f.Store.Put("op/config", c)
	if err := f.StartAll(); err != nil {
		return err
	}
	time.Sleep(contactMS + 2*time.Second)

	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	began := time.Now()
	// perSecond is how many requests a second come to all machines now.
	perSecond := func() float64 {
		capacity := float64(len(all)*orderSlots) / orderWork.Seconds()
		if time.Since(began)%(crestFor+troughFor) < crestFor {
			return crest * capacity
		}
		return trough * capacity
	}
	end := time.Now().Add(loadFor)
	if p.trouble {
		wg.Go(func() {
			for time.Now().Before(end) && again.Load() == 0 {
				for i, at := range rand.Perm(len(all)) {
					all[at].extra.Store(float64(i) < extraShare*float64(len(all)))
				}
				time.Sleep(extraFor)
				for _, o := range all {
					o.extra.Store(false)
				}
				time.Sleep(extraPause)
			}
		})
	}
	for _, n := range f.Nodes {
		cl := newClient(p.rec, n)
		wg.Go(func() {
			for i := 0; time.Now().Before(end) && again.Load() == 0; i++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) * float64(len(f.Nodes)) / perSecond()))
				path := "/one/order"
				if k := rand.IntN(orderServices); k > 0 {
					path = fmt.Sprintf("/one/%d/order", k)
				}
				wg.Go(func() {
					a := cl.Do("POST", "one.example", path, 4*time.Second, []byte("order"))
					mu.Lock()
					statuses[a.ID] = a.Status
					mu.Unlock()
				})
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	runs, extras := map[string]int{}, int64(0)
	for _, o := range all {
		extras += o.extras.Load()
		o.leaf.mu.Lock()
		for id, n := range o.leaf.runs {
			runs[id] += n
		}
		o.leaf.mu.Unlock()
	}
	twice, refused, counts := 0, 0, map[int]int{}
	for id, status := range statuses {
		counts[status]++
		if runs[id] > 1 {
			twice++
			p.rec.Say("request %s was answered %d and ran %d times", id, status, runs[id])
		}
		if status == 503 && runs[id] > 0 {
			refused++
			p.rec.Say("request %s was refused with 503 and ran", id)
		}
	}
	p.rec.Say("requests: %d, by status %v; second answers: %d; ran more than once: %d; refused with 503 and ran: %d", len(statuses), counts, extras, twice, refused)
	if twice+refused > 0 {
		return fmt.Errorf("%w: TWICE %d times, REFUSED %d times", errBroken, twice, refused)
	}
	return nil
}
