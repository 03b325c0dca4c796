// Package routing maps a caller's request to its route: the services that may run it and the limits on doing so. A
// table is immutable; a request keeps the route that it was given, so that all of its parts come from one version.
package routing

import (
	"strings"
	"time"

	"teaselbank.example/teaselbank/ident"
)

// Service is what the operators say of one group of interchangeable targets.
type Service struct {
	ID ident.ServiceID
	// MaxConnections is how many connections one target accepts from all VMs together; 0 if not stated.
	MaxConnections int
	// WarmUp is how long a target stays cold after it starts under load.
	WarmUp time.Duration
	// ColdRate is how many requests a second a cold target bears; 0 if no rate is stated.
	ColdRate float64
}

// Weighted is one part of a split.
type Weighted struct {
	Service ident.ServiceID
	Weight  float64
}

// Route says how requests below one prefix are served. Exactly one of Split and Shards is set; a route to one service
// has a split of one part.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Version is the version of the table that holds the route.
	Version uint64

	Split []Weighted
	// Shards are the services of which each holds one part of the answer.
	Shards []ident.ServiceID
	// TopRecords is how many of the greatest records an answer over shards holds.
	TopRecords int
	// MinCoverage is the least share of the shards that a successful answer covers, from 0 to 1.
	MinCoverage float64

	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxSends bounds the targets that one request is sent to, for each shard.
	MaxSends int
	// Timeout is the longest time that a caller waits; 0 if not stated.
	Timeout time.Duration
	// Objective is the latency within which an answer is useful to the caller; 0 if not stated.
	Objective time.Duration
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int
	// Regions are the only regions whose targets may run the request; empty for all.
	Regions []string
}

// Scatter reports whether the request goes to every shard.
func (r *Route) Scatter() bool { return len(r.Shards) > 0 }

// MinShards returns how many shards a successful answer covers at least; it is at least one.
func (r *Route) MinShards() int {
	n := len(r.Shards)
	for least := 1; least < n; least++ {
		if float64(least)/float64(n) >= r.MinCoverage-coverageTolerance {
			return least
		}
	}
	return n
}

// coverageTolerance absorbs the rounding of the quotient of two small integers.
const coverageTolerance = 1e-9

// Limits bound what a caller may send.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are 0 if not stated.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds reading a request's header; IdleTimeout closes unused connections.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routes. It is immutable.
type Table struct {
	Version  uint64
	Services map[ident.ServiceID]Service
	Limits   Limits

	hosts  map[string]map[string]*Route
	routes int
}

// NewTable returns a table of the routes, which must not change afterwards. Of two routes with one host and prefix the
// later one holds.
func NewTable(version uint64, routes []*Route, services map[ident.ServiceID]Service, limits Limits) *Table {
	t := &Table{Version: version, Services: services, Limits: limits, hosts: map[string]map[string]*Route{}, routes: len(routes)}
	for _, r := range routes {
		r.Version = version
		host := canonicalHost(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	return t
}

// Routes returns how many routes the table was built from.
func (t *Table) Routes() int { return t.routes }

// Lookup returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Lookup(host, path string) *Route {
	prefixes := t.hosts[canonicalHost(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// canonicalHost drops the port and the case of a host.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Pick returns the service of the split in which point falls, a number from 0 to 1.
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

// EachScatter calls f with the routes over shards until it returns false, and reports whether it never did.
func (t *Table) EachScatter(f func(*Route) bool) bool {
	for _, prefixes := range t.hosts {
		for _, r := range prefixes {
			if r.Scatter() && !f(r) {
				return false
			}
		}
	}
	return true
}
