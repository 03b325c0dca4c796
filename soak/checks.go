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

// Bounds that the checks enforce, as stated by the settings and configurations of the soak.
const (
	maxSends    = 2
	topRecords  = 10
	minCoverage = 0.6
	maxConns    = 20
	// routeTimeout is the timeout of every route.
	routeTimeout = 2 * time.Second
	// minLostAge is the age from which a request counts as lost if its connection ends with EOF and no response: the VM
	// has read the request by then. A younger request may have been in flight while the VM closed an idle connection.
	minLostAge = 300 * time.Millisecond
	// disruptionGrace is how long after a disruption of a VM its clients may still see effects of it.
	disruptionGrace = time.Second
	// revertBound is how long a VM may still serve by an older configuration after it first served by a newer one.
	revertBound = 250 * time.Millisecond
	// Extra sends, summed over all VMs, may not exceed extraRatio of the requests within extraWindow, plus extraSlack.
	extraRatio  = 0.2
	extraSlack  = 50
	extraWindow = 10 * time.Second
)

// findViolations runs all checks on a complete record and returns the violations, those seen during the run included.
func findViolations(r *record) []string {
	violations := slices.Clone(r.violations)
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	byID := map[string][]*arrival{}
	for _, a := range r.arrivals {
		byID[a.ID] = append(byID[a.ID], a)
	}
	for _, a := range r.exchanges {
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
			checkForwardedFailure(a, seen, report)
		}
	}
	checkUnasked(r, byID, report)
	checkReverts(r, report)
	checkExclusions(r, report)
	checkExtra(r, report)
	return violations
}

// reporter adds a violation.
type reporter func(format string, args ...any)

// checkRuns checks that an order runs at most once, and no request on more targets of a service than its route allows.
func checkRuns(a *exchange, seen []*arrival, report reporter) {
	runs, perService := 0, map[string]map[string]bool{}
	for _, s := range seen {
		if !s.Ran {
			continue
		}
		runs++
		if perService[s.Service] == nil {
			perService[s.Service] = map[string]bool{}
		}
		perService[s.Service][s.TargetID] = true
	}
	if a.Kind == kindOrder && runs > 1 {
		report("TWICE: order %s ran %d times", a.ID, runs)
	}
	for service, targets := range perService {
		if len(targets) > maxSends {
			report("BUDGET: request %s ran on %d targets of %s", a.ID, len(targets), service)
		}
	}
}

// checkRefusal checks that a request answered with 408, 421, 429 or 503 runs on no target, neither before nor after the
// response.
func checkRefusal(a *exchange, seen []*arrival, report reporter) {
	switch a.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
	default:
		return
	}
	for _, s := range seen {
		if s.Ran {
			report("REFUSED: %s %s was answered %d by vm-%d and ran at %s (%s after the response)", a.Kind, a.ID, a.Status, a.VM, s.TargetID,
				s.At.Sub(a.Ended).Round(time.Millisecond))
			return
		}
	}
}

// checkLost checks that a running or stopping VM answers each request that it has read.
func checkLost(r *record, a *exchange, report reporter) {
	if !a.Broken || !a.OrderlyClose || a.Ended.Sub(a.Sent) < minLostAge {
		return
	}
	if r.undisturbed(a.VM, a.Sent, a.Ended) {
		report("LOST: %s %s to vm-%d, incarnation %d, got no response for %s", a.Kind, a.ID, a.VM, a.Incarnation, a.Ended.Sub(a.Sent).Round(time.Millisecond))
	}
}

// checkDenied checks that requests on a route that every configuration contains get no 4xx status but 408, 421 and 429.
func checkDenied(a *exchange, report reporter) {
	if a.Kind != kindVersion && a.Status >= 400 && a.Status < 500 && a.Status != http.StatusTooManyRequests &&
		a.Status != http.StatusRequestTimeout && a.Status != http.StatusMisdirectedRequest {
		report("DENIED: %s %s was answered %d by vm-%d", a.Kind, a.ID, a.Status, a.VM)
	}
}

