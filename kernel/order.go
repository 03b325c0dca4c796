package kernel

import "time"

// order is the one list of plug-ins. Later plug-ins use what earlier ones provide, and are stopped first; the
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

// stopMargin is the time the kernel leaves to hooks beyond the drain, before it gives up on them.
const stopMargin = 5 * time.Second
