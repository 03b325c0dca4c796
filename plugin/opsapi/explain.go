package opsapi

import (
	"fmt"
	"net/http"

	"github.com/gin-gonic/gin"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/membership"
	"teaselbank.example/teaselbank/outcome"
	"teaselbank.example/teaselbank/placement"
)

// explain handles GET /v1/explain?target=ID or ?zone=ID.
func (a *API) explain(c *gin.Context) {
	target, zone := c.Query("target"), c.Query("zone")
	if (target == "") == (zone == "") {
		c.JSON(http.StatusBadRequest, gin.H{"error": "exactly one of the parameters target and zone is needed"})
		return
	}
	in := inputs{view: a.viewer.View(), plan: a.planner.Plan()}
	if current := a.source.Current(); current != nil {
		in.bundle = current.Bundle
	}
	var e *Explanation
	if target != "" {
		e = in.explainTarget(ident.TargetID(target))
	} else {
		e = in.explainZone(ident.Zone(zone))
	}
	status := http.StatusOK
	if !e.Known {
		status = http.StatusNotFound
	}
	c.JSON(status, e)
}

// inputs are the state, at one moment, that decides whether new work is sent to a target.
type inputs struct {
	view   *membership.View
	plan   *placement.Plan
	bundle *bundle.Bundle
}

func (in *inputs) newExplanation(kind, id string) *Explanation {
	e := &Explanation{Kind: kind, ID: id, Generation: in.view.Generation, Causes: []Cause{}, Notes: []string{}}
	if in.view.Stale {
		e.Add(outcome.ReasonStaleView, "this process was paused and has not refreshed its view")
	}
	if in.bundle == nil {
		e.Add(outcome.ReasonNoBundle, "no bundle is in force")
		return e
	}
	e.ConfigVersion = in.bundle.Version
	return e
}

func (in *inputs) explainTarget(id ident.TargetID) *Explanation {
	e := in.newExplanation("target", string(id))
	if in.bundle == nil {
		return e
	}
	service, target := in.findTarget(id)
	if target == nil {
		e.Add(outcome.ReasonTargetUnknown, fmt.Sprintf("no service of bundle version %d names the target", in.bundle.Version))
		return e
	}
	e.Known = true
	e.Service, e.Zone = string(service.ID), string(target.Zone)
	if target.State == bundle.TargetLeaving {
		e.Add(outcome.ReasonTargetLeaving, "the bundle says that the target is leaving")
	}
	in.addZoneCauses(e, target.Zone)
	if !holdsShard(service, id) {
		e.Add(outcome.ReasonNoReplica, "no snapshot of the service has a shard on the target")
	}
	in.addOwners(e, id)
	return e.Done()
}

func (in *inputs) findTarget(id ident.TargetID) (*bundle.Service, *bundle.Target) {
	for i := range in.bundle.Services {
		if t := in.bundle.Services[i].TargetByID(id); t != nil {
			return &in.bundle.Services[i], t
		}
	}
	return nil, nil
}

func holdsShard(s *bundle.Service, id ident.TargetID) bool {
	for _, snapshot := range s.Snapshots {
		for _, shard := range snapshot.Shards {
			for _, replica := range shard.Replicas {
				if replica == id {
					return true
				}
			}
		}
	}
	return false
}

func (in *inputs) addZoneCauses(e *Explanation, id ident.Zone) {
	zone := in.bundle.ZoneByID(id)
	switch {
	case zone == nil:
		e.Add(outcome.ReasonZoneOut, "the bundle does not name the zone "+string(id))
	case zone.State == bundle.ZoneOut:
		e.Add(outcome.ReasonZoneOut, fmt.Sprintf("bundle version %d takes the zone %s out", in.bundle.Version, id))
	}
}

// addOwners adds the VMs that own the target, and a cause for each of them that is not usable.
func (in *inputs) addOwners(e *Explanation, id ident.TargetID) {
	if in.plan == nil {
		e.Add(outcome.ReasonNoBundle, "no placement plan has been made yet")
		return
	}
	target, ok := in.plan.Target(id)
	if !ok || len(target.Owners) == 0 {
		e.Add(outcome.ReasonPeerUnreachable, "the placement plan has no owner for the target")
		return
	}
	for _, o := range target.Owners {
		e.Owners = append(e.Owners, string(o.VM))
		m, known := in.view.Lookup(o.VM)
		if !known || !m.Usable() {
			e.Add(outcome.ReasonPeerUnreachable, fmt.Sprintf("the owner %s is %s in this VM's view", o.VM, stateOf(m, known)))
		}
	}
}

func stateOf(m membership.Member, known bool) string {
	if !known {
		return "unknown"
	}
	return string(m.State)
}

func (in *inputs) explainZone(id ident.Zone) *Explanation {
	e := in.newExplanation("zone", string(id))
	if in.bundle == nil {
		return e
	}
	e.Zone = string(id)
	e.Known = in.bundle.ZoneByID(id) != nil
	in.addZoneCauses(e, id)
	serving := 0
	for i := range in.bundle.Services {
		for _, t := range in.bundle.Services[i].Targets {
			if t.Zone == id && t.State == bundle.TargetServing {
				serving++
			}
		}
	}
	if serving == 0 {
		e.Add(outcome.ReasonNoReplica, "the bundle has no serving target in the zone")
	}
	e.VMs = len(in.view.UsableIn(id))
	e.Targets = serving
	if e.VMs == 0 {
		e.Notes = append(e.Notes, "no VM of the zone is usable; VMs of other zones own its targets")
	}
	return e.Done()
}
