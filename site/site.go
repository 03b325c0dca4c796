// Package site holds the settings of a VM on a deployment whose configuration and targets are published in a store
// that the daemon only reads.
package site

import (
	"time"

	"teaselbank.example/teaselbank/ident"
)

// Settings are what a process must know of itself and of the bounds that all VMs of the deployment keep together.
type Settings struct {
	VMID ident.VMID
	Zone ident.Zone
	// Regions holds the region of each zone.
	Regions map[ident.Zone]string
	// Seeds are peer addresses of a few VMs, which may be stale or down.
	Seeds []string

	// CallerListen, PeerListen and ReadinessListen are IP addresses and ports.
	CallerListen    string
	PeerListen      string
	ReadinessListen string
	// MetricsListen is empty if metrics are only served beside readiness.
	MetricsListen string
	// Source is the IP address and port of the store.
	Source string

	MemoryBytes    int64
	MaxDescriptors int
	// StopBound is the time from the signal to stop until the process is killed.
	StopBound time.Duration
	Extra     ExtraBudget
	Cold      ColdBound
}

// ExtraBudget bounds the sends beyond the first of each request, summed over all VMs: in any Window a service gets at
// most Ratio x requests + Slack of them.
type ExtraBudget struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// ColdBound bounds what a cold target gets in a second, summed over all VMs: Factor x its rate + Slack.
type ColdBound struct {
	Factor float64
	Slack  float64
}
