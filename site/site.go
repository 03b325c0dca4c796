// Package site defines the settings of a VM in a deployment that publishes its configuration and its targets in an
// external store. The daemon only reads that store.
package site

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

// Settings holds the identity, addresses and resource limits of one process, and the budgets that apply to all VMs of
// the deployment together.
type Settings struct {
	VMID ident.VMID
	Zone ident.Zone
	// Regions maps each zone to its region.
	Regions map[ident.Zone]string
	// Seeds are peer addresses of some VMs of the deployment; they may be stale, and the VMs may be down.
	Seeds []string

	// CallerListen, PeerListen and ReadinessListen are IP addresses and ports.
	CallerListen    string
	PeerListen      string
	ReadinessListen string
	// MetricsListen is a further IP address and port for metrics. If it is empty, metrics are served on
	// ReadinessListen only.
	MetricsListen string
	// Source is the IP address and port of the external store.
	Source string

	// Capacity is the VM's share of a processor in thousandths of a core; 0 if not stated.
	Capacity       int
	MemoryBytes    int64
	MaxDescriptors int
	// StopBound is the time from the stop signal until the process is killed.
	StopBound time.Duration
	// ChangeBound is the time in which a published change must be in force at every VM; 0 if not stated.
	ChangeBound time.Duration
	Extra       ExtraBudget
	Cold        ColdBound
}

// ExtraBudget bounds extra sends, which are all sends of a request after its first. Summed over all VMs, a service gets
// at most Ratio * requests + Slack of them in any Window.
type ExtraBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// ColdBound bounds the requests per second sent to a target in cold start, summed over all VMs, to
// Factor * the target's cold rate + Slack.
type ColdBound struct {
	Factor float64
	Slack  float64
}
