// Package routing maps a caller's request to its route: the services that may run the request, and its limits. A table
// is immutable, and a request keeps its route, so that all parts of a request use one version of the table.
package routing

import (
	"strings"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// Service is the operators' configuration of one group of interchangeable targets.
type Service struct {
	ID ident.ServiceID
	// MaxConnections is how many connections one target accepts from all VMs together; 0 if not stated.
	MaxConnections int
	// WarmUp is how long a target stays cold after it starts under load.
	WarmUp time.Duration
	// ColdRate is how many requests a second a cold target can serve; 0 if not stated.
	ColdRate float64
}

// WeightedService is a service and its weight in a split. Weights are relative to their sum.
type WeightedService struct {
	Service ident.ServiceID
	Weight  float64
}

// Route is the configuration for the requests of one host and path prefix. Exactly one of Split and Shards is set; a
// route to a single service has a split with one entry.
type Route struct {
	Name string
	Host string
	// Prefix is the start of the path up to and including a slash.
	Prefix string
	// Version is the version of the table that holds the route.
	Version uint64

	// Split lists the services of which one runs the request, chosen by weight.
	Split []WeightedService
	// Shards lists the services that each hold one part of the response.
	Shards []ident.ServiceID
	// TopRecords is how many of the greatest records a response over shards holds.
	TopRecords int
	// MinCoverage is the minimum share of the shards that a successful response covers, from 0 to 1.
	MinCoverage float64

	// Idempotent reports that a request may run more than once.
	Idempotent bool
	// MaxTargets is the maximum number of targets that a request is sent to, for each shard.
	MaxTargets int
	// Timeout is the longest time that a caller waits; 0 if not stated.
	Timeout time.Duration
	// Objective is the latency within which a response is useful to the caller; 0 if not stated.
	Objective time.Duration
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int
	// Regions lists the regions whose targets may run the request; empty allows all regions.
	Regions []string
}

// IsScatter reports whether a request goes to every shard.
func (r *Route) IsScatter() bool { return len(r.Shards) > 0 }

// MinShards returns the minimum number of shards that a successful response covers. For a route with shards it is at
// least 1.
func (r *Route) MinShards() int {
	n := len(r.Shards)
	for least := 1; least < n; least++ {
		if float64(least)/float64(n) >= r.MinCoverage-coverageTolerance {
			return least
		}
	}
	return n
}

// coverageTolerance allows for the rounding error of the quotient of two small integers.
const coverageTolerance = 1e-9

// Limits are the limits on callers' requests and connections. A limit of 0 is not stated.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read a request's header; IdleTimeout is how long an unused connection stays open.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routes. It is immutable.
type Table struct {
	Version  uint64
	Services map[ident.ServiceID]Service
	Limits   Limits

	hosts map[string]map[string]*Route
	// named holds the services that Services or a route names, shards those that a route searches over.
	named, shards map[ident.ServiceID]bool
	routes        int
}

// NewTable returns a table of the routes and sets their versions. The routes must not change afterwards. Of two routes
// with the same host and prefix, the later one is used.
func NewTable(version uint64, routes []*Route, services map[ident.ServiceID]Service, limits Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, hosts: map[string]map[string]*Route{},
		named: map[ident.ServiceID]bool{}, shards: map[ident.ServiceID]bool{}, routes: len(routes)}
	for id := range services {
		t.named[id] = true
	}
	for _, r := range routes {
		r.Version = version
		host := canonicalHost(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
		for _, part := range r.Split {
			t.named[part.Service] = true
		}
		for _, shard := range r.Shards {
			t.named[shard], t.shards[shard] = true, true
		}
	}
	return t
}

// Names reports whether the table states settings of the service or a route to it.
func (t *Table) Names(service ident.ServiceID) bool { return t.named[service] }

// IsShard reports whether a route searches over the service as one of its shards.
func (t *Table) IsShard(service ident.ServiceID) bool { return t.shards[service] }

// RouteCount returns the number of routes that the table was built from.
func (t *Table) RouteCount() int { return t.routes }

// Lookup returns the host's route with the longest prefix of the path. It returns nil if no route matches. The host may
// include a port.
func (t *Table) Lookup(host, path string) *Route {
	prefixes := t.hosts[canonicalHost(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// canonicalHost returns the host in lower case and without its port.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Pick returns the service of the split whose share contains point, a number from 0 to 1. The split must not be empty.
func (r *Route) Pick(point float64) ident.ServiceID {
	total := 0.0
	for _, w := range r.Split {
		total += w.Weight
	}
	rest := point * total
	for _, w := range r.Split {
		if rest < w.Weight {
			return w.Service
		}
		rest -= w.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// AllScatterRoutes calls f for each route over shards, in no particular order, until f returns false. It reports
// whether f returned true for all of them.
func (t *Table) AllScatterRoutes(f func(*Route) bool) bool {
	for _, prefixes := range t.hosts {
		for _, r := range prefixes {
			if r.IsScatter() && !f(r) {
				return false
			}
		}
	}
	return true
}
