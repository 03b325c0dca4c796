// Package kernel assembles the daemon from plug-ins. Plug-ins register themselves from init; the kernel starts them
// in one ordered list and stops them in reverse.
package kernel

import (
	"fmt"
	"slices"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/settings"
)

// Plugin is one part of the daemon.
type Plugin struct {
	// Name is the plug-in's place in the ordered list.
	Name string
	// Options provides the plug-in's parts and hooks.
	Options func() fx.Option
}

var registry = map[string]Plugin{}

// Register adds a plug-in; it is called from init functions. A name that is unknown or taken is a fault of the
// build, so it stops the process.
func Register(p Plugin) {
	if !slices.Contains(order, p.Name) && !slices.Contains(siteOrder, p.Name) {
		panic(fmt.Sprintf("kernel: plug-in %q is not in the ordered list", p.Name))
	}
	if _, taken := registry[p.Name]; taken {
		panic(fmt.Sprintf("kernel: plug-in %q is registered twice", p.Name))
	}
	registry[p.Name] = p
}

// Names returns the registered plug-ins of a fleet with bundles, in order.
func Names() []string { return registered(order) }

func registered(order []string) []string {
	var names []string
	for _, name := range order {
		if _, ok := registry[name]; ok {
			names = append(names, name)
		}
	}
	return names
}

// New assembles the daemon for a fleet with bundles. Nothing is opened before Start.
func New(s *settings.Settings, extra ...fx.Option) *fx.App {
	return assemble(s, Names(), extra)
}

// NewSite assembles the daemon for a deployment whose configuration is published in a store. extra supplies the parts
// that reach it.
func NewSite(s *settings.Settings, extra ...fx.Option) *fx.App {
	return assemble(s, registered(siteOrder), extra)
}

func assemble(s *settings.Settings, names []string, extra []fx.Option) *fx.App {
	options := []fx.Option{
		fx.Supply(s),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(lifecycle.New),
		fx.StartTimeout(s.StartTimeout),
		fx.StopTimeout(s.DrainTimeout + s.BalancerDelay + stopMargin),
	}
	for _, name := range names {
		options = append(options, fx.Module(name, registry[name].Options()))
	}
	return fx.New(append(options, extra...)...)
}
