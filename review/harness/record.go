package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, one line an event.
type Record struct {
	mu    sync.Mutex
	start time.Time
	w     *bufio.Writer
	f     *os.File
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), w: bufio.NewWriter(f), f: f}, nil
}

// Log writes one line: the seconds since the start, the event, and pairs of names and values.
func (r *Record) Log(event string, kv ...any) {
	var b strings.Builder
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&b, "%8.3f %s", time.Since(r.start).Seconds(), event)
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	b.WriteByte('\n')
	_, _ = r.w.WriteString(b.String())
}

// Say writes a line and prints it.
func (r *Record) Say(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	fmt.Println(text)
	r.Log("note", "text", fmt.Sprintf("%q", text))
}

func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
