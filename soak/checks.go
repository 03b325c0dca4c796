package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"teaselbank.example/teaselbank/platform/platformtest"
)

// Bounds of the promises, as the settings and configurations of the soak state them.
const (
	maxSends    = 2
	topRecords  = 10
	minCoverage = 0.6
	maxConns    = 20
	// routeTimeout is stated by every route.
	routeTimeout = 2 * time.Second
	// lostAfter is the age of a request above which an orderly end of its connection means that it was read and then
	// dropped. A younger one may have crossed the end of an idle connection.
	lostAfter = 300 * time.Millisecond
	// upsetTail is how long after a fault of a VM its clients may still see the traces.
	upsetTail = time.Second
	// revertTime is the promise on how long an older configuration may still show after a newer one did.
	revertTime = 250 * time.Millisecond
	// extraRatio, extraWindow and extraSlack bound the sends beyond the first of each request, over all VMs.
	extraRatio  = 0.2
	extraSlack  = 50
	extraWindow = 10 * time.Second
)

// checks returns the broken promises of a record that is complete.
func checks(r *record) []string {
	faults := slices.Clone(r.faults)
	report := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	byID := map[string][]*arrival{}
	for _, a := range r.arrivals {
		byID[a.ID] = append(byID[a.ID], a)
	}
	for _, a := range r.answers {
		seen := byID[a.ID]
		checkRuns(a, seen, report)
		checkRefusal(a, seen, report)
		checkLost(r, a, report)
		checkDenied(a, report)
		switch {
		case a.Broken || a.Abandoned:
		case a.Status == http.StatusOK && a.Kind == kindScatter:
			checkScatter(r, a, seen, report)
		case a.Status == http.StatusOK:
			checkSuccess(r, a, seen, report)
		case a.Signature != "":
			checkPassedFailure(a, seen, report)
		}
	}
	checkUnasked(r, byID, report)
	checkReverts(r, report)
	checkBars(r, report)
	checkExtra(r, report)
	return faults
}

type reporter func(format string, args ...any)

// checkRuns: an order runs at most once, and no request on more targets of a service than its route allows.
func checkRuns(a *answer, seen []*arrival, report reporter) {
	runs, perService := 0, map[string]map[string]bool{}
	for _, s := range seen {
		if !s.Ran {
			continue
		}
		runs++
		if perService[s.Service] == nil {
			perService[s.Service] = map[string]bool{}
		}
		perService[s.Service][s.Leaf] = true
	}
	if a.Kind == kindOrder && runs > 1 {
		report("TWICE: order %s ran %d times", a.ID, runs)
	}
	for service, leafs := range perService {
		if len(leafs) > maxSends {
			report("BUDGET: request %s ran on %d targets of %s", a.ID, len(leafs), service)
		}
	}
}

// checkRefusal: what is said not to have run has not run, and never will.
func checkRefusal(a *answer, seen []*arrival, report reporter) {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
	default:
		return
	}
	for _, s := range seen {
		if s.Ran {
			report("REFUSED: %s %s was answered %d by vm-%d and ran at %s (%s after the answer)", a.Kind, a.ID, a.Status, a.VM, s.Leaf,
				s.At.Sub(a.Ended).Round(time.Millisecond))
			return
		}
	}
}

// checkLost: a VM that runs, also one that is stopping, answers each request that it has read.
func checkLost(r *record, a *answer, report reporter) {
	if !a.Broken || !a.OrderlyClose || a.Ended.Sub(a.Sent) < lostAfter {
		return
	}
	if r.calm(a.VM, a.Sent, a.Ended) {
		report("LOST: %s %s of vm-%d, life %d, got no answer for %s", a.Kind, a.ID, a.VM, a.Life, a.Ended.Sub(a.Sent).Round(time.Millisecond))
	}
}

// checkDenied: a route that every configuration has is never unknown.
func checkDenied(a *answer, report reporter) {
	if a.Kind != kindVersion && a.Status >= 400 && a.Status < 500 && a.Status != http.StatusTooManyRequests &&
		a.Status != http.StatusRequestTimeout && a.Status != http.StatusMisdirectedRequest {
		report("DENIED: %s %s was answered %d by vm-%d", a.Kind, a.ID, a.Status, a.VM)
	}
}

