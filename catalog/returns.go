package catalog

import (
	"time"

	"teaselbank.example/teaselbank/bundle"
	"teaselbank.example/teaselbank/ident"
)

// zoneReturn describes how an availability zone that was out of service gets its work back: gradually,
// from start and over duration.
type zoneReturn struct {
	start    time.Time
	duration time.Duration
}

// returns finds the zones that are returning to service. Bundles change every few minutes and a return may take an
// hour, so a return that has begun is carried over from the previous catalog.
func returns(c, previous *Catalog) map[ident.Zone]zoneReturn {
	wasOut, previousReturns := map[ident.Zone]bool{}, map[ident.Zone]zoneReturn{}
	switch {
	case previous != nil:
		wasOut, previousReturns = previous.zoneOut, previous.returns
	case c.InForce.Previous != nil:
		wasOut = zonesOut(c.InForce.Previous.Bundle)
	}
	result := map[ident.Zone]zoneReturn{}
	for _, z := range c.InForce.Bundle.Zones {
		duration := time.Duration(z.ReturnSeconds) * time.Second
		previousReturn, returning := previousReturns[z.ID]
		switch {
		case z.State != bundle.ZoneIn || duration == 0:
		case wasOut[z.ID]:
			result[z.ID] = zoneReturn{c.InForce.Since, duration}
		case returning:
			result[z.ID] = zoneReturn{previousReturn.start, duration}
		}
	}
	return result
}

// ReturnProgress returns the progress of the zone's return to service, from 0 to 1. The progress of a zone that is not
// returning is 1.
func (c *Catalog) ReturnProgress(zone ident.Zone, now time.Time) float64 {
	r, returning := c.returns[zone]
	if !returning {
		return 1
	}
	return max(0, min(1, float64(now.Sub(r.start))/float64(r.duration)))
}
