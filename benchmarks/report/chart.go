package main

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Chart dimensions.
const (
	chartWidth  = 26 * vg.Centimeter
	barHeight   = 0.75 * vg.Centimeter
	curveWidth  = 12 * vg.Centimeter
	curveHeight = 8 * vg.Centimeter
	labelSize   = vg.Length(8)
	labelMargin = 2 * vg.Centimeter
	barWidth    = 10 * vg.Length(1)
	// maxShare truncates the bars of figures that miss their bound by far, so that the others stay readable.
	maxShare = 2.0
)

var (
	passColor = color.RGBA{R: 0x2e, G: 0x7d, B: 0x5b, A: 0xff}
	failColor = color.RGBA{R: 0xb0, G: 0x00, B: 0x20, A: 0xff}
)

// boundChart draws one bar per bounded figure: the share of the bound that is used, truncated at maxShare.
func boundChart(figures []figure) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "share of the bound (cut off at 2)"
	var names []string
	for _, f := range figures {
		if !f.Bounded {
			continue
		}
		bar, err := plotter.NewBarChart(plotter.Values{min(f.share(), maxShare)}, barWidth)
		if err != nil {
			return "", err
		}
		bar.Horizontal, bar.XMin, bar.LineStyle.Width = true, float64(len(names)), 0
		bar.Color = passColor
		if f.Verdict == "fail" {
			bar.Color = failColor
		}
		p.Add(bar)
		names = append(names, f.Name)
	}
	p.NominalY(names...)
	// Browsers substitute a wider font than the one used for the layout; the padding keeps labels from being cut off.
	p.Y.Tick.Label.Font.Size = labelSize
	p.Y.Padding = labelMargin
	p.X.Min, p.X.Max = 0, maxShare
	limit, err := plotter.NewLine(plotter.XYs{{X: 1, Y: -0.5}, {X: 1, Y: float64(len(names)) - 0.5}})
	if err != nil {
		return "", err
	}
	p.Add(limit)
	return svg(p, chartWidth, barHeight*vg.Length(len(names)+2))
}

// seriesChart draws a series as a line with markers.
func seriesChart(s series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = s.Name
	p.Y.Label.Text = s.Unit
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(s.X))
	for i := range s.X {
		points[i] = plotter.XY{X: s.X[i], Y: s.Y[i]}
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return "", err
	}
	line.Color, marks.Color = passColor, passColor
	p.Add(plotter.NewGrid(), line, marks)
	return svg(p, curveWidth, curveHeight)
}

// svg renders the plot as an SVG element for embedding in HTML.
func svg(p *plot.Plot, w, h vg.Length) (template.HTML, error) {
	writer, err := p.WriterTo(w, h, "svg")
	if err != nil {
		return "", err
	}
	var buf bytes.Buffer
	if _, err := writer.WriteTo(&buf); err != nil {
		return "", err
	}
	// An XML declaration is not allowed inside an HTML page.
	text := buf.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}
