// Package platformclient is a read-only client of the platform's configuration service, which holds the published bundle
// and the list of VMs.
package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselbank.example/teaselbank/bundle"
)

// Limits on a read.
const (
	maxVMListBytes = 1 << 20
	// maxEntryBytes bounds the fields of one entry of the list, which are sent to other VMs.
	maxEntryBytes = 512
	readTimeout   = 3 * time.Second
	// watchMargin is how much longer than its wait a long poll may take before it is abandoned.
	watchMargin = 5 * time.Second
)

// VM is one entry of the platform's list of VMs, which lags behind the actual state of the fleet.
type VM struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peer_address"`
	Leaving     bool   `json:"leaving"`
}

// Client reads the configuration service of one platform.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the service at the base URL.
func New(base string) *Client {
	return &Client{base: strings.TrimRight(base, "/"), http: &http.Client{}}
}

// Bundle returns the encoded bundle as published, if its version is higher than after. It waits up to wait, rounded down
// to whole seconds, for such a bundle and returns nil without an error if there is none.
func (c *Client) Bundle(ctx context.Context, after uint64, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	url := fmt.Sprintf("%s/v1/bundle?after=%d&wait=%d", c.base, after, int(wait.Seconds()))
	return c.get(ctx, url, bundle.MaxBytes)
}

// VMs returns the platform's list of VMs, without the entries that can't be those of a VM, and the number of these.
func (c *Client) VMs(ctx context.Context) (vms []VM, unreadable int, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	data, err := c.get(ctx, c.base+"/v1/vms", maxVMListBytes)
	if err != nil {
		return nil, 0, err
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, 0, fmt.Errorf("decode platform VM list: %w", err)
	}
	for _, entry := range entries {
		var vm VM
		if json.Unmarshal(entry, &vm) != nil || !vm.valid() {
			unreadable++
			continue
		}
		vms = append(vms, vm)
	}
	return vms, unreadable, nil
}

// valid reports whether the entry can be that of a VM.
func (vm *VM) valid() bool {
	_, port, err := net.SplitHostPort(vm.PeerAddress)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0 && vm.ID != "" && len(vm.ID)+len(vm.Zone)+len(vm.PeerAddress) <= maxEntryBytes
}

func (c *Client) get(ctx context.Context, url string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("create platform request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call platform: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent, http.StatusNotModified:
		return nil, nil
	default:
		return nil, fmt.Errorf("platform returned status %d for %s", resp.StatusCode, req.URL.Path)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read platform response to %s: %w", req.URL.Path, err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("platform response to %s exceeds %d bytes", req.URL.Path, limit)
	}
	return data, nil
}
