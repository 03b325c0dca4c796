package cli

import (
	"fmt"
	"strings"
	"time"

	"teaselbank.example/teaselbank/emulator"
)

// experiment emulates a fleet under several loads, with and without coordinators.
type experiment struct {
	*env
	Shards      int           `long:"shards" default:"90" description:"number of shards"`
	SmallVMs    int           `long:"small-vms" default:"56" description:"number of small VMs in each zone"`
	LargeVMs    int           `long:"large-vms" default:"3" description:"number of large VMs in each zone"`
	Rate        float64       `long:"rate" default:"96" description:"searches a second at all VMs, at load 1"`
	Loads       []float64     `long:"load" default:"0.5" default:"1" default:"1.5" default:"2" description:"load as a multiple of the rate; may be repeated"`
	Objective   time.Duration `long:"objective" default:"250ms" description:"latency objective"`
	Work        time.Duration `long:"work" default:"26ms" description:"median time of a request at a target"`
	MinCoverage float64       `long:"min-coverage" default:"0.95" description:"least share of the shards of a successful response"`
	Length      time.Duration `long:"length" default:"10s" description:"emulated time for which searches arrive"`
	Seeds       int           `long:"seeds" default:"3" description:"number of runs of each load, with different seeds"`
}

// experimentRow is the result of one load and rule, over all seeds.
type experimentRow struct {
	Load         float64 `json:"load"`
	Coordinators bool    `json:"coordinators"`
	Searches     int     `json:"searches"`
	// InTime, Complete and Credit are shares of the searches; Extra and Denied are relative to the first sends, CrossZone to
	// all sends.
	InTime    float64 `json:"in_time"`
	Complete  float64 `json:"complete"`
	Credit    float64 `json:"credit"`
	Extra     float64 `json:"extra_sends"`
	Denied    float64 `json:"denied_sends"`
	CrossZone float64 `json:"cross_zone"`
}

// Execute runs the experiment.
func (x *experiment) Execute([]string) error {
	if x.Seeds < 1 {
		return &usageError{"--seeds must be at least 1"}
	}
	var rows []experimentRow
	for _, load := range x.Loads {
		for _, coordinators := range []bool{false, true} {
			row, err := x.run(load, coordinators)
			if err != nil {
				return &usageError{err.Error()}
			}
			rows = append(rows, row)
		}
	}
	return x.result(rows, experimentLines(rows)...)
}

func (x *experiment) run(load float64, coordinators bool) (experimentRow, error) {
	c := emulator.LargeSite()
	c.Shards, c.SmallVMs, c.LargeVMs, c.SearchesPerSecond = x.Shards, x.SmallVMs, x.LargeVMs, x.Rate*load
	c.Objective, c.Work, c.MinCoverage, c.Length, c.Coordinators = x.Objective, x.Work, x.MinCoverage, x.Length, coordinators
	var sum emulator.Result
	for seed := range x.Seeds {
		c.Seed = uint64(seed) //nolint:gosec // not negative
		r, err := emulator.Run(c)
		if err != nil {
			return experimentRow{}, err
		}
		sum.Add(r)
	}
	searches := float64(max(1, sum.Searches))
	return experimentRow{Load: load, Coordinators: coordinators, Searches: sum.Searches, InTime: float64(sum.InTime) / searches,
		Complete: float64(sum.Complete) / searches, Credit: sum.Credit / searches, Extra: float64(sum.Extra) / (searches * float64(c.Shards)),
		Denied: float64(sum.Denied) / (searches * float64(c.Shards)), CrossZone: float64(sum.CrossZone) / float64(max(1, sum.Sends))}, nil
}

// plotWidth is the length of a bar for a credit of 1.
const plotWidth = 40

// experimentLines returns a table of the rows with a bar for the credit of each.
func experimentLines(rows []experimentRow) []string {
	lines := []string{"load  coordinators  searches  in time  complete  credit  extra  denied  other zone"}
	for _, r := range rows {
		bar := strings.Repeat("#", int(r.Credit*plotWidth+0.5))
		lines = append(lines, fmt.Sprintf("%4.2f  %-12t  %8d  %7.3f  %8.3f  %7.3f  %5.3f  %6.3f  %10.3f  %s",
			r.Load, r.Coordinators, r.Searches, r.InTime, r.Complete, r.Credit, r.Extra, r.Denied, r.CrossZone, bar))
	}
	return lines
}
