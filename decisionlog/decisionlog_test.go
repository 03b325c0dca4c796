package decisionlog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"pgregory.net/rapid"

	"teaselbank.example/teaselbank/decisionlog"
)

func newLog(out *bytes.Buffer, capacity int, options ...decisionlog.Option) *decisionlog.Log {
	return decisionlog.New(log.NewWithOptions(out, log.Options{Formatter: log.LogfmtFormatter}), capacity, options...)
}

// The number of lines written for a frequent event must stay bounded at any rate, also in the second in which the rate
// rises, and the sampling intervals stated by Admit must add up to an estimate of how many lines there were.
func TestSampling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		l := newLog(&bytes.Buffer{}, 1, decisionlog.WithClock(clock), decisionlog.WithRate(10))
		lines := rapid.IntRange(1, 5000).Draw(t, "lines a second")
		kept, estimate := 0, 0
		for second := range 4 {
			kept, estimate = 0, 0
			for range lines {
				if every, ok := l.Admit("search"); ok {
					kept++
					estimate += every
				}
			}
			// The sampling interval doubles after each 10 lines kept, so 5000 lines in one second double it at most 10 times.
			if kept > 110 || second > 0 && kept > 10 {
				t.Fatalf("%d of %d lines were kept in second %d, which is too many", kept, lines, second)
			}
			clock.Advance(time.Second)
		}
		if lines <= 10 && kept != lines {
			t.Fatalf("%d of %d lines were kept although all of them are within the rate", kept, lines)
		}
		// Only the lines after the last one kept are missing from the estimate.
		if diff := lines - estimate; diff < 0 || diff >= (lines+9)/10 {
			t.Fatalf("the sampling intervals of the lines kept add up to %d for %d lines", estimate, lines)
		}
	})
}

// If the writer falls behind, records must be dropped and counted; memory must not grow and requests must not be delayed.
func TestQueueIsBoundedAndLossIsCounted(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out, 3)
	for i := range 5 {
		l.Add("search", "n", i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	require.Equal(t, uint64(2), l.Dropped())
	require.Equal(t, uint64(3), l.Written())
	require.Equal(t, 3, strings.Count(out.String(), "msg=search"))

	reader := metric.NewManualReader()
	require.NoError(t, l.Register(metric.NewMeterProvider(metric.WithReader(reader)).Meter("test")))
	var collected metricdata.ResourceMetrics
	require.NoError(t, reader.Collect(context.Background(), &collected))
	values := map[string]int64{}
	for _, m := range collected.ScopeMetrics[0].Metrics {
		values[m.Name] = m.Data.(metricdata.Sum[int64]).DataPoints[0].Value
	}
	require.Equal(t, map[string]int64{"decision_lines_written": 3, "decision_lines_dropped": 2, "decision_lines_sampled_out": 0}, values)
}
