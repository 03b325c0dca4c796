package main

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/bundle"
)

// openListeners opens a listener on each of three addresses, and returns the listeners and flags that make the daemon
// use these addresses and a platform URL on which nothing listens.
func openListeners(t *testing.T) ([]net.Listener, []string) {
	t.Helper()
	ring := bundle.Keyring{Threshold: 1, Keys: []bundle.Key{{Signer: "ana", Public: make([]byte, ed25519.PublicKeySize)}}}
	data, err := json.Marshal(ring)
	require.NoError(t, err)
	args := []string{"--vm-id=vm-1", "--zone=petrosani", "--root-keyring=" + string(data), "--balancer-delay=0s"}
	var open []net.Listener
	for _, flag := range []string{"--caller-listen", "--peer-listen", "--ops-listen"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		open = append(open, l)
		args = append(args, flag+"="+l.Addr().String())
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	return open, append(args, "--platform-url=http://"+closed.Addr().String())
}

// Guards against a daemon that opens a listener although settings are not valid. All its addresses are in use, so
// opening one would give the exit code of a failed start.
func TestBadSettingsOpenNothing(t *testing.T) {
	_, args := openListeners(t)
	var stderr bytes.Buffer
	code := run(append(args, "--drain-timeout=abc", "--zone=Not A Zone", "--log-level=loud"), nil, &stderr)
	require.Equal(t, exitBadSettings, code)
	for _, flag := range []string{"--drain-timeout", "--zone", "--log-level"} {
		require.Contains(t, stderr.String(), flag)
	}
}

// Guards against a failed start that does not print its cause.
func TestStartErrorIsPrinted(t *testing.T) {
	open, args := openListeners(t)
	require.NoError(t, open[0].Close())
	require.NoError(t, open[2].Close())
	var stderr bytes.Buffer
	require.Equal(t, exitFailure, run(args, nil, &stderr))
	require.Contains(t, stderr.String(), "peer listener")
	require.Contains(t, stderr.String(), open[1].Addr().String())
}

// Guards against a daemon that cannot be assembled, started or stopped, and against a clean stop that reports a
// failure.
func TestSignalStopsTheDaemon(t *testing.T) {
	open, args := openListeners(t)
	for _, l := range open {
		require.NoError(t, l.Close())
	}
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGTERM
	var stderr bytes.Buffer
	require.Zero(t, run(args, signals, &stderr), stderr.String())
}
