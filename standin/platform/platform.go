// Package platform is a small stand-in for the platform's configuration service: it can be read and watched, counts
// each call, and can be down or stale; its list of VMs lags.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/platformclient"
)

// Platform is a running stand-in.
type Platform struct {
	lag time.Duration

	mu      sync.Mutex
	raw     []byte
	version uint64
	changed chan struct{}
	vms     []platformclient.VM
	// older lists keep what readers see until the lag has passed.
	seen  []platformclient.VM
	since time.Time
	down  bool
	calls Calls
}

// Calls counts reads.
type Calls struct {
	Bundle int `json:"bundle"`
	VMs    int `json:"vms"`
	// Waiting is how many watches wait now.
	Waiting int `json:"waiting"`
}

// New returns a platform whose list of VMs lags by the given time.
func New(lag time.Duration) *Platform {
	return &Platform{lag: lag, changed: make(chan struct{})}
}

// Publish replaces the published bundle, also with an older one; the stand-in checks nothing but its version.
func (p *Platform) Publish(raw []byte) error {
	signed, err := bundle.DecodeSigned(raw)
	if err != nil {
		return err
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(signed.Payload, &head); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raw, p.version = raw, head.Version
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// SetVMs replaces the list of VMs; readers see it after the lag.
func (p *Platform) SetVMs(vms []platformclient.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen, p.vms, p.since = p.visible(), vms, time.Now()
}

// SetDown makes every read fail, or succeed again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	// A platform that fails answers no waiting watch either.
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns the counters.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) visible() []platformclient.VM {
	if p.seen != nil && time.Since(p.since) < p.lag {
		return p.seen
	}
	return p.vms
}

// Handler serves the read interface and an administration interface for tests.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/bundle", p.getBundle)
	mux.HandleFunc("GET /v1/vms", p.getVMs)
	mux.HandleFunc("PUT /admin/bundle", p.putBundle)
	mux.HandleFunc("PUT /admin/vms", p.putVMs)
	mux.HandleFunc("PUT /admin/down", func(_ http.ResponseWriter, r *http.Request) { p.SetDown(r.URL.Query().Get("value") == "true") })
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(p.Calls()) })
	return mux
}

func (p *Platform) getBundle(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timer := time.NewTimer(time.Duration(wait) * time.Second)
	defer timer.Stop()
	p.count(func(c *Calls) { c.Bundle++; c.Waiting++ })
	defer p.count(func(c *Calls) { c.Waiting-- })
	for {
		p.mu.Lock()
		raw, version, changed, down := p.raw, p.version, p.changed, p.down
		p.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		// A stale platform may offer an older version; it does so only to a reader that asks without one.
		if raw != nil && version > after {
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) count(f func(*Calls)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.calls)
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.calls.VMs++
	vms, down := p.visible(), p.down
	p.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(vms)
}

func (p *Platform) putBundle(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, bundle.MaxBytes+1))
	if err == nil {
		err = p.Publish(raw)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platformclient.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
}
