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

// How clients behave.
const (
	// clientThink is the mean time between two requests of a client.
	clientThink = 40 * time.Millisecond
	// abandonShare of the requests are abandoned right after they were sent.
	abandonShare = 0.01
	// freshShare of the requests go over a new connection.
	freshShare = 0.05
	dialPause  = 50 * time.Millisecond
	// answerPatience is how long a client waits beyond the deadline that it states.
	answerPatience = 3 * time.Second
)

// routes of every configuration.
const (
	routeScatter = "scatter"
	routeRead    = "read"
	routeOrder   = "order"
)

// client sends one request after the other to one VM, and keeps its connection as long as it can.
type client struct {
	vm      *vm
	name    string
	record  *record
	version *atomic.Int64
	random  *rand.Rand
	think   time.Duration

	conn   net.Conn
	reader *bufio.Reader
	number int
}

func (c *client) run(done <-chan struct{}) {
	defer c.drop()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.random.ExpFloat64() * float64(c.think))):
		}
		if c.conn != nil && c.random.Float64() < freshShare {
			c.drop()
		}
		if c.conn == nil && !c.dial() {
			continue
		}
		c.record.answered(c.ask(c.choose()))
	}
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.vm.front(), time.Second)
	if err != nil {
		time.Sleep(dialPause)
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// choose returns the next request.
func (c *client) choose() *answer {
	c.number++
	a := &answer{ID: fmt.Sprintf("%s-%d", c.name, c.number), VM: c.vm.index, Life: int(c.vm.life.Load())}
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

// ask sends the request and reads what comes back.
func (c *client) ask(a *answer) *answer {
	deadline := 500 + c.random.IntN(2000)
	body := ""
	method := http.MethodGet
	if a.Kind == kindOrder {
		method, body = http.MethodPost, a.ID
	}
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(deadline)*time.Millisecond + answerPatience))
	_, err := fmt.Fprintf(c.conn, "%s /%s/x HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s", method,
		a.Route, platformtest.HeaderID, a.ID, platformtest.HeaderDeadline, deadline, len(body), body)
	a.Sent = time.Now()
	if a.Abandoned = c.random.Float64() < abandonShare; a.Abandoned {
		c.drop()
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
		c.drop()
	}
	return a
}

func (c *client) read(a *answer) error {
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
		c.drop()
	}
	return nil
}
