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

// explainRequest collects the log lines about one request from the logs of any number of VMs.
type explainRequest struct {
	env  *env
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"request ID, as sent by the caller"`
		Files []string `positional-arg-name:"FILE" description:"log files; standard input if none is given"`
	} `positional-args:"yes"`
	Around time.Duration `long:"around" default:"3s" description:"also show events of the same VM (its readiness, configuration, peers and the request's targets) up to this long before and after each line of the request"`
}

// maxLogLine is the longest log line in bytes. The line of a search over several hundred shards fits.
const maxLogLine = 1 << 20

// logLine is one parsed log line.
type logLine struct {
	At     time.Time         `json:"time"`
	VM     string            `json:"vm"`
	Event  string            `json:"event"`
	Fields map[string]string `json:"fields"`
	text   string
}

// contextEvents are the events that show a VM's readiness, configuration, peers and targets around a request.
var contextEvents = []string{"readiness", "configuration", "zone", "target", "target_gone", "topology", "source_lost", "source_regained",
	"source_history_gone", "member", "request_quarantined", "stopping"}

// Execute reads the logs and prints the lines of the request together with the context events around them.
func (c *explainRequest) Execute([]string) error {
	if c.Args.ID == "" {
		return &usageError{"a request ID is required"}
	}
	lines, err := c.read()
	if err != nil {
		return err
	}
	found, skipped := selectLines(lines, c.Args.ID, c.Around)
	if len(found) == 0 {
		return &refusedError{subject: c.Args.ID, reason: errors.New("no log line has this request ID; ordinary responses are logged for a sample of requests only")}
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

// read parses all log files, or standard input if none is given.
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

// parseLog reads logfmt lines. Text before the time key, such as the prefix of a log collector, is skipped, and so are
// lines that cannot be parsed or have no msg key.
func parseLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if start := strings.Index(text, "time="); start > 0 {
			text = text[start:]
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

// selectLines returns, ordered by time, the lines of the request with the given ID and the context events near them. A
// context event is near a line of the request if both are of the same VM and their times differ by at most around. A
// context event about a target that the first line near it does not name is left out and counted in skipped.
func selectLines(lines []logLine, id string, around time.Duration) (found []logLine, skipped int) {
	var requestLines []logLine
	for _, l := range lines {
		if l.Fields["id"] == id || l.Fields["request"] == id {
			requestLines = append(requestLines, l)
		}
	}
	found = slices.Clone(requestLines)
	for _, l := range lines {
		for _, own := range requestLines {
			if l.VM != own.VM || !slices.Contains(contextEvents, l.Event) || l.At.Sub(own.At).Abs() > around {
				continue
			}
			if target := l.Fields["target"]; target != "" && !strings.Contains(own.text, target) {
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