// answeredBy returns the last arrival that ran at the target to which the signature for the request belongs. It returns
// nil if there is none. Arrivals at that target that did not run are skipped: the target refused them, or they were
// meant for the previous target at its address.
func answeredBy(signature, id string, seen []*arrival) *arrival {
	for _, s := range slices.Backward(seen) {
		if s.Ran && platformtest.Signature(s.TargetID, id) == signature {
			return s
		}
	}
	return nil
}

// checkSuccess checks that a success is the complete reply of a target of the right service to this request.
func checkSuccess(r *record, a *exchange, seen []*arrival, report reporter) {
	by := answeredBy(a.Signature, a.ID, seen)
	switch {
	case by == nil:
		report("MIXED: %s %s has a signature of no target that ran it", a.Kind, a.ID)
	case !by.Succeeded || by.Service != a.Service:
		report("MIXED: %s %s was answered by %s of service %s, which failed or is not of service %s", a.Kind, a.ID, by.TargetID, by.Service, a.Service)
	case a.RequestID != a.ID || !bytes.Equal(a.Body, r.targets[by.TargetID].Body):
		report("MIXED: the response to %s %s is incomplete or that of another request", a.Kind, a.ID)
	}
}

// checkForwardedFailure checks that a failure with a signature is the 500 reply of the target that signed it.
func checkForwardedFailure(a *exchange, seen []*arrival, report reporter) {
	if by := answeredBy(a.Signature, a.ID, seen); by == nil || by.Succeeded || a.Status != http.StatusInternalServerError {
		report("MIXED: %s %s has status %d, which the target that it names did not return", a.Kind, a.ID, a.Status)
	}
}

// checkScatter checks that the covered shards belong to one configuration, occur once each and reach minCoverage, and that
// the body holds their top records.
func checkScatter(r *record, a *exchange, seen []*arrival, report reporter) {
	var services []string
	var records [][]byte
	for _, signature := range a.Covered {
		by := answeredBy(signature, a.ID, seen)
		if by == nil || !by.Succeeded || slices.Contains(services, by.Service) {
			report("MIXED: scatter %s (sent %s, took %s) covers a shard without a reply of a target, or one shard twice: %s", a.ID, a.Sent.Format(timeFormat),
				a.Ended.Sub(a.Sent).Round(time.Millisecond), describeArrivals(by, seen))
			return
		}
		services = append(services, by.Service)
		records = append(records, slices.Collect(slices.Chunk(r.targets[by.TargetID].Body, 16))...)
	}
	matches := func(set []string) bool {
		return len(set) == len(services)+a.Missing && float64(len(services)) >= minCoverage*float64(len(set)) &&
			!slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(set, s) })
	}
	if len(services) == 0 || !slices.ContainsFunc(r.shardSets, matches) {
		report("MIXED: scatter %s covers the shards %v and reports %d missing, which fits no configuration or is too few", a.ID, services, a.Missing)
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	if want := bytes.Join(records[:min(topRecords, len(records))], nil); !bytes.Equal(want, a.Body) {
		report("MIXED: the records of scatter %s are not the top records of the shards that it covers", a.ID)
	}
}

// timeFormat is the format of times in events and violations.
const timeFormat = "15:04:05.000"

// describeArrivals lists the arrivals of the request at all targets of the shard to which the arrival by belongs.
func describeArrivals(by *arrival, seen []*arrival) string {
	if by == nil {
		return "no target that ran the request has this signature"
	}
	text := "signed by " + by.TargetID
	for _, s := range seen {
		if s.Service == by.Service {
			text += fmt.Sprintf("; %s at %s ran=%t good=%t", s.TargetID, s.At.Format(timeFormat), s.Ran, s.Succeeded)
		}
	}
	return text
}

// checkUnasked checks that targets run only requests that clients sent, and only those of their own service.
func checkUnasked(r *record, byID map[string][]*arrival, report reporter) {
	sent := map[string]*exchange{}
	for _, a := range r.exchanges {
		sent[a.ID] = a
	}
	for id, list := range byID {
		a := sent[id]
		for _, s := range list {
			switch {
			case !s.Ran:
			case a == nil || s.Route != a.Route:
				report("UNASKED: %s ran %q on route %s, on which no client sent it", s.TargetID, id, s.Route)
			case a.Kind != kindScatter && s.Service != a.Service:
				report("ROUTE: %s of service %s ran %s %s of another service", s.TargetID, s.Service, a.Kind, id)
			case a.Kind == kindScatter && !slices.ContainsFunc(r.shardSets, func(set []string) bool { return slices.Contains(set, s.Service) }):
				report("ROUTE: target %s of service %s ran scatter request %s although the service is not one of its shards", s.TargetID, s.Service, id)
			}
		}
	}
}

