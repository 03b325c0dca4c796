package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/crashguard"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/platform/platformtest"
	"teaselbank.example/teaselbank/routing"
	"teaselbank.example/teaselbank/site"
	"teaselbank.example/teaselbank/topology"
)

func body(t *testing.T, resp *http.Response) []byte {
	t.Helper()
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return data
}

// Guards against changes to requests and replies on their way: status, body and signature of the reply pass unchanged,
// and the target gets method, path, query and headers as the caller sent them, with the target's own ID and the
// remaining time added.
func TestSingleTargetUnchanged(t *testing.T) {
	w := newWorld(t, testExtra)
	l := w.leaf("svc", "a", []byte("the target's bytes"))
	w.routes(single("svc"))
	req, err := http.NewRequest(http.MethodPut, w.front.URL+"/svc/a%2Fb/../c?x=1&y=%20", http.NoBody)
	require.NoError(t, err)
	req.URL.Opaque = "/svc/a%2Fb/../c"
	req.Host = "H.example:80"
	req.Header.Set(platformtest.HeaderID, "r1")
	req.Header.Set(platformtest.HeaderDeadline, "1000")
	req.Header.Set("X-Own", "kept")
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "dropped")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.Equal(t, "the target's bytes", string(body(t, resp)))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, platformtest.Signature(l.ID, "r1"), resp.Header.Get(platformtest.HeaderSignature))
	seen := l.Arrivals()
	require.Len(t, seen, 1)
	require.Equal(t, http.MethodPut, seen[0].Method)
	require.Equal(t, "/svc/a%2Fb/../c?x=1&y=%20", seen[0].RequestURI)
	require.Equal(t, "H.example:80", seen[0].Host)
	require.Equal(t, l.ID, seen[0].Expect)
	require.Equal(t, "kept", seen[0].Header.Get("X-Own"))
	require.Empty(t, seen[0].Header.Get("X-Hop"))
	require.LessOrEqual(t, seen[0].DeadlineMS, 1000)
	require.Positive(t, seen[0].DeadlineMS)
}

// Guards against replacing or losing a target's error reply.
func TestErrorReplyIsReturnedUnchanged(t *testing.T) {
	w := newWorld(t, testExtra)
	l := w.leaf("svc", "a", []byte("broken"))
	l.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour { return platformtest.Behaviour{Status: 500} })
	w.routes(single("svc"))
	resp := w.get("/svc/x", "r1", time.Second)
	require.Equal(t, "broken", string(body(t, resp)))
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	require.Equal(t, platformtest.Signature(l.ID, "r1"), resp.Header.Get(platformtest.HeaderSignature))
}

// Guards against resending a non-idempotent request after its connection broke, and against a status that says that the
// request did not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	w := newWorld(t, testExtra)
	first, second := w.leaf("svc", "a", nil), w.leaf("svc", "a", nil)
	reset := func(platformtest.Arrival) platformtest.Behaviour {
		return platformtest.Behaviour{Raw: func(net.Conn, platformtest.Arrival) {}}
	}
	first.SetBehaviour(reset)
	second.SetBehaviour(reset)
	r := single("svc")
	r.Idempotent = false
	w.routes(r)
	resp := w.get("/svc/x", "r1", time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, 1, len(first.Arrivals())+len(second.Arrivals()))
}

// Guards against failing a request because one target refused it while another one would serve it. A non-idempotent
// request may be resent too, because it did not run.
func TestRefusalIsRetriedElsewhere(t *testing.T) {
	w := newWorld(t, testExtra)
	full, free := w.leaf("svc", "a", nil), w.leaf("svc", "b", []byte("ok"))
	full.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		return platformtest.Behaviour{Status: 503, NotRun: true}
	})
	r := single("svc")
	r.Idempotent = false
	w.routes(r)
	resp := w.get("/svc/x", "r1", time.Second)
	require.Equal(t, "ok", string(body(t, resp)))
	require.Len(t, free.Arrivals(), 1)
}

// Guards against a request that is refused, or sent to another target, while a target runs it: all targets had refused it,
// the one that got it again ran it, and sent its earlier refusal a second time.
func TestLateCopyOfARefusalDoesNotRefuseARunningRequest(t *testing.T) {
	w := newWorld(t, testExtra)
	var runs atomic.Int64
	for range 2 {
		var refused atomic.Bool
		w.leaf("svc", "a", []byte("ok")).SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
			if refused.Swap(true) {
				runs.Add(1)
				return platformtest.Behaviour{}
			}
			return platformtest.Behaviour{Raw: func(c net.Conn, a platformtest.Arrival) {
				_, _ = io.WriteString(c, platformtest.RawRefusal(a.ID))
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					runs.Add(1)
					_, _ = io.WriteString(c, platformtest.RawRefusal(a.ID))
					_, _ = io.WriteString(c, platformtest.RawSuccess(a.ID)+"Content-Length: 2\r\n\r\nok")
				}
			}}
		})
	}
	r := single("svc")
	r.Idempotent = false
	w.routes(r)
	resp := w.get("/svc/x", "r1", 2*time.Second)
	require.Equal(t, "ok", string(body(t, resp)))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.EqualValues(t, 1, runs.Load())
}