// answeredBy returns the last run at the target whose signature of the request this is. Other arrivals there were refused,
// or meant for a target that had the address before.
func answeredBy(signature, id string, seen []*arrival) *arrival {
	for _, s := range slices.Backward(seen) {
		if s.Ran && platformtest.Signature(s.Leaf, id) == signature {
			return s
		}
	}
	return nil
}

// checkSuccess: a success is the whole answer of a target of the right service to this very request.
func checkSuccess(r *record, a *answer, seen []*arrival, report reporter) {
	by := answeredBy(a.Signature, a.ID, seen)
	switch {
	case by == nil:
		report("MIXED: %s %s has a signature of no target that got it", a.Kind, a.ID)
	case !by.Good || by.Service != a.Service:
		report("MIXED: %s %s was answered by %s of %s, which failed or is not of %s", a.Kind, a.ID, by.Leaf, by.Service, a.Service)
	case a.RequestID != a.ID || !bytes.Equal(a.Body, r.leafs[by.Leaf].Body):
		report("MIXED: the answer to %s %s is not whole or not its own", a.Kind, a.ID)
	}
}

func checkPassedFailure(a *answer, seen []*arrival, report reporter) {
	if by := answeredBy(a.Signature, a.ID, seen); by == nil || by.Good || a.Status != http.StatusInternalServerError {
		report("MIXED: %s %s passes on a failure %d that no target gave", a.Kind, a.ID, a.Status)
	}
}

// checkScatter: the shards named are of one configuration, each once, enough of them, and the records are theirs.
func checkScatter(r *record, a *answer, seen []*arrival, report reporter) {
	var services []string
	var records [][]byte
	for _, signature := range a.Covered {
		by := answeredBy(signature, a.ID, seen)
		if by == nil || !by.Good || slices.Contains(services, by.Service) {
			report("MIXED: scatter %s (%s, %s) names a part that no target gave, or one shard twice: %s", a.ID, a.Sent.Format(timeFormat),
				a.Ended.Sub(a.Sent).Round(time.Millisecond), describe(by, seen))
			return
		}
		services = append(services, by.Service)
		records = append(records, slices.Collect(slices.Chunk(r.leafs[by.Leaf].Body, 16))...)
	}
	fits := func(set []string) bool {
		return len(set) == len(services)+a.Missing && float64(len(services)) >= minCoverage*float64(len(set)) &&
			!slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(set, s) })
	}
	if len(services) == 0 || !slices.ContainsFunc(r.sets, fits) {
		report("MIXED: scatter %s has the shards %v and says that %d are missing", a.ID, services, a.Missing)
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	if want := bytes.Join(records[:min(topRecords, len(records))], nil); !bytes.Equal(want, a.Body) {
		report("MIXED: the records of scatter %s are not the greatest of its parts", a.ID)
	}
}

// timeFormat is that of the events.
const timeFormat = "15:04:05.000"

// describe lists what the targets of a part's shard saw of the request.
func describe(by *arrival, seen []*arrival) string {
	if by == nil {
		return "no target has this signature"
	}
	text := "signed by " + by.Leaf
	for _, s := range seen {
		if s.Service == by.Service {
			text += fmt.Sprintf("; %s at %s ran=%t good=%t", s.Leaf, s.At.Format(timeFormat), s.Ran, s.Good)
		}
	}
	return text
}

// checkUnasked: targets run only what clients sent, and only at the service of the route.
func checkUnasked(r *record, byID map[string][]*arrival, report reporter) {
	asked := map[string]*answer{}
	for _, a := range r.answers {
		asked[a.ID] = a
	}
	for id, list := range byID {
		a := asked[id]
		for _, s := range list {
			switch {
			case !s.Ran:
			case a == nil || s.Route != a.Route:
				report("UNASKED: %s ran %q on route %s", s.Leaf, id, s.Route)
			case a.Kind != kindScatter && s.Service != a.Service:
				report("ROUTE: %s of %s ran %s %s", s.Leaf, s.Service, a.Kind, id)
			case a.Kind == kindScatter && !slices.ContainsFunc(r.sets, func(set []string) bool { return slices.Contains(set, s.Service) }):
				report("ROUTE: %s of %s ran scatter %s", s.Leaf, s.Service, id)
			}
		}
	}
}

