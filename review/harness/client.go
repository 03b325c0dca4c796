package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Client sends requests to one machine and keeps its connections open.
type Client struct {
	rec  *Record
	node *Node
	http *http.Client
}

func newClient(rec *Record, n *Node) *Client {
	return &Client{rec: rec, node: n, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// Answer is what a client got for one attempt.
type Answer struct {
	ID     string
	Sent   time.Time
	Took   time.Duration
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

var requestCount atomic.Int64

// sentBy holds the machine to which each request was sent.
var sentBy sync.Map

// sentTo returns the machine to which a request was sent.
func (f *Fleet) sentTo(id string) (string, bool) {
	name, ok := sentBy.Load(id)
	if !ok {
		return "", false
	}
	return name.(string), true
}

// runTag makes the ids of one run of the harness distinct from those of others.
var runTag = rand.Uint32()

// Do sends one attempt with an id of its own.
func (c *Client) Do(method, host, path string, budget time.Duration, body []byte) Answer {
	id := fmt.Sprintf("%08x%08x", runTag, requestCount.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	var rd io.Reader
	if body != nil {
		rd = bytes.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.Front+path, rd)
	if err != nil {
		panic(err)
	}
	r.GetBody = nil
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	a := Answer{ID: id, Sent: time.Now()}
	sentBy.Store(id, c.node.Name)
	c.rec.Log("sent", "to", c.node.Name, "id", id, "method", method, "host", host, "path", path)
	resp, err := c.http.Do(r)
	if err == nil {
		a.Status, a.Header = resp.StatusCode, resp.Header
		a.Body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	a.Err, a.Took = err, time.Since(a.Sent)
	if err != nil {
		c.rec.Log("failed", "from", c.node.Name, "id", id, "ms", a.Took.Milliseconds(), "err", fmt.Sprintf("%q", err))
		return a
	}
	c.rec.Log("answered", "by", c.node.Name, "id", id, "status", a.Status, "ms", a.Took.Milliseconds(), "stamp", a.Header.Get("Response-Stamp"),
		"parts", fmt.Sprintf("%q", a.Header.Get("Part-Stamps")), "missing", a.Header.Get("Missing-Parts"), "bytes", len(a.Body))
	return a
}