// Guards against a response without Retry-After, or with another status than 503, to a request that every target
// refused and that therefore did not run.
func TestRefusedByAllSetsRetryAfter(t *testing.T) {
	w := newWorld(t, testExtra)
	for range 2 {
		w.leaf("svc", "a", nil).SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
			return platformtest.Behaviour{Status: 503, NotRun: true}
		})
	}
	w.routes(single("svc"))
	resp := w.get("/svc/x", "r1", time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Guards against accepting the reply of a process that took over a target's address, and against sending to that
// address again.
func TestMisdirectedRequestIsSentToAnotherTarget(t *testing.T) {
	w := newWorld(t, testExtra)
	taken := w.leaf("svc", "a", nil)
	taken.ID = "another"
	right := w.leaf("svc", "b", []byte("ok"))
	w.routes(single("svc"))
	for i := range 3 {
		resp := w.get("/svc/x", fmt.Sprint(i), time.Second)
		require.Equal(t, "ok", string(body(t, resp)))
	}
	require.Len(t, taken.Arrivals(), 1, "the address must not be used again after a misdirected request")
	require.Len(t, right.Arrivals(), 3)
}

// Guards against passing on an invalid reply as success: truncated, unsigned, encoded, not HTTP, or for another
// request.
func TestInvalidRepliesAreNotSuccess(t *testing.T) {
	raw := func(text func(id string) string) platformtest.Behaviour {
		return platformtest.Behaviour{Raw: func(c net.Conn, a platformtest.Arrival) {
			_, _ = io.WriteString(c, text(a.ID))
		}}
	}
	success := func(prefix, rest string) platformtest.Behaviour {
		return raw(func(id string) string { return platformtest.RawSuccess(prefix+id) + rest })
	}
	cases := map[string]platformtest.Behaviour{
		"body cut short":           success("", "Content-Length: 10\r\n\r\nabc"),
		"chunked body cut short":   success("", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"),
		"not HTTP":                 raw(func(id string) string { return "garbage " + id + "\r\n\r\n" }),
		"reply to another request": success("not-", "Content-Length: 1\r\n\r\nx"),
		"unsigned":                 {Unsigned: true},
		"encoded":                  {Header: http.Header{"Content-Encoding": {"gzip"}}},
	}
	for name, behaviour := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, testExtra)
			bad, good := w.leaf("svc", "a", []byte("bad")), w.leaf("svc", "b", []byte("good"))
			bad.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour { return behaviour })
			w.routes(single("svc"))
			resp := w.get("/svc/x", "r1", 2*time.Second)
			require.Equal(t, "good", string(body(t, resp)))
			require.Equal(t, platformtest.Signature(good.ID, "r1"), resp.Header.Get(platformtest.HeaderSignature))
		})
	}
}

// Guards against reusing a connection on which a second reply has arrived: its bytes would be read as the reply to the
// next request.
func TestConnectionWithExtraReplyIsNotReused(t *testing.T) {
	w := newWorld(t, testExtra)
	l := w.leaf("svc", "a", []byte("own"))
	var once sync.Once
	l.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		var b platformtest.Behaviour
		once.Do(func() {
			b.Raw = func(c net.Conn, a platformtest.Arrival) {
				reply := platformtest.RawSuccess(a.ID) + "Content-Length: 3\r\n\r\n"
				_, _ = io.WriteString(c, reply+"one"+reply+"two")
				buf := make([]byte, 1)
				_, _ = c.Read(buf)
			}
		})
		return b
	})
	w.routes(single("svc"))
	require.Equal(t, "one", string(body(t, w.get("/svc/x", "r1", time.Second))))
	require.Equal(t, "own", string(body(t, w.get("/svc/x", "r2", time.Second))))
	accepted, _ := l.Connections()
	require.GreaterOrEqual(t, accepted, 2)
}

