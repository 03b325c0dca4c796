package fleet

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
)

// signers sign the fleet's bundles; two are needed.
type signers struct {
	path string
	keys map[string]ed25519.PrivateKey
}

// Names of the fleet's signers.
const (
	author   = "a.popescu"
	reviewer = "i.marin"
)

func newSigners(path string) (*signers, error) {
	s := &signers{path: path, keys: map[string]ed25519.PrivateKey{}}
	ring := bundle.Keyring{Threshold: 2}
	for _, name := range []string{author, reviewer} {
		public, private, err := ed25519.GenerateKey(nil)
		if err != nil {
			return nil, fmt.Errorf("key of %s: %w", name, err)
		}
		s.keys[name] = private
		ring.Keys = append(ring.Keys, bundle.Key{Signer: name, Public: public})
	}
	data, err := json.Marshal(ring)
	if err != nil {
		return nil, fmt.Errorf("keyring: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, fmt.Errorf("keyring: %w", err)
	}
	return s, nil
}

// Bundle returns a bundle of the fleet as it stands, with the next version.
func (f *Fleet) Bundle() *bundle.Bundle {
	b := &bundle.Bundle{
		Version: f.version + 1, Name: fmt.Sprintf("fleet-%d", f.version+1), Author: author, Reviewer: reviewer,
		Reason: "demonstration",
		Policy: bundle.Policy{RequiredSigners: 2, ExtraLoadPercent: 5, MaxDeadlineMillis: 5000, DefaultDeadlineMillis: 300},
	}
	for _, z := range f.options.Zones {
		b.Zones = append(b.Zones, bundle.Zone{ID: z, State: bundle.ZoneIn, ReturnSeconds: 2})
	}
	for _, s := range f.options.Services {
		b.Services = append(b.Services, f.service(&s))
	}
	return b
}

func (f *Fleet) service(s *ServiceSpec) bundle.Service {
	out := bundle.Service{ID: s.ID, Slots: s.Slots, ColdSlots: s.ColdSlots, Connections: s.Connections, ConnectMillis: 1}
	for _, t := range f.Targets {
		if t.Service == s.ID {
			out.Targets = append(out.Targets, t.Target)
		}
	}
	snapshot := bundle.Snapshot{ID: Snapshot}
	for i := range s.Shards {
		shard := bundle.Shard{ID: ident.ShardID(fmt.Sprintf("shard-%02d", i))}
		for _, zone := range s.Zones {
			shard.Replicas = append(shard.Replicas, ident.TargetID(fmt.Sprintf("%s-%02d-%s", s.ID, i, zone)))
		}
		snapshot.Shards = append(snapshot.Shards, shard)
	}
	out.Snapshots = []bundle.Snapshot{snapshot}
	return out
}

// Publish signs a bundle by both signers and gives it to the platform.
func (f *Fleet) Publish(ctx context.Context, b *bundle.Bundle) error {
	signed, err := bundle.NewSigned(b)
	if err != nil {
		return err
	}
	for _, name := range []string{author, reviewer} {
		signed.Sign(name, f.signers.keys[name])
	}
	f.version = max(f.version, b.Version)
	return put(ctx, f.Platform+"/admin/bundle", signed)
}

// SetZone publishes the next bundle with one availability zone taken out or put back.
func (f *Fleet) SetZone(ctx context.Context, b *bundle.Bundle, zone ident.Zone, state bundle.ZoneState) (*bundle.Bundle, error) {
	next := *b
	next.Version, next.Zones = f.version+1, slices.Clone(b.Zones)
	next.Name = fmt.Sprintf("zone-%s-%s", zone, state)
	for i := range next.Zones {
		if next.Zones[i].ID == zone {
			next.Zones[i].State = state
		}
	}
	return &next, f.Publish(ctx, &next)
}

// requestTimeout bounds one call of the runner.
const requestTimeout = 10 * time.Second

var client = &http.Client{Timeout: requestTimeout}

// checkTimeout bounds one readiness check, as a balancer does.
const checkTimeout = 250 * time.Millisecond

var checkClient = &http.Client{Timeout: checkTimeout}

func put(ctx context.Context, url string, body any) error {
	_, err := call(ctx, http.MethodPut, url, body, nil)
	return err
}

// Post sends JSON and decodes the JSON answer; it returns the status.
func Post(ctx context.Context, url string, body, into any) (int, error) {
	return call(ctx, http.MethodPost, url, body, into)
}

// Get decodes a JSON answer.
func Get(ctx context.Context, url string, into any) (int, error) {
	return call(ctx, http.MethodGet, url, nil, into)
}

func call(ctx context.Context, method, url string, body, into any) (int, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode: %w", err)
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, fmt.Errorf("read %s: %w", url, err)
	}
	if into == nil && resp.StatusCode >= http.StatusBadRequest {
		return resp.StatusCode, fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, data)
	}
	if into != nil {
		if err := json.Unmarshal(data, into); err != nil {
			return resp.StatusCode, fmt.Errorf("%s: status %d: %w", url, resp.StatusCode, err)
		}
	}
	return resp.StatusCode, nil
}

func status(url string) int { return statusWith(client, url) }

func statusWith(c *http.Client, url string) int {
	resp, err := c.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// SetPlatformDown makes every read of the platform fail, or succeed again.
func (f *Fleet) SetPlatformDown(ctx context.Context, down bool) error {
	return put(ctx, fmt.Sprintf("%s/admin/down?value=%t", f.Platform, down), nil)
}
