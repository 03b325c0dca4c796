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

// signers holds the private keys of the two signers of the fleet's bundles; the keyring requires both signatures.
type signers struct {
	// keyringPath is the path of the file with the public keyring.
	keyringPath string
	// keys holds the private key of each signer by name.
	keys map[string]ed25519.PrivateKey
}

// Names of the fleet's signers.
const (
	author   = "a.popescu"
	reviewer = "i.marin"
)

// newSigners generates the keys of both signers and writes the public keyring to the file at path.
func newSigners(path string) (*signers, error) {
	s := &signers{keyringPath: path, keys: map[string]ed25519.PrivateKey{}}
	keyring := bundle.Keyring{Threshold: 2}
	for _, name := range []string{author, reviewer} {
		public, private, err := ed25519.GenerateKey(nil)
		if err != nil {
			return nil, fmt.Errorf("generate key of signer %s: %w", name, err)
		}
		s.keys[name] = private
		keyring.Keys = append(keyring.Keys, bundle.Key{Signer: name, Public: public})
	}
	data, err := json.Marshal(keyring)
	if err != nil {
		return nil, fmt.Errorf("encode keyring: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, fmt.Errorf("write keyring: %w", err)
	}
	return s, nil
}

// Bundle returns a new bundle with the next version, all availability zones in and all targets of the fleet serving.
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

// service returns the bundle's entry for a service.
func (f *Fleet) service(s *ServiceSpec) bundle.Service {
	out := bundle.Service{ID: s.ID, Slots: s.Slots, ColdSlots: s.ColdSlots, Connections: s.Connections, ConnectMillis: 1}
	for _, t := range f.Targets {
		if t.Service == s.ID {
			out.Targets = append(out.Targets, t.Target)
		}
	}
	snapshot := bundle.Snapshot{ID: SnapshotID}
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

// Publish signs a bundle with the keys of both signers and publishes it on the platform.
func (f *Fleet) Publish(ctx context.Context, b *bundle.Bundle) error {
	signed, err := bundle.NewSigned(b)
	if err != nil {
		return err
	}
	for _, name := range []string{author, reviewer} {
		signed.Sign(name, f.signers.keys[name])
	}
	f.version = max(f.version, b.Version)
	return put(ctx, f.PlatformURL+"/admin/bundle", signed)
}

// SetZone publishes and returns a copy of bundle b with the next version, in which the zone has the given state.
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

// requestTimeout bounds one HTTP request other than a readiness check.
const requestTimeout = 10 * time.Second

var client = &http.Client{Timeout: requestTimeout}

// readinessTimeout bounds one readiness check, like the health check timeout of a load balancer.
const readinessTimeout = 250 * time.Millisecond

var readinessClient = &http.Client{Timeout: readinessTimeout}

func put(ctx context.Context, url string, body any) error {
	_, err := call(ctx, http.MethodPut, url, body, nil)
	return err
}

// Post sends body as JSON, decodes the JSON response into result and returns the status code. A status of 400 or above
// is an error only if result is nil, in which case the response body is not decoded.
func Post(ctx context.Context, url string, body, result any) (int, error) {
	return call(ctx, http.MethodPost, url, body, result)
}

// Get fetches the URL, decodes the JSON response into result and returns the status code, like Post.
func Get(ctx context.Context, url string, result any) (int, error) {
	return call(ctx, http.MethodGet, url, nil, result)
}

func call(ctx context.Context, method, url string, body, result any) (int, error) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode request body: %w", err)
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return 0, fmt.Errorf("create request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, fmt.Errorf("read response of %s: %w", url, err)
	}
	if result == nil && resp.StatusCode >= http.StatusBadRequest {
		return resp.StatusCode, fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, data)
	}
	if result != nil {
		if err := json.Unmarshal(data, result); err != nil {
			return resp.StatusCode, fmt.Errorf("decode response of %s with status %d: %w", url, resp.StatusCode, err)
		}
	}
	return resp.StatusCode, nil
}

// statusCode returns the status code of a GET request, or 0 if there was no response.
func statusCode(url string) int { return statusCodeWith(client, url) }

func statusCodeWith(c *http.Client, url string) int {
	resp, err := c.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// SetPlatformDown sets whether every read of the platform fails.
func (f *Fleet) SetPlatformDown(ctx context.Context, down bool) error {
	return put(ctx, fmt.Sprintf("%s/admin/down?value=%t", f.PlatformURL, down), nil)
}
