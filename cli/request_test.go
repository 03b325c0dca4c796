package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const requestLog = `  35.1 front-a time=2026-07-12T01:46:20.000Z level=info msg=target_gone vm=a zone=z target=i-1
  35.2 front-a time=2026-07-12T01:46:21.000Z level=info msg=target_gone vm=a zone=z target=i-9
time=2026-07-12T01:46:22.012Z level=info msg=request_unserved vm=a id=r1 status=502 reason="too few targets" unit_s=i-1,i-2:unserved
time=2026-07-12T01:46:22.000Z level=info msg=readiness vm=b ready=false
not a line
time=2026-07-12T01:46:30.000Z level=info msg=readiness vm=a ready=false
`

// Guards against log lines of other VMs, targets or times in the output for a request, and against output without the
// context events around it.
func TestExplainRequest(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	require.NoError(t, os.WriteFile(file, []byte(requestLog), 0o600))
	for _, c := range []struct {
		args []string
		in   string
	}{{[]string{"explain-request", "r1", file}, ""}, {[]string{"explain-request", "r1"}, requestLog}} {
		var out, errOut bytes.Buffer
		require.Equal(t, ExitOK, Run(context.Background(), c.args, strings.NewReader(c.in), &out, &errOut), errOut.String())
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		require.Len(t, lines, 3)
		require.Contains(t, lines[0], "target=i-1")
		require.Contains(t, lines[1], "id=r1")
		require.Contains(t, lines[2], "1 more lines")
	}
	var out, errOut bytes.Buffer
	require.Equal(t, ExitRefused, Run(context.Background(), []string{"explain-request", "r2", file}, nil, &out, &errOut))
	require.Contains(t, errOut.String(), "r2")
	require.Equal(t, ExitUsage, Run(context.Background(), []string{"explain-request"}, strings.NewReader(""), &out, &errOut))
	require.Equal(t, ExitFailure, Run(context.Background(), []string{"explain-request", "r1", file + "x"}, nil, &out, &errOut))
}
