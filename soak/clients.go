package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"teaselbank.example/teaselbank/platform/platformtest"
)

// Timing and request mix of the clients.
const (
	// meanThinkTime is the mean time between two requests of a client.
	meanThinkTime = 40 * time.Millisecond
	// abandonShare is the share of requests whose connection the client closes right after sending them.
	abandonShare = 0.01
	// reconnectShare is the share of requests sent on a new connection although one is open.
	reconnectShare = 0.05
	redialDelay    = 50 * time.Millisecond
	// responseGrace is how long a client waits beyond the deadline that it states in the request.
	responseGrace = 3 * time.Second
)

// Names of the routes that every configuration contains.
const (
	routeScatter = "scatter"
	routeRead    = "read"
	routeOrder   = "order"
)

// client sends one request after the other to one VM and reuses its connection while it is open.
type client struct {
	vm        *vm
	name      string
	record    *record
	version   *atomic.Int64
	random    *rand.Rand
	thinkTime time.Duration

	conn   net.Conn
	reader *bufio.Reader
	lastID int
}

func (c *client) run(done <-chan struct{}) {
	defer c.closeConn()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(c.thinkTime))):
		}
		if c.conn != nil && c.random.Float64() < reconnectShare {
			c.closeConn()
		}
		if c.conn == nil && !c.dial() {
			continue
		}
		c.record.addExchange(c.roundTrip(c.nextRequest()))
	}
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.vm.frontAddress(), time.Second)
	if err != nil {
		time.Sleep(redialDelay)
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// nextRequest returns the next request.
func (c *client) nextRequest() *exchange {
	c.lastID++
	a := &exchange{ID: fmt.Sprintf("%s-%d", c.name, c.lastID), VM: c.vm.index, Incarnation: int(c.vm.incarnation.Load())}
	switch roll := c.random.Float64(); {
	case roll < 0.4:
		a.Kind, a.Route = kindScatter, routeScatter
	case roll < 0.6:
		a.Kind, a.Route, a.Service = kindRead, routeRead, serviceRead
	case roll < 0.8:
		a.Kind, a.Route, a.Service = kindOrder, routeOrder, serviceOrder
	default:
		a.Kind, a.Route, a.Service = kindVersion, versionRoute(int(c.version.Load())), serviceRead
	}
	return a
}

// roundTrip sends the request, reads the response, records both in a and returns a.
func (c *client) roundTrip(a *exchange) *exchange {
	deadline := 500 + c.random.IntN(2000)
	body := ""
	method := http.MethodGet
	if a.Kind == kindOrder {
		method, body = http.MethodPost, a.ID
	}
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(deadline)*time.Millisecond + responseGrace))
	_, err := fmt.Fprintf(c.conn, "%s /%s/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", method,
		a.Route, platformtest.HeaderID, a.ID, platformtest.HeaderDeadline, deadline, len(body), body)
	a.Sent = time.Now()
	if a.Abandoned = c.random.Float64() < abandonShare; a.Abandoned {
		c.closeConn()
		a.Ended = time.Now()
		return a
	}
	if err == nil {
		err = c.read(a)
	}
	a.Ended = time.Now()
	if err != nil {
		a.Broken = true
		a.OrderlyClose = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		c.closeConn()
	}
	return a
}

func (c *client) read(a *exchange) error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.Status, a.Body = resp.StatusCode, data
	a.RequestID, a.Signature = resp.Header.Get(platformtest.HeaderID), resp.Header.Get(platformtest.HeaderSignature)
	for _, list := range resp.Header.Values(platformtest.HeaderShardSignatures) {
		for _, s := range strings.Split(list, ",") {
			a.Covered = append(a.Covered, strings.TrimSpace(s))
		}
	}
	if text := resp.Header.Get(platformtest.HeaderMissingShards); text != "" {
		if a.Missing, err = strconv.Atoi(text); err != nil {
			return err
		}
	}
	if resp.Close {
		c.closeConn()
	}
	return nil
}
