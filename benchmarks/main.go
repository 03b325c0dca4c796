// Command benchmarks measures the product and compares the figures with their bounds. Where possible a figure is a
// ratio to a baseline of the same run. Each figure is printed as one BENCH line. The exit code is 1 if a bound is
// missed or a benchmark fails, and 2 if the arguments are invalid.
package main

import (
	"fmt"
	"os"
	"regexp"

	"github.com/jessevdk/go-flags"

	"teaselbank.example/teaselbank/benchmarks/bench"
	// Each import registers the benchmarks of one area.
	_ "teaselbank.example/teaselbank/benchmarks/configbench"
	_ "teaselbank.example/teaselbank/benchmarks/decisionbench"
	_ "teaselbank.example/teaselbank/benchmarks/fleetbench"
	_ "teaselbank.example/teaselbank/benchmarks/membersbench"
	_ "teaselbank.example/teaselbank/benchmarks/requestbench"
	_ "teaselbank.example/teaselbank/benchmarks/routingbench"
	_ "teaselbank.example/teaselbank/benchmarks/searchbench"
)

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
	if !bench.RunAll(only) {
		os.Exit(1)
	}
}
