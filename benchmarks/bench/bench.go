// Package bench is the benchmark harness. Benchmarks register themselves; the harness prints one BENCH line per figure
// and reports missed bounds.
package bench

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Result is one measured figure.
type Result struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the stated target: the maximum permitted Value if LowerIsBetter is set, else the minimum.
	Bound         float64
	LowerIsBetter bool
	// Informative figures have no bound and always pass.
	Informative bool
}

// Pass reports whether the figure is within its bound or has none.
func (r Result) Pass() bool {
	switch {
	case r.Informative:
		return true
	case r.LowerIsBetter:
		return r.Value <= r.Bound
	default:
		return r.Value >= r.Bound
	}
}

// String returns the BENCH line of the figure.
func (r Result) String() string {
	bound, verdict := "none", "none"
	if !r.Informative {
		sign := ">="
		if r.LowerIsBetter {
			sign = "<="
		}
		bound, verdict = fmt.Sprintf("%s%g", sign, r.Bound), "fail"
		if r.Pass() {
			verdict = "pass"
		}
	}
	return fmt.Sprintf("BENCH name=%s value=%.4g unit=%s bound=%s verdict=%s", r.Name, r.Value, r.Unit, bound, verdict)
}

type benchmark struct {
	name string
	run  func() ([]Result, error)
}

var benchmarks []benchmark

// Register adds a benchmark. It is not safe for concurrent use; call it from init functions.
func Register(name string, run func() ([]Result, error)) {
	benchmarks = append(benchmarks, benchmark{name, run})
}

// RunAll runs the benchmarks whose names match only, in alphabetical order, and prints their BENCH lines. It reports
// whether every benchmark succeeded and every bound was met.
func RunAll(only *regexp.Regexp) bool {
	slices.SortFunc(benchmarks, func(a, b benchmark) int { return strings.Compare(a.name, b.name) })
	ok := true
	for _, b := range benchmarks {
		if !only.MatchString(b.name) {
			continue
		}
		results, err := b.run()
		if err != nil {
			fmt.Printf("BENCH name=%s error=%q verdict=fail\n", b.name, err)
			ok = false
		}
		for _, r := range results {
			fmt.Println(r)
			ok = ok && r.Pass()
		}
	}
	return ok
}
