package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/platform"
	"teaselbank.example/teaselbank/platform/platformtest"
	"teaselbank.example/teaselbank/statusapi"
)

// freeAddress returns an address of the loopback interface on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// siteVM is a daemon on a site whose platform is a stand-in. path is the settings file; the other names are addresses.
type siteVM struct {
	t                            *testing.T
	front, ready, control, store string
	path                         string
	signals                      chan os.Signal
	exited                       chan int
	stderr                       bytes.Buffer
}

func newSiteVM(t *testing.T, store string, name string, stopSeconds int, seeds ...string) *siteVM {
	v := &siteVM{t: t, front: freeAddress(t), ready: freeAddress(t), control: freeAddress(t), store: store,
		signals: make(chan os.Signal, 2), exited: make(chan int, 1), path: filepath.Join(t.TempDir(), "boot.toml")}
	text := platformtest.Settings(platformtest.SettingsOptions{Name: name, Zone: "a", Seeds: seeds, Front: v.front,
		Readiness: v.ready, Control: v.control, Store: store, StopSeconds: stopSeconds})
	require.NoError(t, os.WriteFile(v.path, []byte(text), 0o600))
	return v
}

func (v *siteVM) start() {
	go func() { v.exited <- runSite(v.path, v.signals, &v.stderr) }()
	v.t.Cleanup(func() { v.stop() })
}

// stop sends SIGTERM, waits for the daemon to end and returns its exit code. It may be called more than once.
func (v *siteVM) stop() int {
	select {
	case v.signals <- syscall.SIGTERM:
	default:
	}
	code := <-v.exited
	v.exited <- code
	return code
}

func (v *siteVM) isReady() bool {
	resp, err := http.Get("http://" + v.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// get sends a request with the given ID. If the request fails, the status is 0 and text is the error.
func (v *siteVM) get(path, id string) (status int, text string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+v.front+path, nil)
	require.NoError(v.t, err)
	req.Host = "h.example"
	req.Header.Set(platformtest.HeaderID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(v.t, err)
	return resp.StatusCode, string(data)
}

// waitTimeout limits how long a test waits for a condition.
const waitTimeout = 30 * time.Second

func newStore(t *testing.T) *platformtest.Store {
	store, err := platformtest.NewStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	return store
}

func newTarget(t *testing.T, id, body string) *platformtest.Target {
	target, err := platformtest.NewTarget(id, []byte(body))
	require.NoError(t, err)
	t.Cleanup(target.Close)
	return target
}

// newSite returns a store with a configuration of version 3 and one target that replies "one".
func newSite(t *testing.T) (*platformtest.Store, *platformtest.Target) {
	store, target := newStore(t), newTarget(t, "i-1", "one")
	store.Configure(3, "s")
	store.Register(target, "s", "a", false)
	return store, target
}

// Covers the daemon on a site from start to stop: readiness, a request, a new configuration, a target that leaves, store
// entries that cannot be decoded, and a stop that must not cut off a running request.
func TestSiteEndToEnd(t *testing.T) {
	store, one, two := newStore(t), newTarget(t, "i-1", "one"), newTarget(t, "i-2", "two")
	v := newSiteVM(t, store.Address, "vm-1", 3)
	v.start()
	require.Eventually(t, func() bool { status, _ := v.get("/s/x", "early"); return status == http.StatusServiceUnavailable },
		waitTimeout, 5*time.Millisecond, "without a configuration the status must be 503, not 404")
	require.False(t, v.isReady())

	store.Configure(3, "s")
	store.RegisterBytes("bad", []byte("?"))
	store.Register(one, "s", "a", false)
	require.Eventually(t, v.isReady, waitTimeout, 5*time.Millisecond)
	require.Eventually(t, func() bool { _, text := v.get("/s/x", "r1"); return text == "one" }, waitTimeout, 5*time.Millisecond)

	store.Configure(9, "s", "u")
	store.Register(two, "u", "a", false)
	require.Eventually(t, func() bool { _, text := v.get("/u/x", "r2"); return text == "two" }, waitTimeout, 5*time.Millisecond)

	three := newTarget(t, "i-3", "three")
	store.Register(three, "s", "a", false)
	store.Register(one, "s", "a", true)
	require.Eventually(t, func() bool { _, text := v.get("/s/x", "r3"); return text == "three" }, waitTimeout, 5*time.Millisecond)

	release := make(chan struct{})
	arrived := make(chan struct{}, 1)
	three.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		arrived <- struct{}{}
		<-release
		return platformtest.Behaviour{}
	})
	response := make(chan string, 1)
	go func() { _, text := v.get("/s/x", "r4"); response <- text }()
	<-arrived
	v.signals <- syscall.SIGTERM
	require.Eventually(t, func() bool { return !v.isReady() }, waitTimeout, 5*time.Millisecond)
	close(release)
	require.Equal(t, "three", <-response)
	require.Zero(t, v.stop(), v.stderr.String())
}

