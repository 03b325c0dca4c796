package main

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// figure is one BENCH line.
type figure struct {
	Name    string
	Value   float64
	Unit    string
	Bound   float64
	Less    bool
	Bounded bool
	Verdict string
	Error   string
}

// share returns the share of the bound that the figure uses; above 1 the bound is missed.
func (f figure) share() float64 {
	switch {
	case f.Less && f.Bound == 0:
		return f.Value
	case f.Less:
		return f.Value / f.Bound
	case f.Value == 0:
		return 0
	default:
		return f.Bound / f.Value
	}
}

var fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)

// parse reads the BENCH lines of a run. It skips other lines and returns an error for a malformed BENCH line.
func parse(r io.Reader) ([]figure, error) {
	var figures []figure
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		if !strings.HasPrefix(line, "BENCH ") {
			continue
		}
		f, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("parse line %q: %w", line, err)
		}
		figures = append(figures, f)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read BENCH lines: %w", err)
	}
	return figures, nil
}

func parseLine(line string) (figure, error) {
	var f figure
	for _, m := range fieldPattern.FindAllStringSubmatch(line, -1) {
		key, value := m[1], m[2]
		var err error
		switch key {
		case "name":
			f.Name = value
		case "unit":
			f.Unit = value
		case "verdict":
			f.Verdict = value
		case "error":
			f.Error, err = strconv.Unquote(value)
		case "value":
			f.Value, err = strconv.ParseFloat(value, 64)
		case "bound":
			err = f.setBound(value)
		}
		if err != nil {
			return f, fmt.Errorf("parse field %s: %w", key, err)
		}
	}
	if f.Name == "" || f.Verdict == "" {
		return f, fmt.Errorf("missing name or verdict")
	}
	return f, nil
}

// setBound sets the bound from its printed form: <= or >= with a number, or none.
func (f *figure) setBound(value string) error {
	if value == "none" {
		return nil
	}
	var ok bool
	if value, ok = strings.CutPrefix(value, "<="); ok {
		f.Less = true
	} else if value, ok = strings.CutPrefix(value, ">="); !ok {
		return fmt.Errorf("%q starts with neither <= nor >=", value)
	}
	bound, err := strconv.ParseFloat(value, 64)
	f.Bound, f.Bounded = bound, err == nil
	return err
}

// series is a set of figures whose names differ only in their last number, such as the fleet size. X holds these
// numbers and Y the values.
type series struct {
	Name string
	Unit string
	X, Y []float64
}

var seriesPattern = regexp.MustCompile(`^(.*?)_(\d+)([a-z_]*)$`)

// minPoints is the minimum number of points in a series that is drawn as a curve.
const minPoints = 3

// findSeries groups the figures into series and returns those with at least minPoints points.
func findSeries(figures []figure) []series {
	index := map[string]int{}
	var all []series
	for _, f := range figures {
		m := seriesPattern.FindStringSubmatch(f.Name)
		if m == nil || f.Error != "" {
			continue
		}
		x, err := strconv.ParseFloat(m[2], 64)
		if err != nil {
			continue
		}
		key := m[1] + m[3]
		i, ok := index[key]
		if !ok {
			i = len(all)
			index[key] = i
			all = append(all, series{Name: key, Unit: f.Unit})
		}
		all[i].X, all[i].Y = append(all[i].X, x), append(all[i].Y, f.Value)
	}
	var out []series
	for _, s := range all {
		if len(s.X) >= minPoints {
			out = append(out, s)
		}
	}
	return out
}
