package kernel

import "time"

// bundlePlugins are the plug-ins for a fleet that is configured by signed bundles, in start order. Later plug-ins use
// what earlier ones provide and are stopped first. The listeners come last, so that no request is accepted before the
// other plug-ins have started.
var bundlePlugins = []string{
	"logging",
	"metrics",
	"configuration",
	"membership",
	"placement",
	"relay",
	"quarantine",
	"admission",
	"search",
	"ticket",
	"peerapi",
	"callerapi",
	"opsapi",
	"shutdown",
}

// sitePlugins are the plug-ins for a deployment whose configuration and targets are published in a metadata store, in
// start order. None of them needs a bundle.
var sitePlugins = []string{
	"logging",
	"metrics",
	"membership",
	"topology",
	"crashguard",
	"coordinator",
	"forwarding",
	"peerapi",
	"siteapi",
	"callerfront",
}

// stopMargin is the time for stop hooks, in addition to the drain, before the stop is abandoned.
const stopMargin = 5 * time.Second