// checkExclusions checks that targets of a zone that is taken out and draining targets run nothing during an exclusion.
func checkExclusions(r *record, report reporter) {
	for _, e := range r.exclusions {
		for _, s := range r.arrivals {
			if !s.Ran || s.At.Before(e.From) || s.At.After(e.To) {
				continue
			}
			if s.Zone == e.Zone {
				report("EVAC: %s of zone %s ran %s although the zone is taken out", s.TargetID, s.Zone, s.ID)
			}
			if s.TargetID == e.TargetID {
				report("DRAIN: %s ran %s although it is draining", s.TargetID, s.ID)
			}
		}
	}
}

// checkReverts checks that a process that has served a version's route does not answer 404 for it later, as long as the
// newest version contains the route. A 404 within revertBound is allowed.
func checkReverts(r *record, report reporter) {
	type process struct{ vm, incarnation int }
	served := map[process]map[string]time.Time{}
	list := slices.DeleteFunc(slices.Clone(r.exchanges), func(a *exchange) bool { return a.Kind != kindVersion || a.Broken || a.Abandoned })
	sort.Slice(list, func(i, j int) bool { return list[i].Ended.Before(list[j].Ended) })
	for _, a := range list {
		p := process{a.VM, a.Incarnation}
		if served[p] == nil {
			served[p] = map[string]time.Time{}
		}
		first, known := served[p][a.Route]
		switch {
		case a.Status == http.StatusOK && !known:
			served[p][a.Route] = a.Ended
		case a.Status == http.StatusNotFound && known && a.Sent.After(first.Add(revertBound)) && r.routeConfigured(a.Route, a.Ended):
			report("CONFIG: vm-%d, incarnation %d, served /%s/ and answered 404 for it %s later", a.VM, a.Incarnation, a.Route, a.Sent.Sub(first).Round(time.Millisecond))
		}
	}
}

// routeConfigured reports whether the newest version published before the given time contains the route.
func (r *record) routeConfigured(route string, by time.Time) bool {
	newest := 0
	for version, at := range r.published {
		if at.Before(by) {
			newest = max(newest, version)
		}
	}
	return slices.Contains(versionRoutes(newest), route)
}

// checkExtra checks that the extra sends to each service, summed over all VMs, stay within their limit.
func checkExtra(r *record, report reporter) {
	type series struct{ extra, first []time.Time }
	services := map[string]*series{}
	seriesOf := func(service string) *series {
		if services[service] == nil {
			services[service] = &series{}
		}
		return services[service]
	}
	seen := map[string]bool{}
	arrivals := slices.Clone(r.arrivals)
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].At.Before(arrivals[j].At) })
	for _, s := range arrivals {
		key := s.Service + " " + s.ID
		if seen[key] {
			seriesOf(s.Service).extra = append(seriesOf(s.Service).extra, s.At)
		} else {
			// The first arrival stands for the request. Requests that never arrived would only raise the limit.
			seriesOf(s.Service).first = append(seriesOf(s.Service).first, s.At)
		}
		seen[key] = true
	}
	for service, s := range services {
		for i, from := range s.extra {
			n := within(s.extra[i:], from, from.Add(extraWindow))
			requests := max(within(s.first, from, from.Add(extraWindow)), within(s.first, from.Add(-extraWindow), from),
				within(s.first, from.Add(-extraWindow/2), from.Add(extraWindow/2)))
			if limit := extraRatio*float64(requests) + extraSlack; float64(n) > limit {
				report("BUDGET: %s got %d extra sends in %s, %.0f are allowed", service, n, extraWindow, limit)
				break
			}
		}
	}
}

// within counts the times of a sorted list in [from, to).
func within(list []time.Time, from, to time.Time) int {
	low := sort.Search(len(list), func(i int) bool { return !list[i].Before(from) })
	high := sort.Search(len(list), func(i int) bool { return !list[i].Before(to) })
	return high - low
}
