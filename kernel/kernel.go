// Package kernel assembles the daemon from plug-ins. Plug-ins register themselves in init functions; the kernel starts
// them in a fixed order and stops them in reverse order.
package kernel

import (
	"fmt"
	"slices"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"teaselbank.example/teaselbank/lifecycle"
	"teaselbank.example/teaselbank/settings"
)

// Plugin is one component of the daemon.
type Plugin struct {
	// Name identifies the plug-in; it must be listed in bundlePlugins or sitePlugins.
	Name string
	// Options returns the fx options that provide the plug-in's types and lifecycle hooks.
	Options func() fx.Option
}

var registry = map[string]Plugin{}

// Register adds a plug-in; it is called from init functions. It panics if the name is unknown or already registered,
// since that is an error in the build.
func Register(p Plugin) {
	if !slices.Contains(bundlePlugins, p.Name) && !slices.Contains(sitePlugins, p.Name) {
		panic(fmt.Sprintf("kernel: plug-in %q is in neither bundlePlugins nor sitePlugins", p.Name))
	}
	if _, taken := registry[p.Name]; taken {
		panic(fmt.Sprintf("kernel: plug-in %q is registered twice", p.Name))
	}
	registry[p.Name] = p
}

// Names returns the registered plug-ins that New starts, in start order.
func Names() []string { return registered(bundlePlugins) }

func registered(order []string) []string {
	var names []string
	for _, name := range order {
		if _, ok := registry[name]; ok {
			names = append(names, name)
		}
	}
	return names
}

// New assembles the daemon for a fleet that is configured by signed bundles. Nothing is opened before Start.
func New(s *settings.Settings, extra ...fx.Option) *fx.App {
	return assemble(s, Names(), extra)
}

// NewSite assembles the daemon for a deployment whose configuration and targets are published in a metadata store. extra
// must provide the store's client and the other adapters to that deployment.
func NewSite(s *settings.Settings, extra ...fx.Option) *fx.App {
	return assemble(s, registered(sitePlugins), extra)
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
