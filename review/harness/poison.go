package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	// heartbeat is heartbeat_ms; the entry of a silent leaf is removed after three of them.
	heartbeat = 1200 * time.Millisecond
	// leafBack is how long a crashed leaf is away.
	leafBack = 2500 * time.Millisecond
	// rollGap is gap_s of roll_term in a day of the site file, with share = 1.0.
	rollGap = 2 * time.Second
	// graceS is grace_s.
	graceS = 6 * time.Second
	// rolls is how often the machines are stopped and started in turn.
	rolls = 3
	// maxLateRetries is what the rule allows.
	maxLateRetries = 3
)

func init() { cases["poison-after-roll"] = poisonAfterRoll }

// poisoned is a service whose leafs crash when they begin to run the request to poisonPath.
type poisoned struct {
	f  *Fleet
	mu sync.Mutex
	n  int
	// crashes holds the times of the crashes, ran the ids of the attempts that reached leafs.
	crashes []time.Time
	ran     map[string]bool
}

const poisonPath = "/one/poison"

func (p *poisoned) add(zone string) error {
	p.mu.Lock()
	p.n++
	id := fmt.Sprintf("i-single-%d", p.n)
	p.mu.Unlock()
	l, err := startLeaf(p.f.rec, id, "single", zone, fmt.Sprintf("127.%d.101.%d", p.f.block, p.n%250+1), 6*time.Millisecond, false)
	if err != nil {
		return err
	}
	l.hook = func(_ net.Conn, r *http.Request, _ []byte) (done, keep bool) {
		if r.URL.Path != poisonPath {
			return false, true
		}
		l.began(r, r.Header.Get("Request-Id"))
		p.crash(l, r.Header.Get("Request-Id"))
		return true, false
	}
	p.f.mu.Lock()
	p.f.leafs = append(p.f.leafs, l)
	p.f.mu.Unlock()
	p.f.Store.Put("servers/"+id, l.entry("ready"))
	return nil
}

func (p *poisoned) crash(l *Leaf, id string) {
	p.f.rec.Log("crash", "leaf", l.ID, "id", id)
	l.Exit()
	p.mu.Lock()
	p.crashes = append(p.crashes, time.Now())
	p.ran[id] = true
	p.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { p.f.Store.Delete("servers/" + l.ID) })
	time.AfterFunc(leafBack, func() { _ = p.add(l.Zone) })
}

func (p *poisoned) crashCount() (n int, third time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) >= 3 {
		third = p.crashes[2]
	}
	return len(p.crashes), third
}

// touch knows when each machine was last disturbed.
type touch struct {
	mu   sync.Mutex
	last map[string]time.Time
	down map[string]bool
}

func (t *touch) disturb(name string, down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last[name], t.down[name] = time.Now(), down
}

func (t *touch) inTouch(name string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.down[name] && at.Sub(t.last[name]) > contactMS
}

// poisonAfterRoll sends a request that crashes each leaf that begins to run it, again and again at any machine, while the
// machines are stopped and started in turn. It counts the attempts that reach leafs by way of machines in touch, later than
// contact_ms after the third crash.
func poisonAfterRoll(p *play) error {
	f, err := newFleet(p.rec, p.root, []int{3, 3, 2})
	if err != nil {
		return err
	}
	defer f.Close()
	service := &poisoned{f: f, ran: map[string]bool{}}
	shards := []string{"shard-a", "shard-b", "shard-c", "shard-d"}
	for _, z := range zoneNames {
		for _, s := range shards {
			if _, err := f.Leaf("i-"+s+"-"+z, s, z, 6*time.Millisecond, true); err != nil {
				return err
			}
		}
		for range 4 {
			if err := service.add(z); err != nil {
				return err
			}
		}
	}
	f.Store.Put("op/config", config(3, "single", shards))
	if err := f.StartAll(); err != nil {
		return err
	}
	time.Sleep(contactMS + 2*time.Second)
	t := &touch{last: map[string]time.Time{}, down: map[string]bool{}}
	late := 0
	send := func() int {
		n := f.Nodes[rand.IntN(len(f.Nodes))]
		for !f.ready(n) {
			n = f.Nodes[rand.IntN(len(f.Nodes))]
		}
		at, before := time.Now(), t.inTouch(n.Name, time.Now())
		_, third := service.crashCount()
		c := newClient(p.rec, n)
		a := c.Do("GET", "one.example", poisonPath, 5*time.Second, nil)
		c.http.CloseIdleConnections()
		service.mu.Lock()
		ran := service.ran[a.ID]
		service.mu.Unlock()
		if ran && !third.IsZero() && at.Sub(third) > contactMS && before && t.inTouch(n.Name, time.Now()) {
			late++
			p.rec.Say("an attempt reaches leafs by way of %s, %.1f s after the third crash", n.Name, at.Sub(third).Seconds())
		}
		return a.Status
	}
	// comeAgain sends the request some times. Its client repeats it once after a failure, unless it is told when to come back.
	comeAgain := func() {
		for range 3 {
			if send() != http.StatusServiceUnavailable {
				time.Sleep(300 * time.Millisecond)
				send()
			}
			time.Sleep(time.Second)
		}
	}
	comeAgain()
	crashes, _ := service.crashCount()
	p.rec.Say("leafs crashed before the machines are stopped in turn: %d", crashes)
	for range rolls {
		if err := roll(p, f, t); err != nil {
			return err
		}
		time.Sleep(contactMS + time.Second)
		comeAgain()
	}
	crashes, _ = service.crashCount()
	p.rec.Say("leafs crashed in all: %d; attempts that reached leafs by way of machines in touch, later than contact_ms after the third crash: %d, of at most %d", crashes, late, maxLateRetries)
	if late > maxLateRetries {
		return fmt.Errorf("%w: BUDGET, %d such attempts", errBroken, late)
	}
	return nil
}

// roll stops and starts all machines in turn, or waits as long without the disruption.
func roll(p *play, f *Fleet, t *touch) error {
	if !p.trouble {
		time.Sleep(time.Duration(len(f.Nodes))*rollGap + 7*time.Second)
		return nil
	}
	p.rec.Say("the machines are stopped and started in turn")
	var ends sync.WaitGroup
	for _, n := range f.Nodes {
		ends.Go(func() {
			t.disturb(n.Name, true)
			f.Signal(n, syscall.SIGTERM)
			kill := time.AfterFunc(graceS, func() { f.Signal(n, syscall.SIGKILL) })
			_ = n.cmd.Wait()
			kill.Stop()
			time.Sleep(500 * time.Millisecond)
			if err := f.Start(n); err != nil {
				p.rec.Say("%v", err)
			}
			t.disturb(n.Name, false)
		})
		time.Sleep(rollGap)
	}
	ends.Wait()
	return f.WaitReady(20 * time.Second)
}
