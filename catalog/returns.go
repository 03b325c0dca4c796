package catalog

import (
	"time"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
)

// zoneReturn is the return of an availability zone to service.
type zoneReturn struct {
	since time.Time
	over  time.Duration
}

// returns finds the zones that return to service. Bundles change every few minutes and a return may take an hour, so
// a return under way is carried over from the catalog before.
func returns(c, previous *Catalog) map[ident.Zone]zoneReturn {
	wasOut, under := map[ident.Zone]bool{}, map[ident.Zone]zoneReturn{}
	switch {
	case previous != nil:
		wasOut, under = previous.zoneOut, previous.returns
	case c.InForce.Previous != nil:
		wasOut = zonesOut(c.InForce.Previous.Bundle)
	}
	list := map[ident.Zone]zoneReturn{}
	for _, z := range c.InForce.Bundle.Zones {
		over := time.Duration(z.ReturnSeconds) * time.Second
		carried, isUnder := under[z.ID]
		switch {
		case z.State != bundle.ZoneIn || over == 0:
		case wasOut[z.ID]:
			list[z.ID] = zoneReturn{c.InForce.Since, over}
		case isUnder:
			list[z.ID] = zoneReturn{carried.since, over}
		}
	}
	return list
}

// Returned returns how far the zone's return to service has come, from 0 to 1. It is 1 for a zone that does not
// return.
func (c *Catalog) Returned(zone ident.Zone, now time.Time) float64 {
	r, under := c.returns[zone]
	if !under {
		return 1
	}
	return max(0, min(1, float64(now.Sub(r.since))/float64(r.over)))
}
