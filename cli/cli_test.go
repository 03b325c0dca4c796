package cli_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/cli"
	"teaselbank.example/teaselbank/plugin/callerapi"
	"teaselbank.example/teaselbank/statusapi"
)

// shell runs command lines of the tool on files in a temporary directory.
type shell struct {
	t   *testing.T
	dir string
}

func (s shell) path(name string) string { return filepath.Join(s.dir, name) }

// run executes a command line and checks its exit code. Arguments that start with @ name files in the test's directory.
func (s shell) run(want int, line string) (out, errOut string) {
	s.t.Helper()
	args := strings.Fields(line)
	for i, a := range args {
		if name, ok := strings.CutPrefix(a, "@"); ok {
			args[i] = s.path(name)
		}
	}
	var o, e bytes.Buffer
	code := cli.Run(s.t.Context(), args, strings.NewReader(""), &o, &e)
	require.Equal(s.t, want, code, "%s\n%s%s", line, o.String(), e.String())
	return o.String(), e.String()
}

// edit replaces the first occurrence of from in a file, which must contain it.
func (s shell) edit(name, from, to string) {
	data, err := os.ReadFile(s.path(name))
	require.NoError(s.t, err)
	require.Contains(s.t, string(data), from)
	require.NoError(s.t, os.WriteFile(s.path(name), []byte(strings.Replace(string(data), from, to, 1)), 0o600))
}

// newShell returns a shell with three key pairs, a root keyring of ana and ion that needs both, and a draft.
func newShell(t *testing.T) shell {
	s := shell{t, t.TempDir()}
	for _, name := range []string{"ana", "ion", "maria"} {
		s.run(cli.ExitOK, fmt.Sprintf("bundle keygen --signer %s --private @%s.key --public @%s.pub", name, name, name))
	}
	s.run(cli.ExitOK, "bundle keyring --key @ana.pub --key @ion.pub --threshold 2 --out @root")
	s.run(cli.ExitOK, "bundle create --author ana --reviewer ion --reason first --out @draft")
	return s
}

// Covers a bundle from draft to verification: two signers sign one after the other, and one signature is not enough.
func TestSignInTurn(t *testing.T) {
	s := newShell(t)
	s.run(cli.ExitOK, "bundle validate @draft")
	s.run(cli.ExitOK, "bundle sign --private @ana.key --keyring @root --out @one @draft")
	_, errOut := s.run(cli.ExitRefused, "bundle verify --keyring @root @one")
	require.Contains(t, errOut, "too few valid signatures")
	s.run(cli.ExitOK, "bundle sign --private @ion.key --signer ion --out @two @one")
	out, _ := s.run(cli.ExitOK, "--output json bundle verify --keyring @root @two")
	require.Contains(t, out, `"ion"`)
	out, _ = s.run(cli.ExitOK, "bundle explain @two")
	require.Contains(t, out, "signed by ana, ion")
	require.Contains(t, out, "zone zone-a is in: 1 targets")
}

// A rotation is signed by the signers of the old keyring one after the other; afterwards the removed signer is refused.
func TestRotateKeyring(t *testing.T) {
	s := newShell(t)
	s.run(cli.ExitOK, "bundle keyring --after @root --key @maria.pub --key @ion.pub --threshold 2 --out @rotation")
	s.run(cli.ExitOK, "bundle keyring --sign @rotation --private @ana.key --out @rotation1")
	s.run(cli.ExitOK, "bundle keyring --sign @rotation1 --private @ion.key --out @rotation2")
	s.run(cli.ExitOK, "bundle create --from @draft --author ana --reviewer ion --reason rotate --rotation @rotation2 --out @draft2")
	_, errOut := s.run(cli.ExitRefused, "bundle sign --private @ana.key --keyring @root @draft2")
	require.Contains(t, errOut, "signer: ana is not in the keyring")
	s.run(cli.ExitOK, "bundle sign --private @maria.key --keyring @root --out @b1 @draft2")
	s.run(cli.ExitOK, "bundle sign --private @ion.key --keyring @root --out @b2 @b1")
	s.run(cli.ExitOK, "bundle verify --keyring @root @b2")
	s.run(cli.ExitOK, "bundle keyring --sign @rotation2 --next --out @root2")
	s.run(cli.ExitOK, "bundle verify --keyring @root2 @b2")
	out, _ := s.run(cli.ExitOK, "bundle diff @draft @draft2")
	require.Contains(t, out, "rotations.epoch-1: added (2 of maria, ion must sign)")
}

