package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"teaselbank.example/teaselbank/statusapi"
)

// explainTarget shows why one VM sends no new work to a target or availability zone.
type explainTarget struct {
	*env
	VM      string        `long:"vm" required:"true" description:"base URL of the VM's operator API"`
	Target  string        `long:"target" description:"target to explain"`
	Zone    string        `long:"zone" description:"availability zone to explain"`
	Timeout time.Duration `long:"timeout" default:"3s" description:"timeout of the request to the VM"`
}

// Execute queries one VM. It returns a *refusedError (exit code 3) if the VM's bundle in force has no such
// target or zone.
func (c *explainTarget) Execute([]string) error {
	if (c.Target == "") == (c.Zone == "") {
		return &usageError{"exactly one of --target and --zone is required"}
	}
	query := url.Values{}
	if c.Target != "" {
		query.Set("target", c.Target)
	} else {
		query.Set("zone", c.Zone)
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	code, data, err := call(ctx, http.MethodGet, strings.TrimRight(c.VM, "/")+"/v1/explain?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	var e statusapi.Explanation
	if err := json.Unmarshal(data, &e); err != nil || e.Kind == "" {
		return fmt.Errorf("%s: HTTP status %d: %s", c.VM, code, strings.TrimSpace(string(data)))
	}
	if err := c.result(e, explanationLines(&e)...); err != nil {
		return err
	}
	if !e.Known {
		return &refusedError{c.VM, errors.New("the bundle in force has no " + e.Kind + " " + e.ID)}
	}
	return nil
}

func explanationLines(e *statusapi.Explanation) []string {
	verdict := "gets new work"
	if !e.GetsWork {
		verdict = "gets no new work"
	}
	lines := []string{fmt.Sprintf("%s %s: %s; config version %d, view generation %d", e.Kind, e.ID, verdict, e.ConfigVersion, e.Generation)}
	for _, cause := range e.Causes {
		lines = append(lines, fmt.Sprintf("  cause %s: %s", cause.Reason, cause.Detail))
	}
	for _, note := range e.Notes {
		lines = append(lines, "  note: "+note)
	}
	return lines
}