// Guards against a stopping VM that closes a keep-alive connection while its caller is sending a request. Once new
// connections are no longer accepted, such a request must be refused with 503 without being run, and the response must
// close the connection.
func TestSiteStopRefusesOnKeptConnections(t *testing.T) {
	store, target := newSite(t)
	v := newSiteVM(t, store.Address, "vm-1", 10)
	v.start()
	require.Eventually(t, v.isReady, waitTimeout, 5*time.Millisecond)
	conn, err := net.Dial("tcp", v.front)
	require.NoError(t, err)
	responses := bufio.NewReader(conn)
	sendRequest := func() *http.Response {
		_, err := io.WriteString(conn, "GET /s/x HTTP/1.1\r\nHost: h.example\r\n"+platformtest.HeaderID+": r\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(responses, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, errors.Join(err, resp.Body.Close()))
		return resp
	}
	require.Equal(t, http.StatusOK, sendRequest().StatusCode)
	v.signals <- syscall.SIGTERM
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", v.front)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, waitTimeout, 5*time.Millisecond)
	resp := sendRequest()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	require.Len(t, target.Arrivals(), 1)
	require.Zero(t, v.stop(), v.stderr.String())
}

// Guards against requests that a stop cuts off without a response because they outlast it: each caller must be told before the
// process ends, and not that the request did not run.
func TestSiteStopAnswersRequestsThatOutlastIt(t *testing.T) {
	store, target := newStore(t), newTarget(t, "i-1", "one")
	const minute = 60_000
	store.Publish(3, 10, []platformtest.Route{
		{Name: "safe", Service: "s", MaxTargets: 1, TimeoutMS: minute, ObjectiveMS: 500},
		{Name: "once", Service: "s", MaxTargets: 1, TimeoutMS: minute, ObjectiveMS: 500, NonIdempotent: true},
		{Name: "all", Shards: []string{"s"}, TopRecords: 1, MinCoverage: 1, MaxTargets: 1, TimeoutMS: minute, ObjectiveMS: 500},
	})
	store.Register(target, "s", "a", false)
	arrived, release := make(chan struct{}, 3), make(chan struct{})
	defer close(release)
	target.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		arrived <- struct{}{}
		return platformtest.Behaviour{Raw: func(net.Conn, platformtest.Arrival) { <-release }}
	})
	v := newSiteVM(t, store.Address, "vm-1", 3)
	v.start()
	require.Eventually(t, v.isReady, waitTimeout, 5*time.Millisecond)
	type response struct {
		status int
		text   string
	}
	responses := make(chan response, 3)
	for _, route := range []string{"safe", "once", "all"} {
		go func() {
			status, text := v.get("/"+route+"/x", route)
			responses <- response{status, text}
		}()
		<-arrived
	}
	v.signals <- syscall.SIGTERM
	for range 3 {
		require.Equal(t, response{http.StatusBadGateway, "this VM is stopping\n"}, <-responses)
	}
}

// Guards against a request whose body arrives after a stopping VM has begun to refuse requests, and that is passed on to a
// target all the same, although the end of the process would cut it off.
func TestSiteStopRefusesARequestWhoseBodyIsLate(t *testing.T) {
	store, target := newSite(t)
	store.Publish(4, 10, []platformtest.Route{{Name: "s", Service: "s", MaxTargets: 1, TimeoutMS: 60_000, ObjectiveMS: 500}})
	v := newSiteVM(t, store.Address, "vm-1", 5)
	v.start()
	require.Eventually(t, v.isReady, waitTimeout, 5*time.Millisecond)
	conn, err := net.Dial("tcp", v.front)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "POST /s/x HTTP/1.1\r\nHost: h.example\r\n"+platformtest.HeaderID+": r\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	require.NoError(t, err)
	responses := bufio.NewReader(conn)
	interim, err := http.ReadResponse(responses, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, interim.StatusCode, "the VM must wait for the body")
	v.signals <- syscall.SIGTERM
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", v.front)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}, waitTimeout, 5*time.Millisecond)
	_, err = io.WriteString(conn, "body")
	require.NoError(t, err)
	resp, err := http.ReadResponse(responses, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.True(t, resp.Close)
	require.Empty(t, target.Arrivals())
	require.Zero(t, v.stop(), v.stderr.String())
}

// Guards against a status that lacks the VM's configuration, its targets or the zones taken out, or the times of the
// last changes and of the last contact with the store and with another zone.
func TestSiteStatus(t *testing.T) {
	store, _ := newSite(t)
	store.EvacuateZone("b", false)
	v := newSiteVM(t, store.Address, "vm-1", 3)
	v.start()
	read := func() statusapi.Status {
		var s statusapi.Status
		resp, err := http.Get("http://" + v.ready + "/v1/status")
		if err != nil {
			return s
		}
		defer func() { _ = resp.Body.Close() }()
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&s))
		return s
	}
	require.Eventually(t, func() bool { s := read(); return s.Site != nil && s.Site.Version == 3 && len(s.Targets) == 1 }, waitTimeout, 5*time.Millisecond)
	s := read()
	require.Equal(t, "vm-1", s.VM)
	require.Equal(t, statusapi.TargetStatus{Target: "i-1", Service: "s", Zone: "a", State: "serving"}, s.Targets[0])
	require.Equal(t, []string{"b"}, s.Site.ZonesOut)
	require.Equal(t, 1, s.Site.Routes)
	require.True(t, s.Site.WatchesStore)
	require.WithinDuration(t, time.Now(), s.Site.LastStoreResponse, waitTimeout)
	require.WithinDuration(t, time.Now(), s.Site.Changed, waitTimeout)
	require.True(t, s.Site.LastOtherZoneContact.IsZero())
	require.NotZero(t, s.Site.Revision)
}