// Every refusal must name the file, the field and the reason.
func TestRefusalsNameTheFault(t *testing.T) {
	s := newShell(t)
	require.NoError(t, os.Chmod(s.path("ana.key"), 0o640))
	_, errOut := s.run(cli.ExitRefused, "bundle sign --private @ana.key @draft")
	require.Contains(t, errOut, "ana.key: mode: 0640")
	_, errOut = s.run(cli.ExitFailure, "bundle keygen --signer ion --private @ion.key")
	require.Contains(t, errOut, "exists")
	_, errOut = s.run(cli.ExitRefused, "bundle sign --private @ion.key --signer ana @draft")
	require.Contains(t, errOut, "ion.key: signer")
	for _, c := range []struct{ from, to, want string }{
		{`"slots": 2`, `"slots": 0`, "services.service-a.slots: 0 is not in 1..1024"},
		{`"slots": 0`, `"slots": "x"`, "services.slots: string cannot be read as int"},
		{`"slots": "x"`, `"Slots": 2`, `key "Slots"`},
		{`"Slots": 2`, `"slots": 2, "slots": 3`, `key "slots"`},
		{`"slots": 2, "slots": 3`, `"slotz": 2`, "slotz"},
	} {
		s.edit("draft", c.from, c.to)
		_, errOut = s.run(cli.ExitRefused, "bundle validate @draft")
		require.Contains(t, errOut, c.want)
		require.Contains(t, errOut, "draft: ")
	}
}

// Scripts distinguish usage errors from failures by the exit code, and no command offers to write to the platform.
func TestUsage(t *testing.T) {
	s := shell{t, t.TempDir()}
	for _, line := range []string{"", "bundle", "bundle publish", "bundle sign", "--output xml bundle create", "status", "bundle create rest"} {
		_, errOut := s.run(cli.ExitUsage, line)
		require.NotEmpty(t, errOut, line)
	}
	out, _ := s.run(cli.ExitOK, "--help")
	require.Contains(t, out, `There is no "bundle publish"`)
	out, _ = s.run(cli.ExitOK, "--version")
	require.Contains(t, out, "teaselbank ")
	s.run(cli.ExitFailure, "bundle validate @missing")
}

// The status must show a configuration conflict and an unreachable VM.
func TestStatus(t *testing.T) {
	s := shell{t, t.TempDir()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(statusapi.Status{VM: "vm-1", Zone: "lupeni", Ready: true,
			Config:   &statusapi.ConfigStatus{Version: 7, Name: "winter", Since: time.Unix(0, 0).UTC(), Unconfirmed: true},
			Conflict: &statusapi.ConflictStatus{Version: 7, Offered: []string{"abcd"}},
			Peers:    []statusapi.PeerStatus{{VM: "vm-2", State: "alive"}},
			Targets:  []statusapi.TargetStatus{{Target: "t1", Owners: []string{"vm-2"}}}})
	}))
	defer server.Close()
	out, _ := s.run(cli.ExitOK, "status --vm "+server.URL)
	for _, want := range []string{"version 7", "1970-01-01T00:00:00Z", "unconfirmed true", "ALARM config_conflict", "peer vm-2", "target t1"} {
		require.Contains(t, out, want)
	}
	out, _ = s.run(cli.ExitFailure, "status --vm "+server.URL+" --vm http://127.0.0.1:1")
	require.Contains(t, out, "no answer")
	require.Contains(t, out, "version 7")
}

