// Package logging is the plug-in that provides the event log and the decision log.
package logging

import (
	"context"
	"os"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/decisionlog"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/search"
	"teaselbank.example/teaselbank/settings"
)

// decisionCapacity is the number of decision records that may wait for the writer. The record of a 52-leaf search holds
// 52 leaf decisions of 104 bytes, so 2048 records take about 11 MB. At the sampled rate they cover 20 s of searches.
const decisionCapacity = 2048

func init() {
	kernel.Register(kernel.Plugin{Name: "logging", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(newLogger, newDecisionLog, clockwork.NewRealClock),
			fx.Provide(func(l *decisionlog.Log) search.DecisionLog { return l }),
		)
	}})
}

func newLogger(s *settings.Settings) (*log.Logger, error) {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	logger := log.NewWithOptions(os.Stdout, log.Options{
		Formatter: log.LogfmtFormatter, ReportTimestamp: true, Level: level, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	})
	return logger.With("vm", s.VMID, "zone", s.Zone), nil
}

func newDecisionLog(lc fx.Lifecycle, logger *log.Logger, clock clockwork.Clock, meter metric.Meter) (*decisionlog.Log, error) {
	l := decisionlog.New(logger.With("component", "decision"), decisionCapacity, decisionlog.WithClock(clock))
	if err := l.Register(meter); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var writer sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			writer.Go(func() { l.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			writer.Wait()
			return nil
		},
	})
	return l, nil
}
