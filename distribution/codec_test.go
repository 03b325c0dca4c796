package distribution

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/klauspost/compress/zstd"
	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/config"
	peerv1 "teaselbank.example/teaselbank/gen/teaselbank/peer/v1"
	"teaselbank.example/teaselbank/membership"
)

// A small frame that decompresses to far more than a bundle must be refused before it exhausts memory, whether or not
// it declares its content size.
func TestDecompressionBomb(t *testing.T) {
	bomb, err := encodeWhole(make([]byte, 64*bundle.MaxBytes))
	require.NoError(t, err)
	require.Less(t, len(bomb), bundle.MaxBytes)
	_, err = DecodeFrame(bomb, nil)
	require.ErrorIs(t, err, bundle.ErrTooLarge)

	var undeclared bytes.Buffer
	w, err := zstd.NewWriter(&undeclared)
	require.NoError(t, err)
	_, err = w.Write(make([]byte, 64*bundle.MaxBytes))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	_, err = DecodeFrame(undeclared.Bytes(), nil)
	require.ErrorIs(t, err, errEncoding)

	small, err := encodeWhole(make([]byte, bundle.MaxBytes/2))
	require.NoError(t, err)
	_, err = DecodeFrame(bytes.Repeat(small, 3), nil)
	require.Error(t, err, "concatenated frames that exceed the size declared by the first must be refused")
}

// A pushed payload that was tampered with, is unsigned, malformed, too large or empty must not change the bundle in
// force.
func TestBadPayloadsChangeNothing(t *testing.T) {
	clock := clockwork.NewFakeClock()
	self := membership.Member{ID: "vm", Zone: "z", State: membership.Alive}
	d := New(Options{Clock: clock, Store: config.NewStore(clock, trust.Keyring),
		Viewer: staticView{membership.NewView(self, nil, 1, clock.Now())}})
	require.Equal(t, config.Accepted, d.Offer(version(1)).Verdict)
	good := version(2)
	payload, _, _ := strings.Cut(string(good), `,"signatures"`)
	digest := bytes.Repeat([]byte{1}, 32)
	for name, raw := range map[string][]byte{
		"tampered":   []byte(strings.Replace(string(good), `"winter"`, `"summer"`, 1)),
		"unsigned":   []byte(payload + `,"signatures":[]}`),
		"ill-formed": good[:len(good)/2],
		"oversized":  make([]byte, bundle.MaxBytes+1),
		"empty":      nil,
	} {
		resp := d.HandlePush(&peerv1.PushRequest{Payload: &peerv1.BundlePayload{Version: 2, Digest: digest, Encoding: EncodingIdentity, Data: raw}})
		require.Equal(t, string(config.Refused), resp.GetResult(), name)
		require.Equal(t, uint64(1), resp.GetHaveVersion(), name)
	}
	resp := d.HandlePush(&peerv1.PushRequest{Payload: &peerv1.BundlePayload{Version: 2, Digest: digest, Encoding: EncodingDelta, Data: good}})
	require.Equal(t, resultNeedWhole, resp.GetResult())
	// A header with a higher version than that of the bundle in the message must not get another bundle accepted.
	resp = d.HandlePush(&peerv1.PushRequest{Payload: &peerv1.BundlePayload{Version: 9, Digest: digest, Encoding: EncodingIdentity, Data: variant(1, "x")}})
	require.Equal(t, string(config.Conflict), resp.GetResult())
}

// Bundles must arrive unchanged over a real HTTP connection, whole and as a delta.
func TestConnect(t *testing.T) {
	clock := clockwork.NewRealClock()
	self := membership.Member{ID: "vm", Zone: "z", State: membership.Alive}
	d := New(Options{Clock: clock, Store: config.NewStore(clock, trust.Keyring),
		Viewer: staticView{membership.NewView(self, nil, 1, clock.Now())}})
	_, handler := NewServer(d).Handler()
	server := httptest.NewServer(handler)
	defer server.Close()
	client := NewClient(server.Client())
	to := membership.Member{Address: strings.TrimPrefix(server.URL, "http://")}

	raw := version(1)
	resp, err := client.Push(t.Context(), to, &peerv1.PushRequest{Payload: &peerv1.BundlePayload{Version: 1, Encoding: EncodingIdentity, Data: raw}})
	require.NoError(t, err)
	require.Equal(t, string(config.Accepted), resp.GetResult())
	fetched, err := client.Fetch(t.Context(), to, &peerv1.FetchRequest{})
	require.NoError(t, err)
	got, err := decode(fetched.GetPayload(), d.history.payload)
	require.NoError(t, err)
	require.Equal(t, raw, got)

	base, first := d.Version()
	require.Equal(t, config.Accepted, d.Offer(version(2)).Verdict)
	fetched, err = client.Fetch(t.Context(), to, &peerv1.FetchRequest{HaveVersion: base, HaveDigest: first})
	require.NoError(t, err)
	require.Equal(t, EncodingDelta, fetched.GetPayload().GetEncoding())
	got, err = decode(fetched.GetPayload(), d.history.payload)
	require.NoError(t, err)
	require.Equal(t, version(2), got)
}

// Frames come from other VMs, so no input may make the decoder panic or return more bytes than a bundle may have.
func FuzzDecodeFrame(f *testing.F) {
	base := version(1)
	whole, err := encodeWhole(base)
	require.NoError(f, err)
	delta, err := EncodeDelta(version(2), base)
	require.NoError(f, err)
	f.Add(whole, false)
	f.Add(delta, true)
	f.Fuzz(func(t *testing.T, data []byte, withBase bool) {
		var dict []byte
		if withBase {
			dict = base
		}
		raw, err := DecodeFrame(data, dict)
		if err == nil && len(raw) > bundle.MaxBytes {
			t.Fatalf("decoded %d bytes, more than bundle.MaxBytes", len(raw))
		}
	})
}
