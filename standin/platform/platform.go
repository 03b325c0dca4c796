// Package platform implements a small stand-in for the platform's configuration service. The published bundle can be
// read and watched, and the list of VMs can be read. Reads are counted; the service can be made to fail, to offer an
// older bundle, and to return its list of VMs with a delay.
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

// Platform is a stand-in platform. It is safe for concurrent use.
type Platform struct {
	lag time.Duration

	mu sync.Mutex
	// raw is the published signed bundle, nil before the first publication; version is the version of its payload.
	raw     []byte
	version uint64
	// changed is closed and replaced to wake waiting watches.
	changed chan struct{}
	// vms is the latest list of VMs; readers get laggedVMs, if set, until lag has passed since vmsChangedAt.
	vms          []platformclient.VM
	laggedVMs    []platformclient.VM
	vmsChangedAt time.Time
	down         bool
	calls        Calls
}

// Calls counts the reads of the bundle and of the list of VMs, including those that fail because the platform is down.
type Calls struct {
	Bundle int `json:"bundle"`
	VMs    int `json:"vms"`
	// Waiting is the number of bundle reads in progress, which are mostly waiting watches.
	Waiting int `json:"waiting"`
}

// New returns a platform without a bundle, whose readers see a changed list of VMs after the given lag.
func New(lag time.Duration) *Platform {
	return &Platform{lag: lag, changed: make(chan struct{})}
}

// Publish replaces the published signed bundle, whose version may be lower than the current one. It returns an error if
// the bundle or the version in its payload cannot be decoded; signatures are not checked.
func (p *Platform) Publish(raw []byte) error {
	signed, err := bundle.DecodeSigned(raw)
	if err != nil {
		return err
	}
	var header struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(signed.Payload, &header); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.raw, p.version = raw, header.Version
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// SetVMs replaces the list of VMs. Readers see the first list at once and each later one after the lag.
func (p *Platform) SetVMs(vms []platformclient.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.laggedVMs, p.vms, p.vmsChangedAt = p.visibleVMs(), vms, time.Now()
}

// SetDown sets whether every read fails with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	// Wakes waiting watches, so that they fail at once as well.
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns a copy of the counters.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// visibleVMs returns the list of VMs that readers see now. The caller holds p.mu.
func (p *Platform) visibleVMs() []platformclient.VM {
	if p.laggedVMs != nil && time.Since(p.vmsChangedAt) < p.lag {
		return p.laggedVMs
	}
	return p.vms
}

// Handler returns the handler of the platform's read API and of an administration API for tests.
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

// getBundle returns the published bundle if its version is above the query parameter after. Otherwise it waits for such
// a bundle, at most for the query parameter wait in seconds, and returns status 204 if none is published in that time.
func (p *Platform) getBundle(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timer := time.NewTimer(time.Duration(wait) * time.Second)
	defer timer.Stop()
	p.updateCalls(func(c *Calls) { c.Bundle++; c.Waiting++ })
	defer p.updateCalls(func(c *Calls) { c.Waiting-- })
	for {
		p.mu.Lock()
		raw, version, changed, down := p.raw, p.version, p.changed, p.down
		p.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		// If an older bundle has been published again, a reader that already has a newer one does not get it; a reader
		// without a bundle, whose after is 0, does.
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

func (p *Platform) updateCalls(update func(*Calls)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.calls)
}

func (p *Platform) getVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.calls.VMs++
	vms, down := p.visibleVMs(), p.down
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
