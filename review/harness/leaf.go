package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Leaf is a stand-in of a leaf. It serves one request at a time on each connection.
type Leaf struct {
	ID, Service, Zone string
	Addr              string
	Slots             int
	Work              time.Duration
	Gather            bool
	born              int64
	rec               *Record
	listener          net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	// runs counts the runs of each request id.
	runs map[string]int
	seq  atomic.Int64
	// hook, if set, may answer a request instead of the leaf. It reports whether it did, and whether the connection stays open.
	hook func(c net.Conn, r *http.Request, body []byte) (done, keep bool)
}

func startLeaf(rec *Record, id, service, zone, ip string, work time.Duration, gather bool) (*Leaf, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	f := &Leaf{ID: id, Service: service, Zone: zone, Addr: l.Addr().String(), Slots: 6, Work: work, Gather: gather, born: time.Now().UnixMilli(),
		rec: rec, listener: l, conns: map[net.Conn]bool{}, runs: map[string]int{}}
	go f.accept()
	return f, nil
}

// entry is what the leaf publishes of itself.
func (f *Leaf) entry(state string) map[string]any {
	return map[string]any{"service": f.Service, "address": f.Addr, "zone": f.Zone, "version": "v1", "max_concurrency": f.Slots, "state": state,
		"cold_left_ms": 0, "sequence": f.seq.Add(1), "born": f.born}
}

func (f *Leaf) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conns[c] = true
		closed := f.closed
		f.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		go f.serve(c)
	}
}

func (f *Leaf) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !f.handle(c, r, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (f *Leaf) handle(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		return reply(c, 200, map[string]string{"Instance-Id": f.ID}, nil)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != f.ID {
		return reply(c, 421, map[string]string{"Instance-Id": f.ID, "Request-Id": id, "Not-Executed": "1"}, nil)
	}
	if f.hook != nil {
		if done, keep := f.hook(c, r, body); done {
			return keep
		}
	}
	f.began(r, id)
	time.Sleep(f.Work)
	return f.succeed(c, id)
}

// began records that the leaf runs a request.
func (f *Leaf) began(r *http.Request, id string) {
	f.mu.Lock()
	f.runs[id]++
	f.mu.Unlock()
	f.rec.Log("run", "leaf", f.ID, "service", f.Service, "id", id, "method", r.Method, "path", r.RequestURI, "deadline_ms", r.Header.Get("Deadline-Ms"))
}

func (f *Leaf) succeed(c net.Conn, id string) bool {
	stamp := f.stamp(id)
	if f.Gather {
		return reply(c, 200, map[string]string{"Response-Stamp": stamp, "Request-Id": id}, records(id, f.Service))
	}
	return reply(c, 200, map[string]string{"Response-Stamp": stamp, "Request-Id": id}, []byte("body of "+id+" by "+f.ID))
}

func (f *Leaf) stamp(id string) string { return fmt.Sprintf("%s.%s.%d", f.ID, id, f.seq.Add(1)) }

// records returns four records of a part, which depend on the request and the service only.
func records(id, service string) []byte {
	var out []byte
	for i := range 4 {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%s/%s/%d", id, service, i)
		out = binary.BigEndian.AppendUint64(out, h.Sum64())
		out = binary.BigEndian.AppendUint64(out, uint64(i))
	}
	return out
}

func reply(c net.Conn, status int, header map[string]string, body []byte) bool {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	for k, v := range header {
		b.WriteString(k + ": " + v + "\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	_, err := c.Write(b.Bytes())
	return err == nil
}

// Exit ends the leaf: its port refuses connections and open ones are closed.
func (f *Leaf) Exit() {
	_ = f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for c := range f.conns {
		_ = c.Close()
	}
}