// For a deployment that is published in a store, the status must show the configuration that the VM has, and when it
// was last updated.
func TestStatusOfASite(t *testing.T) {
	s := shell{t, t.TempDir()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(statusapi.Status{VM: "vm-1", Zone: "lupeni", Ready: true,
			Site: &statusapi.SiteStatus{Version: 17, Revision: 110, Routes: 3, Changed: time.Unix(60, 0).UTC(), LastStoreResponse: time.Unix(0, 0).UTC(),
				ZonesOut: []string{"vulcan"}, Running: 4, Coordinators: []string{"vm-2", "vm-3"}, ExtraShare: 0.04, SearchesHandedOver: 9,
				SearchesNotHandedOver: 2, SearchesLost: 1},
			Targets: []statusapi.TargetStatus{{Target: "t1", State: "leaving"}}})
	}))
	defer server.Close()
	out, _ := s.run(cli.ExitOK, "status --vm "+server.URL)
	for _, want := range []string{"configuration version 17, 3 routes, store revision 110 taken in at 1970-01-01T00:01:00Z, 4 requests running",
		"store heard 1970-01-01T00:00:00Z, another zone heard never", "zones out: vulcan", "target t1", "leaving",
		"coordinator false, others in the zone vm-2, vm-3, share of extra sends 0.0400", "searches handed over 9, run here 2, lost 1"} {
		require.Contains(t, out, want)
	}
	require.NotContains(t, out, "bundle")
	require.NotContains(t, out, "owners")
}

// The request that the tool sends must match what the daemon decodes, without unknown fields.
func TestSearch(t *testing.T) {
	s := shell{t, t.TempDir()}
	var got callerapi.SearchRequest
	outcome := "complete"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&got); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(callerapi.SearchResponse{Outcome: outcome, Snapshot: "s1",
			Coverage: callerapi.Coverage{Answered: 2, Expected: 3}})
	}))
	defer server.Close()
	out, _ := s.run(cli.ExitOK, `search --service dispecerat --query {"q":1} --deadline 50ms --min-coverage 0.5 --class urgent --vm `+server.URL)
	require.Contains(t, out, "complete: 2 of 3 shards, snapshot s1")
	require.Equal(t, callerapi.SearchRequest{Service: "dispecerat", Query: json.RawMessage(`{"q":1}`), DeadlineMillis: 50, MinCoverage: 0.5, Class: "urgent"}, got)
	outcome = "not_run"
	s.run(cli.ExitFailure, `search --service dispecerat --query {} --vm `+server.URL)
	s.run(cli.ExitUsage, `search --service dispecerat --query {bad --vm `+server.URL)
}

// explain must show the causes why a zone gets no new work, and must fail for an unknown zone, so that a misspelt name
// is not taken for an explanation.
func TestExplainNamesCauses(t *testing.T) {
	s := newShell(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		known := r.URL.Query().Get("zone") == "lupeni"
		e := statusapi.Explanation{Kind: "zone", ID: r.URL.Query().Get("zone"), Known: known}
		if known {
			e.Add("zone_out", "operators took the zone out")
		}
		_ = json.NewEncoder(w).Encode(e.Done())
	}))
	defer server.Close()
	out, _ := s.run(cli.ExitOK, "explain --vm "+server.URL+" --zone lupeni")
	require.Contains(t, out, "gets no new work")
	require.Contains(t, out, "cause zone_out: operators took the zone out")
	s.run(cli.ExitRefused, "explain --vm "+server.URL+" --zone lupenl")
	s.run(cli.ExitUsage, "explain --vm "+server.URL)
}

// Guards against an experiment that prints no row for a load, and against a wrong flag without a clear error.
func TestExperiment(t *testing.T) {
	s := shell{t, t.TempDir()}
	out, _ := s.run(cli.ExitOK, "experiment --load 1 --load 2 --shards 10 --small-vms 4 --large-vms 1 --rate 10 --length 2s --seeds 1")
	require.Contains(t, out, "1.00  false")
	require.Contains(t, out, "2.00  true")
	_, errOut := s.run(cli.ExitUsage, "experiment --shards 0")
	require.Contains(t, errOut, "shards must be positive")
}
