package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a missed bound or a failed benchmark that is missing from the report.
func TestParseKeepsMissedAndFailedFigures(t *testing.T) {
	figures, err := parse(strings.NewReader(`noise
BENCH name=p99 value=80 unit=ms bound=<=76 verdict=fail
BENCH name=coverage value=1 unit=ratio bound=>=1 verdict=pass
BENCH name=zone error="no \"fleet\"" verdict=fail
BENCH name=bytes_82 value=1 unit=B/s bound=none verdict=none
BENCH name=bytes_164 value=2 unit=B/s bound=none verdict=none
BENCH name=bytes_328 value=4 unit=B/s bound=none verdict=none
`))
	require.NoError(t, err)
	require.Len(t, figures, 6)
	require.Greater(t, figures[0].share(), 1.0)
	require.LessOrEqual(t, figures[1].share(), 1.0)
	require.Equal(t, "fail", figures[2].Verdict)
	s := findSeries(figures)
	require.Len(t, s, 1)
	require.Equal(t, []float64{82, 164, 328}, s[0].X)
}

// Guards against figures that are lost silently because their line is malformed.
func TestParseRefusesMalformedLines(t *testing.T) {
	for _, line := range []string{"BENCH value=1 verdict=pass", "BENCH name=a value=x verdict=pass", "BENCH name=a value=1 bound=7 verdict=pass"} {
		_, err := parse(strings.NewReader(line))
		require.Error(t, err, line)
	}
}
