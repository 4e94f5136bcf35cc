package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
)

// File names.
const (
	sampleFile  = "sample.json"
	SummaryFile = "capacity.json"
)

// Sample is the measurement of one point; each figure is the mean over its routers.
type Sample struct {
	Point
	CPUPercent    float64 `json:"cpuPercentOfCore"`
	RSSMegabytes  float64 `json:"rssMegabytes"`
	BytesPerSec   float64 `json:"controlBytesPerSecond"`
	PlatformCalls float64 `json:"platformCallsPerSecond"`
}

// Slopes is a linear model fitted to the samples: Base + PerRouter × routers + PerCustomer × customers + PerEndpoint ×
// endpoints.
type Slopes struct {
	Base        float64 `json:"base"`
	PerRouter   float64 `json:"perRouter"`
	PerCustomer float64 `json:"perCustomer"`
	PerEndpoint float64 `json:"perEndpoint"`
	// MaxResidual is the largest absolute difference between a sample and the model.
	MaxResidual float64 `json:"worstMiss"`
}

// Predict returns the model's value for a point.
func (s Slopes) Predict(p Point) float64 {
	return s.Base + s.PerRouter*float64(p.Routers) + s.PerCustomer*float64(p.Customers) + s.PerEndpoint*float64(p.Endpoints)
}

// Summary holds the samples and fitted models of all points.
type Summary struct {
	Samples []Sample          `json:"samples"`
	Slopes  map[string]Slopes `json:"slopes"`
	Missing []string          `json:"missing,omitempty"`
}

// figures are the measured figures of a sample with their names and units.
var figures = []struct {
	name, unit string
	value      func(Sample) float64
}{
	{"idle CPU", "% of a core", func(s Sample) float64 { return s.CPUPercent }},
	{"memory", "MB", func(s Sample) float64 { return s.RSSMegabytes }},
	{"control bytes", "B/s", func(s Sample) float64 { return s.BytesPerSec }},
	{"platform calls", "1/s", func(s Sample) float64 { return s.PlatformCalls }},
}

// Fit fits a linear model to the values by least squares.
func Fit(points []Point, values []float64) (Slopes, error) {
	if len(points) < 4 || len(points) != len(values) {
		return Slopes{}, errors.New("a fit needs at least four points with a value each")
	}
	x, ok := solve(normalEquations(points, values))
	if !ok {
		return Slopes{}, errors.New("fit: the points do not vary routers, customers and endpoints independently")
	}
	s := Slopes{Base: x[0], PerRouter: x[1] / scaleRouters, PerCustomer: x[2] / scaleCustomers, PerEndpoint: x[3] / scaleEndpoints}
	for i, p := range points {
		s.MaxResidual = max(s.MaxResidual, max(values[i]-s.Predict(p), s.Predict(p)-values[i]))
	}
	return s, nil
}

// Number of unknowns of the fit, scales that bring the sizes of a fleet to the same order of magnitude, and the smallest pivot
// that counts as nonzero.
const (
	unknowns       = 4
	scaleRouters   = 10.0
	scaleCustomers = 300.0
	scaleEndpoints = 200.0
	minPivot       = 1e-9
)

// equations has one row of coefficients and the right side for each unknown.
type equations [unknowns][unknowns + 1]float64

func normalEquations(points []Point, values []float64) equations {
	var e equations
	for i, p := range points {
		row := [unknowns + 1]float64{1, float64(p.Routers) / scaleRouters, float64(p.Customers) / scaleCustomers,
			float64(p.Endpoints) / scaleEndpoints, values[i]}
		for r := range unknowns {
			for c := range row {
				e[r][c] += row[r] * row[c]
			}
		}
	}
	return e
}

// solve is Gaussian elimination with partial pivoting. ok is false if the equations are linearly dependent.
func solve(e equations) (x [unknowns]float64, ok bool) {
	for k := range unknowns {
		pivot := k
		for r := k + 1; r < unknowns; r++ {
			if math.Abs(e[r][k]) > math.Abs(e[pivot][k]) {
				pivot = r
			}
		}
		e[k], e[pivot] = e[pivot], e[k]
		if math.Abs(e[k][k]) < minPivot {
			return x, false
		}
		for r := range unknowns {
			if r != k {
				eliminate(&e, r, k)
			}
		}
	}
	for k := range unknowns {
		x[k] = e[k][unknowns] / e[k][k]
	}
	return x, true
}

func eliminate(e *equations, row, pivot int) {
	factor := e[row][pivot] / e[pivot][pivot]
	for c := range unknowns + 1 {
		e[row][c] -= factor * e[pivot][c]
	}
}

// Summarize reads the samples below a directory, fits the models and writes the summary there.
func Summarize(dir string) (Summary, error) {
	s := Summary{Slopes: make(map[string]Slopes)}
	for _, p := range Grid() {
		raw, err := os.ReadFile(filepath.Join(dir, p.ID(), sampleFile))
		if errors.Is(err, os.ErrNotExist) {
			s.Missing = append(s.Missing, p.ID())
			continue
		}
		if err != nil {
			return s, err
		}
		sample := Sample{Point: p}
		if err := json.Unmarshal(raw, &sample); err != nil {
			return s, fmt.Errorf("%s: %w", p.ID(), err)
		}
		s.Samples = append(s.Samples, sample)
	}
	points := make([]Point, len(s.Samples))
	for i, sample := range s.Samples {
		points[i] = sample.Point
	}
	for _, f := range figures {
		values := make([]float64, len(s.Samples))
		for i, sample := range s.Samples {
			values[i] = f.value(sample)
		}
		slopes, err := Fit(points, values)
		if err != nil {
			return s, err
		}
		s.Slopes[f.name] = slopes
	}
	raw, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return s, err
	}
	return s, os.WriteFile(filepath.Join(dir, SummaryFile), append(raw, '\n'), 0o644)
}

// WriteMarkdown writes the samples and slopes as Markdown tables.
func (s Summary) WriteMarkdown(w io.Writer) error {
	fmt.Fprintln(w, "| routers | customers | endpoints | idle CPU % of a core | memory MB | control B/s | platform calls/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, p := range s.Samples {
		fmt.Fprintf(w, "| %d | %d | %d | %.2f | %.1f | %.0f | %.2f |\n", p.Routers, p.Customers, p.Endpoints,
			p.CPUPercent, p.RSSMegabytes, p.BytesPerSec, p.PlatformCalls)
	}
	fmt.Fprintln(w, "\n| figure per router | unit | base | per router | per customer | per endpoint | worst miss |")
	_, err := fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, f := range figures {
		m := s.Slopes[f.name]
		_, err = fmt.Fprintf(w, "| %s | %s | %.3g | %.3g | %.3g | %.3g | %.3g |\n", f.name, f.unit, m.Base, m.PerRouter, m.PerCustomer, m.PerEndpoint, m.MaxResidual)
	}
	for _, id := range s.Missing {
		_, err = fmt.Fprintf(w, "\nNo sample: %s\n", id)
	}
	return err
}
