package benchcheck

import (
	"bytes"
	"html/template"
	"io"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// Curve is a metric plotted over a size, for example bytes/s over members.
type Curve struct {
	Title, X, Y string
	Points      []Point
	// Limit, if positive, is drawn as a dashed horizontal line.
	Limit float64
}

// Point is one measurement of a curve.
type Point struct{ X, Y float64 }

// SVG returns the plot of the curve as an SVG element.
func (c Curve) SVG() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.X, c.Y
	p.Y.Min = 0
	points := make(plotter.XYs, len(c.Points))
	for i, pt := range c.Points {
		points[i].X, points[i].Y = pt.X, pt.Y
	}
	line, scatter, err := plotter.NewLinePoints(points)
	if err != nil {
		return "", errors.Wrap(err, "plot")
	}
	p.Add(plotter.NewGrid(), line, scatter)
	if c.Limit > 0 {
		limit := plotter.NewFunction(func(float64) float64 { return c.Limit })
		limit.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(limit)
		p.Legend.Add("bound", limit)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", errors.Wrap(err, "write plot")
	}
	svg := buf.String()
	if i := strings.Index(svg, "<svg"); i >= 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil // drawn above from numbers and fixed labels
}

var reportTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>azurehatch benchmark results</title>
<style>
body{font-family:sans-serif;max-width:70em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;width:100%}td,th{border:1px solid #ccc;padding:.3em .5em;text-align:left}
td.n{text-align:right}tr.bad{background:#fdd}
</style></head><body>
<h1>azurehatch benchmark results</h1>
<h2>Bounds</h2>
<table><tr><th>Benchmark</th><th>Metric</th><th>Value</th><th>Min</th><th>Max</th><th>Source</th></tr>
{{range .Verdicts}}<tr{{if not .OK}} class="bad"{{end}}><td>{{if .Missing}}{{.Bound.Benchmark}} (no result){{else}}{{.Benchmark}}{{end}}</td>
<td>{{.Bound.Metric}}</td><td class="n">{{if not .Missing}}{{printf "%.4g" .Value}}{{end}}</td>
<td class="n">{{with .Bound.Min}}{{printf "%.4g" .}}{{end}}</td><td class="n">{{with .Bound.Max}}{{printf "%.4g" .}}{{end}}</td><td>{{.Bound.Source}}</td></tr>
{{end}}</table>
<h2>Growth over size</h2>
{{range .Plots}}{{.}}{{end}}
<h2>All results</h2>
<table><tr><th>Benchmark</th><th>Metrics</th></tr>
{{range .Results}}<tr><td>{{.Name}}</td><td>{{range $k, $v := .Metrics}}{{$k}} = {{printf "%.4g" $v}}<br>{{end}}</td></tr>
{{end}}</table></body></html>
`))

// WriteHTML writes the report as a self-contained HTML page.
func WriteHTML(w io.Writer, verdicts []Verdict, results []Result, curves []Curve) error {
	data := struct {
		Verdicts []Verdict
		Results  []Result
		Plots    []template.HTML
	}{Verdicts: verdicts, Results: results}
	for _, c := range curves {
		svg, err := c.SVG()
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	return errors.Wrap(reportTemplate.Execute(w, data), "write report")
}
