// Package statusapi holds the JSON types of the operators' GET /v1/status, for the daemon and the command-line tool.
package statusapi

import "time"

// Status is this VM's view, as JSON of GET /v1/status.
type Status struct {
	VM          string        `json:"vm"`
	Zone        string        `json:"zone"`
	Incarnation string        `json:"incarnation"`
	Ready       bool          `json:"ready"`
	Config      *ConfigStatus `json:"config"`
	Conflicts   uint64        `json:"config_conflicts"`
	// Conflict is set while two contents of the version in force are known.
	Conflict         *ConflictStatus `json:"config_conflict,omitempty"`
	Generation       uint64          `json:"view_generation"`
	Peers            []PeerStatus    `json:"peers"`
	Targets          []TargetStatus  `json:"targets"`
	DecisionsDropped uint64          `json:"decisions_dropped"`
}

// ConfigStatus describes the bundle in force.
type ConfigStatus struct {
	Version     uint64    `json:"version"`
	Name        string    `json:"name"`
	Digest      string    `json:"digest"`
	Author      string    `json:"author"`
	Reviewer    string    `json:"reviewer"`
	Signers     []string  `json:"signers"`
	Since       time.Time `json:"since"`
	Unconfirmed bool      `json:"unconfirmed"`
}

// ConflictStatus names the contents of one version; operators must publish a higher one.
type ConflictStatus struct {
	Version uint64    `json:"version"`
	InForce string    `json:"in_force"`
	Offered []string  `json:"offered"`
	Signers []string  `json:"signers"`
	Since   time.Time `json:"since"`
	Count   uint64    `json:"count"`
}

// PeerStatus is one VM of the view.
type PeerStatus struct {
	VM      string `json:"vm"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// TargetStatus is one target of the plan.
type TargetStatus struct {
	Target  string   `json:"target"`
	Service string   `json:"service"`
	Zone    string   `json:"zone"`
	State   string   `json:"state"`
	Owners  []string `json:"owners"`
}
