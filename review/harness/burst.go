package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case. The storm is that of the site file brennock-pumpdesk: for_s = 2.0, gap_s = 0.08.
const (
	applyMS  = 3000 * time.Millisecond
	stormFor = 2 * time.Second
	stormGap = 80 * time.Millisecond
	// valueBytes is value_bytes of the settings.
	valueBytes = 1 << 20
	// watched is how long the requests are judged after the last change, once applyMS has passed.
	watched = 8 * time.Second
)

func init() { cases["config-burst"] = configBurst }

// bigConfig returns a configuration whose route r-one leads to the given service, with many other routes.
func bigConfig(version int, single string, extra int) map[string]any {
	c := config(version, single, []string{"shard-a", "shard-b", "shard-c", "shard-d"})
	routes := c["routes"].([]map[string]any)
	for i := range extra {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-more-%05d", i), "host": fmt.Sprintf("h%05d.example", i), "prefix": fmt.Sprintf("/more%05d/", i),
			"type": "safe", "timeout_ms": 5000, "slo_ms": 800, "priority": 2, "service": "first", "max_attempts": 2})
	}
	c["routes"] = routes
	return c
}

// configBurst writes configurations in quick succession. The last one leads a route to another service. It counts the
// requests that the old service runs later than apply_ms after the confirmation of the last one. Without the disruption
// the same configurations come one by one.
func configBurst(p *play) error {
	f, err := newFleet(p.rec, p.root, []int{3, 3, 2})
	if err != nil {
		return err
	}
	defer f.Close()
	byService := map[string][]*Leaf{}
	for _, s := range []string{"first", "second", "shard-a", "shard-b", "shard-c", "shard-d"} {
		for _, z := range zoneNames {
			l, err := f.Leaf("i-"+s+"-"+z, s, z, 6*time.Millisecond, s != "first" && s != "second")
			if err != nil {
				return err
			}
			byService[s] = append(byService[s], l)
		}
	}
	extra := 0
	for size := 0; size < valueBytes/2; extra += 50 {
		data, _ := json.Marshal(bigConfig(3, "first", extra))
		size = len(data)
	}
	data, _ := json.Marshal(bigConfig(3, "first", extra))
	p.rec.Say("a configuration has %d routes and %d bytes, of at most %d", extra+2, len(data), valueBytes)
	f.Store.Put("op/config", bigConfig(3, "first", extra))
	if err := f.StartAll(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var judged, old, unserved atomic.Int64
	var judgeFrom atomic.Int64
	for _, n := range f.Nodes {
		c := newClient(p.rec, n)
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := c.Do("GET", "one.example", "/one/a", 5*time.Second, nil)
				if from := judgeFrom.Load(); from == 0 || a.Sent.UnixNano() < from {
					continue
				}
				judged.Add(1)
				if ranBy(byService["first"], a.ID) {
					old.Add(1)
				} else if a.Err != nil || a.Status != 200 {
					unserved.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	gap, version := stormGap, 3
	if !p.trouble {
		gap = 2 * time.Second
	}
	count := int(stormFor / stormGap)
	if !p.trouble {
		count = 5
	}
	for i := range count {
		version += 1 + i%3
		service := "first"
		if i == count-1 {
			service = "second"
		}
		started := time.Now()
		at, rev := f.Store.Put("op/config", bigConfig(version, service, extra))
		if service == "second" {
			judgeFrom.Store(at.Add(applyMS).UnixNano())
			p.rec.Say("the store confirms version %d at revision %d: route r-one leads to service second", version, rev)
			break
		}
		time.Sleep(gap - time.Since(started))
	}
	time.Sleep(applyMS + watched)
	close(stop)
	wg.Wait()
	p.rec.Say("%d requests were sent later than apply_ms after the confirmation: %d were run by the old service, %d were not served; the largest answer to a watch had %d bytes", judged.Load(), old.Load(), unserved.Load(), f.Store.largest)
	if old.Load() > 0 {
		return fmt.Errorf("%w: CONFIG, %d of %d requests ran by the old service", errBroken, old.Load(), judged.Load())
	}
	return nil
}

// ranBy reports whether one of the leafs ran the request.
func ranBy(leafs []*Leaf, id string) bool {
	for _, l := range leafs {
		l.mu.Lock()
		n := l.runs[id]
		l.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
