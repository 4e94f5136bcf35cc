// Package report renders summaries of experiments as one self-contained HTML page.
package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"sort"

	"tanagerwood.dev/lab/internal/experiment"
)

//go:embed page.html
var page string

// columns lists the measures of the table with their headings, formats and scale factors.
var columns = []struct {
	Heading string
	Measure string
	Format  string
	Scale   float64
}{
	{"goodput/s", experiment.MeasureGoodput, "%.2f", 1},
	{"good", experiment.MeasureGoodPortion, "%.1f%%", 100},
	{"answered", experiment.MeasureAnswered, "%.1f%%", 100},
	{"wasted prefill", experiment.MeasureWastedPrefill, "%.2f%%", 100},
	{"worst served", experiment.MeasureWorstServed, "%.3f", 1},
	{"worst inside rate", experiment.MeasureWorstServedInsideRate, "%.3f", 1},
	{"wrongful refusals", experiment.MeasureWrongfulRefusals, "%.2f%%", 100},
	{"refused inside rate", experiment.MeasureRefusedInsideRate, "%.2f%%", 100},
	{"excess tokens", experiment.MeasureExcessTokens, "%.0f", 1},
	{"first p50 ms", experiment.MeasureFirstTokenP50, "%.0f", 1},
	{"first p95 ms", experiment.MeasureFirstTokenP95, "%.0f", 1},
	{"interval p95 ms", experiment.MeasureTokenIntervalP95, "%.1f", 1},
	{"cut", experiment.MeasureCutAnswers, "%.0f", 1},
	{"wrong", experiment.MeasureWrongAnswers, "%.0f", 1},
	{"doubled", experiment.MeasureDuplicateBookings, "%.0f", 1},
	{"CPU ms/request", experiment.MeasureCPUPerRequest, "%.2f", 1},
	{"CPU µs/token", experiment.MeasureCPUPerToken, "%.1f", 1},
	{"control B/s per router", experiment.MeasureControlBytes, "%.0f", 1},
}

// row is one row of the table of measures.
type row struct {
	Scenario, Policy string
	Seeds            int
	Cells            []cell
}

// cell holds the median of a measure and its range over the seeds.
type cell struct{ Median, Range string }

type section struct {
	Deployment string
	Headings   []string
	Rows       []row
	Figures    []Figure
}

type document struct {
	Verdicts []GoalResult
	Sections []section
	Missing  []string
}

// Write renders the page for the summaries of one or more experiments.
func Write(w io.Writer, summaries []experiment.Summary) error {
	var d document
	byDeployment := make(map[string][]experiment.Group)
	for _, s := range summaries {
		d.Missing = append(d.Missing, s.Missing...)
		for _, g := range s.Groups {
			byDeployment[g.Deployment] = append(byDeployment[g.Deployment], g)
		}
	}
	for _, name := range sortedKeys(byDeployment) {
		groups := byDeployment[name]
		d.Verdicts = append(d.Verdicts, goalResults(groups)...)
		s, err := newSection(name, groups)
		if err != nil {
			return err
		}
		d.Sections = append(d.Sections, s)
	}
	sort.Strings(d.Missing)
	t, err := template.New("page").Parse(page)
	if err != nil {
		return err
	}
	return t.Execute(w, d)
}

func newSection(name string, groups []experiment.Group) (section, error) {
	s := section{Deployment: name}
	for _, c := range columns {
		s.Headings = append(s.Headings, c.Heading)
	}
	for _, g := range groups {
		r := row{Scenario: g.Scenario, Policy: g.Policy, Seeds: len(g.Seeds)}
		for _, c := range columns {
			r.Cells = append(r.Cells, newCell(g, c.Measure, c.Format, c.Scale))
		}
		s.Rows = append(s.Rows, r)
	}
	var err error
	s.Figures, err = figures(groups)
	return s, err
}

func newCell(g experiment.Group, measure, format string, scale float64) cell {
	v, ok := g.Median[measure]
	if !ok {
		return cell{Median: "not measured"}
	}
	least, greatest := fmt.Sprintf(format, scale*g.Min[measure]), fmt.Sprintf(format, scale*g.Max[measure])
	return cell{Median: fmt.Sprintf(format, scale*v), Range: least + " to " + greatest}
}
