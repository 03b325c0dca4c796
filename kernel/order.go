package kernel

import "time"

// order is the list of plug-ins for a fleet that is driven by signed bundles. Later plug-ins use what earlier ones provide, and are stopped first; the
// listeners stand last so that nothing is accepted before the rest has started.
var order = []string{
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

// siteOrder is the list for a deployment whose configuration and targets are published in a store. Nothing that needs a
// bundle is started there.
var siteOrder = []string{
	"logging",
	"metrics",
	"membership",
	"topology",
	"crashguard",
	"forwarding",
	"peerapi",
	"siteapi",
	"callerfront",
}

// stopMargin is the time the kernel leaves to hooks beyond the drain, before it gives up on them.
const stopMargin = 5 * time.Second