// Guards against a VM that gets no configuration while the store refuses its requests, although it can reach a peer that
// has one.
func TestSiteLearnsFromPeers(t *testing.T) {
	store, _ := newSite(t)
	failingStore := newStore(t)
	failingStore.Fail(func(string) int { return http.StatusServiceUnavailable })
	vmWithStore := newSiteVM(t, store.Address, "vm-1", 3)
	vmWithStore.start()
	require.Eventually(t, vmWithStore.isReady, waitTimeout, 5*time.Millisecond)
	vmWithoutStore := newSiteVM(t, failingStore.Address, "vm-2", 3, vmWithStore.control)
	vmWithoutStore.start()
	require.Eventually(t, func() bool { _, text := vmWithoutStore.get("/s/x", "r1"); return text == "one" }, waitTimeout, 5*time.Millisecond)
	store.Configure(4, "other")
	require.Eventually(t, func() bool { status, _ := vmWithoutStore.get("/s/x", "r2"); return status == http.StatusNotFound }, waitTimeout, 5*time.Millisecond)
}

// Guards against odd entries of another writer that end a VM, stop it or its peers following the store, or get into requests
// to targets.
func TestSiteOddEntriesHarmNothing(t *testing.T) {
	store, target := newSite(t)
	entry := func(address, slots string) []byte { return platformtest.RawEntry("s", "a", address, slots) }
	for id, value := range map[string][]byte{
		"nested":          bytes.Repeat([]byte(`{"a":[`), 100_000),
		"large-number":    entry(target.Address, "9223372036854775807"),
		"larger-number":   entry(target.Address, "1e400"),
		"port":            entry("127.0.0.1:65536", "4"),
		"port-0":          entry("127.0.0.1:0", "4"),
		"i-2\r\nX-Odd: 1": entry(target.Address, "4"),
	} {
		store.RegisterBytes(id, value)
	}
	failingStore := newStore(t)
	failingStore.Fail(func(string) int { return http.StatusServiceUnavailable })
	follower := newSiteVM(t, store.Address, "vm-1", 3)
	peer := newSiteVM(t, failingStore.Address, "vm-2", 3, follower.control)
	follower.start()
	peer.start()
	serves := func(v *siteVM, path, want string) func() bool {
		return func() bool { _, text := v.get(path, "r"); return text == want }
	}
	for _, v := range []*siteVM{follower, peer} {
		require.Eventually(t, serves(v, "/s/x", "one"), waitTimeout, 5*time.Millisecond)
	}
	store.RegisterBytes("nested", bytes.Repeat([]byte(`[`), 1_000_000))
	two := newTarget(t, "i-3", "two")
	store.Configure(4, "s", "u")
	store.Register(two, "u", "a", false)
	for _, v := range []*siteVM{follower, peer} {
		require.Eventually(t, serves(v, "/u/x", "two"), waitTimeout, 5*time.Millisecond)
		for range 20 {
			status, text := v.get("/s/x", "r")
			require.Equal(t, http.StatusOK, status, text)
		}
	}
	for _, a := range target.Arrivals() {
		require.Equal(t, "i-1", a.Expect, "only the entry of the target names it")
		require.Empty(t, a.Header.Get("X-Odd"))
	}
}

// Guards against a start with an invalid settings file that does not name each faulty setting.
func TestSiteBadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	require.NoError(t, os.WriteFile(path, []byte("node_name = \"x\""), 0o600))
	var stderr bytes.Buffer
	require.Equal(t, exitBadSettings, runSite(path, nil, &stderr))
	require.Contains(t, stderr.String(), "listen.front")
	require.Contains(t, stderr.String(), "platform.address")
}
