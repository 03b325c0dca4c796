package routing_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"teaselbank.example/teaselbank/ident"
	"teaselbank.example/teaselbank/routing"
)

// Guards against a lookup that returns the route of a shorter prefix, of another host, or of a prefix that ends within a
// path element.
func TestLookup(t *testing.T) {
	named := func(name, host, prefix string) *routing.Route {
		return &routing.Route{Name: name, Host: host, Prefix: prefix, Split: []routing.WeightedService{{Service: "s", Weight: 1}}}
	}
	table := routing.NewTable(7, []*routing.Route{named("root", "h.example", "/"), named("a", "h.example", "/a/"),
		named("ab", "h.example", "/a/b/"), named("other", "o.example", "/a/")}, nil, routing.Limits{})
	cases := map[[2]string]string{
		{"h.example", "/a/b/c"}:       "ab",
		{"h.example", "/a/b/"}:        "ab",
		{"h.example", "/a/bc"}:        "a",
		{"H.Example:8080", "/a/x/y/"}: "a",
		{"h.example", "/a"}:           "root",
		{"h.example", "/"}:            "root",
		{"o.example", "/a/b/"}:        "other",
		{"o.example", "/"}:            "",
		{"x.example", "/a/"}:          "",
		{"h.example", ""}:             "",
	}
	for in, want := range cases {
		got := table.Lookup(in[0], in[1])
		if want == "" {
			require.Nil(t, got, in)
			continue
		}
		require.NotNil(t, got, in)
		require.Equal(t, want, got.Name, in)
		require.EqualValues(t, 7, got.Version)
	}
}

// Guards against a minimum number of shards that rounding errors make too small or too large.
func TestMinShards(t *testing.T) {
	for _, c := range []struct {
		shards   int
		coverage float64
		want     int
	}{{10, 0.89, 9}, {10, 0.75, 8}, {15, 0.89, 14}, {36, 0.95, 35}, {54, 0.95, 52}, {10, 0.9, 9}, {10, 1, 10}, {10, 0, 1}, {1, 0.5, 1}} {
		r := routing.Route{MinCoverage: c.coverage, Shards: make([]ident.ServiceID, c.shards)}
		require.Equal(t, c.want, r.MinShards(), "%+v", c)
	}
}

// Guards against a split whose services are not picked in proportion to their weights.
func TestPick(t *testing.T) {
	r := routing.Route{Split: []routing.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}, {Service: "c", Weight: 3}}}
	counts := map[ident.ServiceID]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	require.Equal(t, map[ident.ServiceID]int{"a": 250, "c": 750}, counts)
	require.EqualValues(t, "c", r.Pick(1))
}