// checkBars: zones that are taken out and targets that leave get nothing after a while.
func checkBars(r *record, report reporter) {
	for _, b := range r.bars {
		for _, s := range r.arrivals {
			if !s.Ran || s.At.Before(b.From) || s.At.After(b.To) {
				continue
			}
			if s.Zone == b.Zone {
				report("EVAC: %s of zone %s got %s although the zone is out", s.Leaf, s.Zone, s.ID)
			}
			if s.Leaf == b.Leaf {
				report("DRAIN: %s got %s although it leaves", s.Leaf, s.ID)
			}
		}
	}
}

// checkReverts: a process that served a route which a version added knows that route from then on, as long as the
// newest version has it.
func checkReverts(r *record, report reporter) {
	type process struct{ vm, life int }
	served := map[process]map[string]time.Time{}
	list := slices.DeleteFunc(slices.Clone(r.answers), func(a *answer) bool { return a.Kind != kindVersion || a.Broken || a.Abandoned })
	sort.Slice(list, func(i, j int) bool { return list[i].Ended.Before(list[j].Ended) })
	for _, a := range list {
		p := process{a.VM, a.Life}
		if served[p] == nil {
			served[p] = map[string]time.Time{}
		}
		first, known := served[p][a.Route]
		switch {
		case a.Status == http.StatusOK && !known:
			served[p][a.Route] = a.Ended
		case a.Status == http.StatusNotFound && known && a.Sent.After(first.Add(revertTime)) && r.routeStands(a.Route, a.Ended):
			report("CONFIG: vm-%d, life %d, served /%s/ and knew it no more %s later", a.VM, a.Life, a.Route, a.Sent.Sub(first).Round(time.Millisecond))
		}
	}
}

// routeStands reports whether every version that was published by then still has the route.
func (r *record) routeStands(route string, by time.Time) bool {
	newest := 0
	for version, at := range r.published {
		if at.Before(by) {
			newest = max(newest, version)
		}
	}
	return slices.Contains(versionRoutes(newest), route)
}

// checkExtra: sends beyond the first of each request stay within their share, summed over all VMs.
func checkExtra(r *record, report reporter) {
	type series struct{ extra, asked []time.Time }
	services := map[string]*series{}
	of := func(service string) *series {
		if services[service] == nil {
			services[service] = &series{}
		}
		return services[service]
	}
	first := map[string]bool{}
	arrivals := slices.Clone(r.arrivals)
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
	for _, s := range arrivals {
		key := s.Service + " " + s.ID
		if first[key] {
			of(s.Service).extra = append(of(s.Service).extra, s.At)
		} else {
			// A first arrival stands for the request; requests that never arrived would allow more, not less.
			of(s.Service).asked = append(of(s.Service).asked, s.At)
		}
		first[key] = true
	}
	for service, s := range services {
		for i, from := range s.extra {
			n := within(s.extra[i:], from, from.Add(extraWindow))
			asked := max(within(s.asked, from, from.Add(extraWindow)), within(s.asked, from.Add(-extraWindow), from),
				within(s.asked, from.Add(-extraWindow/2), from.Add(extraWindow/2)))
			if limit := extraRatio*float64(asked) + extraSlack; float64(n) > limit {
				report("BUDGET: %s got %d extra sends in %s, %.0f are allowed", service, n, extraWindow, limit)
				break
			}
		}
	}
}

// within counts the moments of a sorted list in [from, to).
func within(list []time.Time, from, to time.Time) int {
	low := sort.Search(len(list), func(i int) bool { return !list[i].Before(from) })
	high := sort.Search(len(list), func(i int) bool { return !list[i].Before(to) })
	return high - low
}
