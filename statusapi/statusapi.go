// Package statusapi holds the JSON types of the operators' GET /v1/status and GET /v1/explain, which the daemon and the
// command-line tool share.
package statusapi

import (
	"time"

	"teaselbank.example/teaselbank/outcome"
)

// Status is the response of GET /v1/status: the state of the fleet as seen by this VM.
type Status struct {
	VM          string        `json:"vm"`
	Zone        string        `json:"zone"`
	Incarnation string        `json:"incarnation"`
	Ready       bool          `json:"ready"`
	Config      *ConfigStatus `json:"config"`
	// Conflicts counts the offers of bundles that had the version in force but another content, repeated ones included.
	Conflicts uint64 `json:"config_conflicts"`
	// Conflict is set while two contents of the version in force are known.
	Conflict *ConflictStatus `json:"config_conflict,omitempty"`
	Draining bool            `json:"draining"`
	// Generation, ViewUpdated and ViewStale describe the membership view.
	Generation       uint64         `json:"view_generation"`
	ViewUpdated      time.Time      `json:"view_updated"`
	ViewStale        bool           `json:"view_stale"`
	Peers            []PeerStatus   `json:"peers"`
	Targets          []TargetStatus `json:"targets"`
	DecisionsDropped uint64         `json:"decisions_dropped"`
	// Site is set on a deployment whose configuration and targets are published in a metadata store; Config is then null.
	Site *SiteStatus `json:"site,omitempty"`
}

// SiteStatus is the state, as seen by this VM, of a deployment whose configuration and targets are published in a
// metadata store, with the age of that state.
type SiteStatus struct {
	// Version is the version of the configuration, 0 if none is known. Revision is the revision of the store.
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Routes   int    `json:"routes"`
	// Changed is when this VM applied the newest change.
	Changed time.Time `json:"changed"`
	// LastStoreResponse is the time of the store's last response to this VM; the zero time if there was none.
	LastStoreResponse time.Time `json:"store_heard"`
	// WatchesStore reports that this VM watches the store itself; the other VMs get changes from their peers.
	WatchesStore bool `json:"following"`
	// LastOtherZoneContact is when a membership probe or probe reply of a VM of another zone last arrived; the zero time
	// if none did.
	LastOtherZoneContact time.Time `json:"other_zone_heard"`
	// ZonesOut are the zones whose targets get no new work by order of the operators.
	ZonesOut []string `json:"zones_out"`
	// Running is the number of requests being served.
	Running int64 `json:"running"`
	// Coordinator reports that this VM runs searches for smaller VMs of its zone. Coordinators are the other VMs of the zone
	// that do.
	Coordinator  bool     `json:"coordinator"`
	Coordinators []string `json:"coordinators"`
	// ExtraShare is this VM's part, from 0 to 1, of the constant of extra sends to shards that all VMs share.
	ExtraShare float64 `json:"extra_share"`
	// SearchesHandedOver counts the searches that coordinators ran for this VM, SearchesNotHandedOver those that this VM ran
	// because none was available, and SearchesLost those whose coordinator no longer replied.
	SearchesHandedOver    uint64 `json:"searches_handed_over"`
	SearchesNotHandedOver uint64 `json:"searches_not_handed_over"`
	SearchesLost          uint64 `json:"searches_lost"`
}

// ConfigStatus describes the bundle in force.
type ConfigStatus struct {
	Version  uint64    `json:"version"`
	Name     string    `json:"name"`
	Digest   string    `json:"digest"`
	Author   string    `json:"author"`
	Reviewer string    `json:"reviewer"`
	Signers  []string  `json:"signers"`
	Since    time.Time `json:"since"`
	// Unconfirmed reports that no peer could be asked for a newer bundle when this one was read.
	Unconfirmed bool `json:"unconfirmed"`
}

// ConflictStatus describes a bundle version that was published with different contents; operators must publish a higher
// version to resolve it. InForce is the digest of the bundle in force, Offered are the digests of the refused ones.
type ConflictStatus struct {
	Version uint64   `json:"version"`
	InForce string   `json:"in_force"`
	Offered []string `json:"offered"`
	// Signers are the signers of the latest refused bundle.
	Signers []string  `json:"signers"`
	Since   time.Time `json:"since"`
	// Count is the number of offers of a refused content.
	Count uint64 `json:"count"`
}

// PeerStatus is one VM of the membership view.
type PeerStatus struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Incarnation is empty if the VM is known only from the platform's list of VMs.
	Incarnation string    `json:"incarnation"`
	Started     time.Time `json:"started"`
	Sequence    uint64    `json:"sequence"`
	// Since is when the reporting VM learned of the peer's state.
	Since time.Time `json:"since"`
	// Indirect reports that the reporting VM's direct probes of the peer fail, while probes that it sends through other
	// VMs reach the peer.
	Indirect bool `json:"indirect"`
	// Usable reports that new work may be sent to the peer.
	Usable bool `json:"usable"`
}

// TargetStatus is one target. Owners are the VMs that own it; there are none if Status.Site is set.
type TargetStatus struct {
	Target  string   `json:"target"`
	Service string   `json:"service"`
	Zone    string   `json:"zone"`
	State   string   `json:"state"`
	Owners  []string `json:"owners"`
}

// Explanation is the response of GET /v1/explain: why a target or zone gets no new work.
type Explanation struct {
	// Kind is target or zone.
	Kind string `json:"kind"`
	ID   string `json:"id"`
	// Known reports that the target or zone is in the bundle in force.
	Known bool `json:"known"`
	// GetsWork reports that the target or zone is known and that there are no causes.
	GetsWork bool `json:"gets_work"`
	// Causes are the reasons why no new work is sent.
	Causes []Cause `json:"causes"`
	// Notes are circumstances that do not prevent new work.
	Notes         []string `json:"notes"`
	Service       string   `json:"service,omitempty"`
	Zone          string   `json:"zone,omitempty"`
	Owners        []string `json:"owners,omitempty"`
	VMs           int      `json:"usable_vms,omitempty"`
	Targets       int      `json:"serving_targets,omitempty"`
	ConfigVersion uint64   `json:"config_version"`
	Generation    uint64   `json:"view_generation"`
}

// Cause is one reason why no new work is sent.
type Cause struct {
	Reason outcome.Reason `json:"reason"`
	Detail string         `json:"detail"`
}

// Add appends a cause.
func (e *Explanation) Add(reason outcome.Reason, detail string) {
	e.Causes = append(e.Causes, Cause{reason, detail})
}

// Done sets GetsWork from Known and the causes, and returns e.
func (e *Explanation) Done() *Explanation {
	e.GetsWork = e.Known && len(e.Causes) == 0
	return e
}
