// Package admission is the plug-in that admits queries by caller class before their fan-out.
package admission

import (
	"errors"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/admission"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/observe"
	"teaselbank.example/teaselbank/search"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "admission", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(admission.New),
			fx.Invoke(func(c *admission.Controller, s *search.Searcher) {
				s.Sender = admission.ObservedSender{Sender: s.Sender, Controller: c}
			}),
			fx.Invoke(register),
		)
	}})
}

func register(c *admission.Controller, meter metric.Meter) error {
	return errors.Join(
		observe.Gauges(meter,
			observe.Instrument{Name: "admission_limit", Description: "queries that may run at once", Read: func() int64 { return int64(c.Limit()) }},
			observe.Instrument{Name: "admission_running", Description: "admitted queries that run", Read: func() int64 {
				running, _ := c.Counts()
				return int64(running)
			}},
		),
		observe.Counters(meter, observe.Instrument{Name: "admission_refused", Description: "queries refused before their fan-out",
			Read: func() int64 {
				_, refused := c.Counts()
				return int64(refused)
			}}),
	)
}
