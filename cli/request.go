package cli

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// explainRequest tells the story of one request from the log lines of any number of VMs.
type explainRequest struct {
	env  *env
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"id of the request, as its caller sent it"`
		Files []string `positional-arg-name:"FILE" description:"log files; standard input if none is named"`
	} `positional-args:"yes"`
	Around time.Duration `long:"around" default:"3s" description:"how long before and after the request lines about its targets, its VM's view and readiness are shown"`
}

// maxLogLine holds the line of a search over several hundred shards.
const maxLogLine = 1 << 20

// logLine is one line of a log.
type logLine struct {
	At     time.Time         `json:"time"`
	VM     string            `json:"vm"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	text   string
}

// contextEvents are the events that explain what a VM believed.
var contextEvents = []string{"readiness", "configuration", "zone", "target", "target_gone", "topology", "source_lost", "source_regained",
	"source_history_gone", "member", "request_quarantined", "stopping"}

// Execute reads the logs and prints the lines of the request, and those around it that explain them.
func (c *explainRequest) Execute([]string) error {
	if c.Args.ID == "" {
		return &usageError{"the id of a request is required"}
	}
	lines, err := c.read()
	if err != nil {
		return err
	}
	found, skipped := selectLines(lines, c.Args.ID, c.Around)
	if len(found) == 0 {
		return &refusal{file: c.Args.ID, reason: errors.New("no line names this request; an ordinary answer has a line only if it was sampled")}
	}
	texts := make([]string, 0, len(found)+1)
	for _, l := range found {
		texts = append(texts, l.text)
	}
	if skipped > 0 {
		texts = append(texts, fmt.Sprintf("%d more lines around the request are not about its targets", skipped))
	}
	return c.env.result(found, texts...)
}

func (c *explainRequest) read() ([]logLine, error) {
	if len(c.Args.Files) == 0 {
		return parseLog(c.env.in)
	}
	var all []logLine
	for _, name := range c.Args.Files {
		f, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, err
		}
		lines, err := parseLog(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// parseLog reads key=value lines; text before the first key, such as a collector's own time, is passed over.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if at := strings.Index(text, "time="); at > 0 {
			text = text[at:]
		}
		l := logLine{Fields: map[string]string{}, text: text}
		d := logfmt.NewDecoder(strings.NewReader(text))
		for d.ScanRecord() {
			for d.ScanKeyval() {
				l.Fields[string(d.Key())] = string(d.Value())
			}
		}
		if d.Err() != nil || l.Fields["msg"] == "" {
			continue
		}
		l.VM, l.Event = l.Fields["vm"], l.Fields["msg"]
		l.At, _ = time.Parse(time.RFC3339Nano, l.Fields["time"])
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// selectLines returns the lines of the request and those around it, in order of time. skipped counts lines of the same
// VM and time that are about other targets.
func selectLines(lines []logLine, id string, around time.Duration) (found []logLine, skipped int) {
	var own []logLine
	for _, l := range lines {
		if l.Fields["id"] == id || l.Fields["request"] == id {
			own = append(own, l)
		}
	}
	found = slices.Clone(own)
	for _, l := range lines {
		for _, o := range own {
			if l.VM != o.VM || !slices.Contains(contextEvents, l.Event) || l.At.Sub(o.At).Abs() > around {
				continue
			}
			if about := l.Fields["target"]; about != "" && !strings.Contains(o.text, about) {
				skipped++
			} else {
				found = append(found, l)
			}
			break
		}
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.At.Compare(b.At) })
	return found, skipped
}
