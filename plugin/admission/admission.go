// Package admission is the plug-in that admits queries by caller class before their fan-out.
package admission

import (
	"go.uber.org/fx"

	"teaselbank.example/teaselbank/admission"
	"teaselbank.example/teaselbank/kernel"
	"teaselbank.example/teaselbank/search"
)

func init() {
	kernel.Register(kernel.Plugin{Name: "admission", Options: func() fx.Option {
		return fx.Options(
			fx.Provide(admission.New),
			fx.Invoke(func(c *admission.Controller, s *search.Searcher) {
				s.Sender = admission.ObservedSender{Sender: s.Sender, Controller: c}
			}),
		)
	}})
}
