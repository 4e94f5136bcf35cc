package report

import (
	"bytes"
	"fmt"
	"html/template"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"tanagerwood.dev/lab/internal/experiment"
)

// Sizes of a plot and its bars.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 3.4 * vg.Inch
	barWidth   = 7 * vg.Millimeter / 2
)

// Figure is one plot of the page.
type Figure struct {
	Title string
	SVG   template.HTML
}

// peakPrefix is the name prefix of the scenarios that differ only in load.
const peakPrefix = "peak-"

// figures draws all plots of one deployment.
func figures(groups []experiment.Group) ([]Figure, error) {
	var list []Figure
	curves := []struct{ title, axis, measure string }{
		{"Goodput by load", "requests/s within both targets", experiment.MeasureGoodput},
		{"Wasted prefill by load", "part of prefill tokens", experiment.MeasureWastedPrefill},
		{"Worst-served customer by load", "goodput ÷ entitlement", experiment.MeasureWorstServed},
		{"First token by load", "95th percentile, ms", experiment.MeasureFirstTokenP95},
	}
	for _, c := range curves {
		figure, ok, err := curve(groups, c.title, c.axis, c.measure)
		if err != nil {
			return nil, err
		}
		if ok {
			list = append(list, figure)
		}
	}
	bars := []struct{ title, axis, measure string }{
		{"Goodput by scenario", "requests/s within both targets", experiment.MeasureGoodput},
		{"Worst-served customer by scenario", "goodput ÷ entitlement", experiment.MeasureWorstServed},
		{"Wasted prefill by scenario", "part of prefill tokens", experiment.MeasureWastedPrefill},
		{"Router CPU per request", "ms", experiment.MeasureCPUPerRequest},
	}
	for _, b := range bars {
		figure, err := bar(groups, b.title, b.axis, b.measure)
		if err != nil {
			return nil, err
		}
		list = append(list, figure)
	}
	return list, nil
}

// curve plots a measure against the load, one line per policy. ok is false if there are no such scenarios.
func curve(groups []experiment.Group, title, axis, measure string) (f Figure, ok bool, err error) {
	points := make(map[string]plotter.XYs)
	for _, g := range groups {
		if strings.HasPrefix(g.Scenario, peakPrefix) {
			points[g.Policy] = append(points[g.Policy], plotter.XY{X: g.Load, Y: g.Median[measure]})
		}
	}
	if len(points) == 0 {
		return Figure{}, false, nil
	}
	p := newPlot(title, axis)
	p.X.Label.Text = "offered output ÷ decode capacity"
	for i, policy := range sortedKeys(points) {
		xys := points[policy]
		sort.Slice(xys, func(a, b int) bool { return xys[a].X < xys[b].X })
		line, marks, err := plotter.NewLinePoints(xys)
		if err != nil {
			return Figure{}, false, err
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		marks.Color, marks.Shape = plotutil.Color(i), draw.CircleGlyph{}
		p.Add(line, marks)
		p.Legend.Add(policy, line, marks)
	}
	f, err = render(p, title)
	return f, true, err
}

// bar plots a measure by scenario, one bar per policy.
func bar(groups []experiment.Group, title, axis, measure string) (Figure, error) {
	var scenarios []string
	policies := make(map[string]map[string]float64)
	seen := make(map[string]bool)
	for _, g := range groups {
		if !seen[g.Scenario] {
			seen[g.Scenario] = true
			scenarios = append(scenarios, g.Scenario)
		}
		if policies[g.Policy] == nil {
			policies[g.Policy] = make(map[string]float64)
		}
		policies[g.Policy][g.Scenario] = g.Median[measure]
	}
	p := newPlot(title, axis)
	names := sortedKeys(policies)
	for i, policy := range names {
		values := make(plotter.Values, len(scenarios))
		for j, s := range scenarios {
			values[j] = policies[policy][s]
		}
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return Figure{}, err
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		chart.Offset = barWidth * vg.Length(float64(i)-float64(len(names)-1)/2)
		p.Add(chart)
		p.Legend.Add(policy, chart)
	}
	p.NominalX(scenarios...)
	p.X.Tick.Label.Rotation = 0.4
	p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = -1, -0.5
	return render(p, title)
}

func newPlot(title, axis string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = axis
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// render draws a plot as an SVG element without an XML prolog, for embedding in HTML.
func render(p *plot.Plot, title string) (Figure, error) {
	p.Y.Max *= 1.25 // leaves room for the legend
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return Figure{}, fmt.Errorf("draw %q: %w", title, err)
	}
	start := bytes.Index(b.Bytes(), []byte("<svg"))
	if start < 0 {
		return Figure{}, fmt.Errorf("draw %q: no svg element", title)
	}
	return Figure{Title: title, SVG: template.HTML(b.Bytes()[start:])}, nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
