package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the largest number of items in one page of kv-range.
const pageItems = 500

// Store is a stand-in of the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []stamped
	// lost is the revision up to which the history was dropped because of its age.
	lost    uint64
	changed chan struct{}
	// watching counts the waiting watches by name of the caller.
	watching map[string]int
	// largest is the size in bytes of the largest response to a watch.
	largest int
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type stamped struct {
	item
	at time.Time
}

func newStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), watching: map[string]int{}}
}

// serve opens one more address of the store, for the calls of one machine.
func (s *Store) serve(addr, caller string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(w, r, caller) })
	mux.HandleFunc("GET /api/kv-key", s.get)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return nil
}

// Put writes a value as JSON and returns when the store has confirmed it, and with which revision.
func (s *Store) Put(key string, value any) (time.Time, uint64) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: data})
}

// Delete removes a key and returns when the store has confirmed it, and with which revision.
func (s *Store) Delete(key string) (time.Time, uint64) {
	return s.write(item{Key: key, Tombstone: true})
}

func (s *Store) write(it item) (time.Time, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	it.Created = s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	now := time.Now()
	s.history = append(s.history, stamped{it, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyAge {
		s.lost = s.history[0].Revision
		s.history = s.history[1:]
	}
	if it.Tombstone {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return now, s.revision
}

// historyAge is history_s of the settings.
const historyAge = 20 * time.Second

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.respond(w, it)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	rev := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size, n := 0, 0
	for n < len(found) && n < pageItems && (n == 0 || size+len(found[n].Value) <= 1<<20) {
		size += len(found[n].Value)
		n++
	}
	s.respond(w, map[string]any{"items": found[:n], "truncated": n < len(found), "as_of": rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, caller string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	s.mu.Lock()
	s.watching[caller]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watching[caller]--
		s.mu.Unlock()
	}()
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, rev, gone := s.changed, s.revision, after < s.lost
		for len(s.history) > 0 && time.Since(s.history[0].at) > historyAge {
			s.lost = s.history[0].Revision
			s.history = s.history[1:]
		}
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e.item)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			n := s.respond(w, map[string]any{"events": events, "as_of": rev})
			s.mu.Lock()
			s.largest = max(s.largest, n)
			s.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.respond(w, map[string]any{"events": events, "as_of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) respond(w http.ResponseWriter, v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	time.Sleep(storeDelay)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
	return len(data)
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// watchers returns the callers that wait in a watch now.
func (s *Store) watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, n := range s.watching {
		if n > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