// Guards against a connection that is kept, and memory that grows, as long as a target goes on sending a few bytes now and then,
// in a head or in a body: the request ends at its deadline and the connection a little later.
func TestSlowEndlessReplyEndsWithTheRequest(t *testing.T) {
	for name, start := range map[string]string{"head": "HTTP/1.1 200 OK\r\nX-Long: ", "interim replies": "HTTP/1.1 103 Early Hints\r\n",
		"body": platformtest.RawSuccess("r1") + "Content-Length: 1000000\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, testExtra)
			l, closed := w.leaf("svc", "a", nil), make(chan struct{})
			l.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
				return platformtest.Behaviour{Raw: func(c net.Conn, _ platformtest.Arrival) {
					_, err := io.WriteString(c, start)
					for ticker := time.NewTicker(time.Millisecond); err == nil; <-ticker.C {
						_, err = io.WriteString(c, "x")
					}
					close(closed)
				}}
			})
			r := single("svc")
			r.Idempotent = false
			w.routes(r)
			resp := w.get("/svc/x", "r1", 200*time.Millisecond)
			require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
			_ = body(t, resp)
			<-closed
		})
	}
}

// Guards against waiting beyond the caller's deadline or the route's timeout, and against a status other than 504 when
// that time is over.
func TestAnsweredAtTheLimit(t *testing.T) {
	w := newWorld(t, testExtra)
	l := w.leaf("svc", "a", nil)
	l.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		return platformtest.Behaviour{ServiceTime: time.Hour}
	})
	r := single("svc")
	r.Timeout = 200 * time.Millisecond
	w.routes(r)
	resp := w.get("/svc/x", "r1", 30*time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	require.LessOrEqual(t, l.Arrivals()[0].DeadlineMS, 200)
}

// Guards against 404 instead of 503 with Retry-After while there is no configuration.
func TestRequestWithoutConfigurationGets503(t *testing.T) {
	w := newWorld(t, testExtra)
	resp := w.get("/svc/x", "r1", time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	w.leaf("svc", "a", nil)
	w.routes(single("svc"))
	resp = w.get("/unknown/x", "r2", time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
}

// Guards against truncating or passing on a body above the limit, and against losing a body within the limit.
func TestBodyAboveTheLimitIsRefused(t *testing.T) {
	w := newWorld(t, testExtra)
	l := w.leaf("svc", "a", nil)
	w.routes(single("svc"))
	send := func(size int) int {
		req, err := http.NewRequest(http.MethodPost, w.front.URL+"/svc/x", io.LimitReader(zeros{}, int64(size)))
		require.NoError(t, err)
		req.Host = "h.example"
		req.Header.Set(platformtest.HeaderID, "r")
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		_ = body(t, resp)
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, send(1<<16))
	require.Len(t, l.Arrivals()[0].Body, 1<<16)
	require.Equal(t, http.StatusRequestEntityTooLarge, send(1<<16+1))
	require.Len(t, l.Arrivals(), 1)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a target that keeps working for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t, testExtra)
	l := w.leaf("svc", "a", nil)
	arrived := make(chan struct{}, 1)
	l.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		arrived <- struct{}{}
		return platformtest.Behaviour{ServiceTime: time.Hour}
	})
	w.routes(single("svc"))
	c, err := net.Dial("tcp", w.front.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /svc/x HTTP/1.1\r\nHost: h.example\r\n"+platformtest.HeaderID+": r1\r\n\r\n")
	require.NoError(t, err)
	<-arrived
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { _, open := l.Connections(); return open == 0 }, 10*time.Second, 5*time.Millisecond)
}

