package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// drainMS is drain_ms of the settings.
const drainMS = 3000 * time.Millisecond

// servesOn is how much longer than drain_ms the leaf serves.
const servesOn = 6 * time.Second

func init() { cases["drain-after-kill"] = drainAfterKill }

// rounds is how often drainAfterKill replaces a leaf, until the rule breaks.
const rounds = 6

// drainAfterKill replaces leafs that do not report draining, one in each round. The entry of the old leaf is removed while
// the processes that follow the store are down for a moment, after they were killed together. It counts the requests that
// reach the old leaf later than drain_ms after the removal by way of machines that were left alone for contact_ms and more.
func drainAfterKill(p *play) error {
	f, err := newFleet(p.rec, p.root, []int{3, 3, 2})
	if err != nil {
		return err
	}
	defer f.Close()
	shards := []string{"shard-a", "shard-b", "shard-c", "shard-d"}
	var old []*Leaf
	for i, s := range append([]string{"single", "single"}, shards...) {
		for _, z := range zoneNames {
			l, err := f.Leaf(fmt.Sprintf("i-%s-%s-%d", s, z, i), s, z, 6*time.Millisecond, s != "single")
			if err != nil {
				return err
			}
			if s == "single" {
				old = append(old, l)
			}
		}
	}
	f.Store.Put("op/config", config(3, "single", shards))
	if err := f.StartAll(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, n := range f.Nodes {
		c := newClient(p.rec, n)
		wg.Go(func() { c.steady(stop) })
	}
	defer func() {
		close(stop)
		wg.Wait()
	}()
	for round := range rounds {
		if err := replaceLeaf(p, f, old[round], round); err != nil {
			return err
		}
	}
	return nil
}

// steady sends requests of both routes in turn until stop is closed.
func (c *Client) steady(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		if i%2 == 0 {
			c.Do("GET", "one.example", "/one/a", 5*time.Second, nil)
		} else {
			c.Do("GET", "all.example", "/all/a", 1200*time.Millisecond, nil)
		}
	}
}

// awaitFollowers returns the machines that wait in a watch at the store, once they are no more than share of all.
func awaitFollowers(f *Fleet) ([]*Node, error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		names := f.Store.watchers()
		if len(names) == 0 || float64(len(names)) > killShare*float64(len(f.Nodes)) {
			continue
		}
		var nodes []*Node
		for _, name := range names {
			nodes = append(nodes, f.node(name))
		}
		return nodes, nil
	}
	return nil, fmt.Errorf("too many machines follow the store: %v", f.Store.watchers())
}

// killShare is the largest share of the machines that are killed at once, that of herd_kill in the site file.
const killShare = 0.55

func replaceLeaf(p *play, f *Fleet, leaving *Leaf, round int) error {
	followers, err := awaitFollowers(f)
	if err != nil {
		return err
	}
	// The successor starts first.
	if _, err := f.Leaf(fmt.Sprintf("i-new-%d", round), leaving.Service, leaving.Zone, leaving.Work, false); err != nil {
		return err
	}
	time.Sleep(700 * time.Millisecond)
	killed := map[string]bool{}
	if p.trouble {
		for _, n := range followers {
			killed[n.Name] = true
			f.Signal(n, syscall.SIGKILL)
		}
		for _, n := range followers {
			_ = n.cmd.Wait()
		}
		time.Sleep(200 * time.Millisecond)
	}
	removed, revision := f.Store.Delete("servers/" + leaving.ID)
	p.rec.Say("round %d: killed %d of %d machines; the store confirms at revision %d that %s is gone, the leaf goes on serving", round+1, len(killed), len(f.Nodes), revision, leaving.ID)
	if p.trouble {
		time.Sleep(200 * time.Millisecond)
		for _, n := range followers {
			if err := f.Start(n); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(removed.Add(drainMS)))
	leaving.runsOf(killed, f) // forget the requests before the bound
	time.Sleep(servesOn)
	late := leaving.runsOf(killed, f)
	leaving.Exit()
	p.rec.Say("round %d: %d requests reached %s from %s to %s after the confirmation, sent on by machines that were left alone", round+1, late, leaving.ID, drainMS, drainMS+servesOn)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN, %d requests later than %s after the confirmation", errBroken, late, drainMS)
	}
	return nil
}

// runsOf returns how many requests the leaf has run since the last call that did not come by way of the given machines.
func (l *Leaf) runsOf(without map[string]bool, f *Fleet) int {
	l.mu.Lock()
	ids := l.runs
	l.runs = map[string]int{}
	l.mu.Unlock()
	n := 0
	for id := range ids {
		if machine, ok := f.sentTo(id); ok && !without[machine] {
			n++
		}
	}
	return n
}
