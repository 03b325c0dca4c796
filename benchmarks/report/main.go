// Command report writes a self-contained HTML page from the BENCH lines of a benchmark run: a chart of the figures
// against their bounds, a curve for each series, and a table of all figures.
package main

import (
	"bytes"
	"fmt"
	"html/template"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	In     string `long:"in" default:"out/bench.txt" description:"file with the BENCH lines of a benchmark run"`
	Out    string `long:"out" default:"out/report.html" description:"HTML page to write"`
	Commit string `long:"commit" description:"commit that was measured"`
	Date   string `long:"date" description:"date of the run"`
}

type page struct {
	Commit, Date string
	Missed       int
	Figures      []figure
	Bounds       template.HTML
	Curves       []template.HTML
}

const pageTemplate = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>teaselbank benchmarks</title>
<style>body{font-family:sans-serif;max-width:72rem;margin:2rem auto;padding:0 1rem}table{border-collapse:collapse;width:100%}
td,th{border-bottom:1px solid #ccc;padding:.3rem .5rem;text-align:left}td.n{text-align:right;font-variant-numeric:tabular-nums}
.fail{color:#b00020;font-weight:bold}.curves{display:flex;flex-wrap:wrap;gap:1rem}</style></head><body>
<h1>teaselbank benchmarks</h1>
<p>Commit {{.Commit}}, run of {{.Date}}; {{len .Figures}} figures, {{.Missed}} miss their bound.</p>
<h2>Figures against their bounds</h2>
<p>Share of the bound that is used; a bar beyond 1 misses its bound.</p>
{{.Bounds}}
{{if .Curves}}<h2>Series</h2><div class="curves">{{range .Curves}}<div>{{.}}</div>{{end}}</div>{{end}}
<h2>All figures</h2>
<table><tr><th>name</th><th>value</th><th>unit</th><th>bound</th><th>verdict</th></tr>
{{range .Figures}}<tr><td>{{.Name}}</td><td class="n">{{if .Error}}{{.Error}}{{else}}{{printf "%.4g" .Value}}{{end}}</td><td>{{.Unit}}</td>
<td class="n">{{if .Bounded}}{{if .Less}}&le;{{else}}&ge;{{end}} {{printf "%g" .Bound}}{{end}}</td><td class="{{.Verdict}}">{{.Verdict}}</td></tr>
{{end}}</table></body></html>
`

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "report:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	in, err := os.Open(o.In)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	figures, err := parse(in)
	if err != nil {
		return err
	}
	if len(figures) == 0 {
		return fmt.Errorf("%s contains no BENCH line", o.In)
	}
	p := page{Commit: o.Commit, Date: o.Date, Figures: figures}
	for _, f := range figures {
		if f.Verdict == "fail" {
			p.Missed++
		}
	}
	if p.Bounds, err = boundChart(figures); err != nil {
		return err
	}
	for _, s := range findSeries(figures) {
		svg, err := seriesChart(s)
		if err != nil {
			return err
		}
		p.Curves = append(p.Curves, svg)
	}
	return write(o.Out, p)
}

func write(path string, p page) error {
	t, err := template.New("page").Parse(pageTemplate)
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	if err := t.Execute(&buf, p); err != nil {
		return err
	}
	return os.WriteFile(path, buf.Bytes(), 0o600)
}
