package opsapi

import (
	"slices"
	"strings"
	"time"

	"teaselbank.example/teaselbank/placement"
)

// Status is this VM's view, as JSON of GET /v1/status.
type Status struct {
	VM               string         `json:"vm"`
	Zone             string         `json:"zone"`
	Incarnation      string         `json:"incarnation"`
	Ready            bool           `json:"ready"`
	Config           *ConfigStatus  `json:"config"`
	Conflicts        uint64         `json:"config_conflicts"`
	Generation       uint64         `json:"view_generation"`
	Peers            []PeerStatus   `json:"peers"`
	Targets          []TargetStatus `json:"targets"`
	DecisionsDropped uint64         `json:"decisions_dropped"`
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

func targetStatus(t *placement.Target) TargetStatus {
	s := TargetStatus{Target: string(t.ID), Service: string(t.Service), Zone: string(t.Zone), State: string(t.State)}
	for _, o := range t.Owners {
		s.Owners = append(s.Owners, string(o.VM))
	}
	return s
}

func sortTargets(list []TargetStatus) {
	slices.SortFunc(list, func(a, b TargetStatus) int { return strings.Compare(a.Target, b.Target) })
}