// Guards against sending to targets of a zone that is out of service, also if no other zone is left.
func TestZoneOut(t *testing.T) {
	w := newWorld(t, testExtra)
	near, far := w.leaf("svc", "a", nil), w.leaf("svc", "b", nil)
	w.routes(single("svc"))
	w.snapshot = &topology.Snapshot{Table: w.snapshot.Table, Targets: w.snapshot.Targets, ZonesOut: map[ident.Zone]bool{"a": true}}
	w.publish()
	for i := range 5 {
		_ = body(t, w.get("/svc/x", fmt.Sprint(i), time.Second))
	}
	require.Empty(t, near.Arrivals())
	require.Len(t, far.Arrivals(), 5)
	w.snapshot.ZonesOut = map[ident.Zone]bool{"a": true, "b": true}
	w.publish()
	resp := w.get("/svc/x", "r9", time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Len(t, far.Arrivals(), 5)
}

// Guards against sending requests that one service of a weighted split refuses to another service of the split.
func TestSplitKeepsShares(t *testing.T) {
	w := newWorld(t, site.ExtraBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 10})
	full, free := w.leaf("one", "a", nil), w.leaf("two", "a", nil)
	full.SetBehaviour(func(platformtest.Arrival) platformtest.Behaviour {
		return platformtest.Behaviour{Status: 503, NotRun: true}
	})
	r := single("one")
	r.Split = append(r.Split, routing.WeightedService{Service: "two", Weight: 3})
	w.routes(r)
	refused := 0
	const requests = 400
	for i := range requests {
		resp := w.get("/one/x", fmt.Sprint(i), time.Second)
		_ = body(t, resp)
		if resp.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	require.InDelta(t, requests/4, refused, requests/8)
	require.Equal(t, requests-refused, len(free.Arrivals()))
}

// guard is a CrashGuard that records what is reported to it.
type guard struct {
	mu      sync.Mutex
	crashes map[crashguard.Fingerprint][]ident.TargetID
	served  map[crashguard.Fingerprint]int
	refuse  bool
}

func (g *guard) Served(f crashguard.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.served[f]++
}

func (g *guard) Refused(crashguard.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuse
}

func (g *guard) Crashed(f crashguard.Fingerprint, targets []ident.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes[f] = append(g.crashes[f], targets...)
}

// Guards against a crashing request that is not recognized because its attempts have different IDs, and against crash
// reports for requests to which a target replied.
func TestCrashesAreReported(t *testing.T) {
	w := newWorld(t, testExtra)
	g := &guard{crashes: map[crashguard.Fingerprint][]ident.TargetID{}, served: map[crashguard.Fingerprint]int{}}
	w.service.Guard = g
	first, second := w.leaf("svc", "a", nil), w.leaf("svc", "b", nil)
	crash := func(a platformtest.Arrival) platformtest.Behaviour {
		if a.RequestURI == "/svc/poison" {
			return platformtest.Behaviour{Raw: func(net.Conn, platformtest.Arrival) {}}
		}
		return platformtest.Behaviour{}
	}
	first.SetBehaviour(crash)
	second.SetBehaviour(crash)
	w.routes(single("svc"))
	_ = body(t, w.get("/svc/honest", "r0", time.Second))
	require.Empty(t, g.crashes)
	require.Len(t, g.served, 1)
	_ = body(t, w.get("/svc/poison", "r1", time.Second))
	_ = body(t, w.get("/svc/poison", "r2", time.Second))
	require.Len(t, g.crashes, 1)
	require.Len(t, g.served, 1, "the crashing request must not count as served, because no target replied to it")
	for _, targets := range g.crashes {
		require.Contains(t, targets, ident.TargetID(first.ID))
		require.Contains(t, targets, ident.TargetID(second.ID))
	}
	arrivals := len(first.Arrivals()) + len(second.Arrivals())
	g.refuse = true
	resp := w.get("/svc/poison", "r3", time.Second)
	_ = body(t, resp)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, arrivals, len(first.Arrivals())+len(second.Arrivals()))
}

// Guards against sending a cold target more than its cold-start limit, even if it is the only target.
func TestColdTargetRateIsLimited(t *testing.T) {
	w := newWorld(t, testExtra)
	l := w.leaf("svc", "a", nil)
	w.routes(single("svc"))
	cold := *w.snapshot.Targets["svc"][0]
	cold.ColdUntil = time.Now().Add(time.Hour)
	w.snapshot = &topology.Snapshot{Targets: map[ident.ServiceID][]*topology.Target{"svc": {&cold}}, ZonesOut: w.snapshot.ZonesOut,
		Table: routing.NewTable(2, []*routing.Route{single("svc")}, map[ident.ServiceID]routing.Service{"svc": {ID: "svc", ColdRate: 2}}, routing.Limits{})}
	w.publish()
	began, refused := time.Now(), 0
	for i := range 20 {
		resp := w.get("/svc/x", fmt.Sprint(i), time.Second)
		_ = body(t, resp)
		if resp.StatusCode == http.StatusServiceUnavailable {
			refused++
		}
	}
	require.Equal(t, 20, refused+len(l.Arrivals()))
	seconds := int(time.Since(began)/time.Second) + 1
	require.LessOrEqual(t, len(l.Arrivals()), 4*seconds, "a cold target must get no more requests a second than its cold rate of 2 x 1.5 + 1")
	require.NotEmpty(t, l.Arrivals())
}

// Guards against an added route that is not served because the configuration states no settings of its service.
func TestRouteToAServiceWithoutSettings(t *testing.T) {
	w := newWorld(t, testExtra)
	w.leaf("s", "a", []byte("single"))
	w.leaf("p", "a", []byte("0123456789abcdef"))
	w.snapshot.Table = routing.NewTable(1, []*routing.Route{single("s"), scatter(1, "p")}, nil, routing.Limits{})
	w.publish()
	for _, path := range []string{"/s/1", "/q/1"} {
		resp := w.get(path, "id", time.Second)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode, path)
	}
}
