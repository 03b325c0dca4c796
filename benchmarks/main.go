// Command benchmarks measures the product against its bounds. Each figure is a ratio to a baseline of the same run
// where it can be, and each prints one BENCH line; the exit code is 1 if any bound is missed.
package main

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Result is one measured figure.
type Result struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the stated target; Less says whether smaller is better.
	Bound float64
	Less  bool
	// Informative figures have no bound.
	Informative bool
}

// Pass reports whether the figure keeps its bound.
func (r Result) Pass() bool {
	switch {
	case r.Informative:
		return true
	case r.Less:
		return r.Value <= r.Bound
	default:
		return r.Value >= r.Bound
	}
}

// String returns the BENCH line.
func (r Result) String() string {
	bound, verdict := "none", "none"
	if !r.Informative {
		sign := ">="
		if r.Less {
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

// register adds a benchmark; it is called from init functions.
func register(name string, run func() ([]Result, error)) {
	benchmarks = append(benchmarks, benchmark{name, run})
}

type options struct {
	Only string `long:"only" description:"run the benchmarks whose names match this regular expression"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	only, err := regexp.Compile(o.Only)
	if err != nil {
		fmt.Fprintln(os.Stderr, "--only:", err)
		os.Exit(2)
	}
	if !runAll(only) {
		os.Exit(1)
	}
}

func runAll(only *regexp.Regexp) bool {
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
