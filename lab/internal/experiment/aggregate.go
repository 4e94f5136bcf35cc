package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/lab/internal/load"
)

// Names of the measures of a run, as written to summary files.
const (
	MeasureGoodput               = "goodputPerSecond"
	MeasureGoodTokens            = "goodTokensPerSecond"
	MeasureGoodPortion           = "goodPortion"
	MeasureAnswered              = "answeredPortion"
	MeasureWastedPrefill         = "wastedPrefill"
	MeasureWorstServed           = "worstServed"
	MeasureWorstServedInsideRate = "worstServedInsideRate"
	MeasureWrongfulRefusals      = "wrongfulRefusals"
	MeasureRefusedInsideRate     = "refusedInsideRate"
	MeasureExcessTokens          = "excessTokens"
	MeasureFirstTokenP50         = "firstTokenP50Ms"
	MeasureFirstTokenP95         = "firstTokenP95Ms"
	MeasureTokenIntervalP95      = "tokenIntervalP95Ms"
	MeasureCutAnswers            = "cutAnswers"
	MeasureWrongAnswers          = "wrongAnswers"
	MeasureDuplicateBookings     = "doubledBookings"
	MeasureRanNotRun             = "ranAlthoughNotRun"
	MeasureEngineRefusals        = "engineRefusals"
	MeasureCPUPerRequest         = "routerCpuMsPerRequest"
	MeasureCPUPerToken           = "routerCpuUsPerToken"
	MeasureControlBytes          = "controlBytesPerSecond"
)

// Keys of load.Result.Process; scripts/experiment.sh measures their values.
const (
	processCPU     = "routerCpuMs"
	processControl = "controlBytesPerSecondPerRouter"
)

// Names of the files in the directories of cells and experiments.
const (
	resultFile  = "result.json"
	processFile = "process.json"
	SummaryFile = "summary.json"
)

// Measures are the figures of one run, by name.
type Measures map[string]float64

// Measure extracts from a result the figures that are compared between runs.
func Measure(r load.Result) Measures {
	all := r.Overall
	m := Measures{
		MeasureGoodput:               all.GoodPerSecond,
		MeasureGoodTokens:            all.GoodTokensPerSecond,
		MeasureGoodPortion:           ratio(float64(all.Good), float64(all.Offered)),
		MeasureAnswered:              ratio(float64(all.Answered), float64(all.Offered)),
		MeasureWastedPrefill:         r.Engines.Wasted,
		MeasureWorstServed:           r.Worst.GoodOverEntitled,
		MeasureWorstServedInsideRate: r.WorstInside.GoodOverEntitled,
		MeasureWrongfulRefusals:      all.WrongfulFraction(),
		MeasureRefusedInsideRate:     ratio(float64(all.RefusedInside), float64(all.InsideRate)),
		MeasureExcessTokens:          all.ExcessTokens,
		MeasureFirstTokenP50:         all.FirstToken.P50MS,
		MeasureFirstTokenP95:         all.FirstToken.P95MS,
		MeasureTokenIntervalP95:      all.Interval.P95MS,
		MeasureCutAnswers:            float64(all.Cut),
		MeasureWrongAnswers:          float64(all.Wrong),
		MeasureDuplicateBookings:     float64(r.Bookings.Duplicated),
		MeasureRanNotRun:             float64(r.Bookings.RanNotRun),
		MeasureEngineRefusals:        float64(r.Engines.EngineRefused),
	}
	if cpu, ok := r.Process[processCPU]; ok {
		m[MeasureCPUPerRequest] = ratio(cpu, float64(r.Requests))
		m[MeasureCPUPerToken] = ratio(cpu*1000, float64(r.Tokens))
	}
	if control, ok := r.Process[processControl]; ok {
		m[MeasureControlBytes] = control
	}
	return m
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// Group aggregates the runs of one policy under one scenario over all seeds.
type Group struct {
	Deployment string   `json:"deployment"`
	Scenario   string   `json:"scenario"`
	Policy     string   `json:"policy"`
	Load       float64  `json:"load"`
	Seeds      []uint64 `json:"seeds"`
	// Median, Min and Max are taken over the seeds.
	Median Measures `json:"median"`
	Min    Measures `json:"least"`
	Max    Measures `json:"greatest"`
	// FirstToken and Interval merge the requests of all seeds.
	FirstToken load.Latency `json:"firstToken"`
	Interval   load.Latency `json:"interval"`
	// GoodputOverBestBaseline is the ratio of the median goodput to that of the best baseline in the same scenario; 0 without
	// baselines.
	GoodputOverBestBaseline float64 `json:"goodputOverBestBaseline,omitempty"`
	BestBaseline            string  `json:"bestBaseline,omitempty"`
	// GoodputOverLoad1 is the ratio of the goodput to that of the same policy at a load of 1.0; 0 without such a run.
	GoodputOverLoad1 float64 `json:"goodputOverLoad1,omitempty"`
}

// Summary holds the aggregated results of an experiment.
type Summary struct {
	Groups []Group `json:"groups"`
	// Missing lists the ids of planned cells without a result.
	Missing []string `json:"missing,omitempty"`
}

type groupKey struct{ deployment, scenario, policy string }

// Aggregate groups results by deployment, scenario and policy.
func Aggregate(deployment string, results []load.Result) (Summary, error) {
	byKey := make(map[groupKey][]load.Result)
	var order []groupKey
	for _, r := range results {
		key := groupKey{deployment, r.Scenario, r.Policy}
		if len(byKey[key]) == 0 {
			order = append(order, key)
		}
		byKey[key] = append(byKey[key], r)
	}
	var s Summary
	for _, key := range order {
		g, err := newGroup(key, byKey[key])
		if err != nil {
			return s, err
		}
		s.Groups = append(s.Groups, g)
	}
	s.compare()
	return s, nil
}

func newGroup(key groupKey, results []load.Result) (Group, error) {
	g := Group{Deployment: key.deployment, Scenario: key.scenario, Policy: key.policy, Load: results[0].LoadFraction,
		Median: Measures{}, Min: Measures{}, Max: Measures{}}
	values := make(map[string][]float64)
	var first, interval []load.Latency
	for _, r := range results {
		g.Seeds = append(g.Seeds, r.Seed)
		first = append(first, r.Overall.FirstToken)
		interval = append(interval, r.Overall.Interval)
		for name, v := range Measure(r) {
			values[name] = append(values[name], v)
		}
	}
	for name, list := range values {
		sort.Float64s(list)
		g.Median[name], g.Min[name], g.Max[name] = Median(list), list[0], list[len(list)-1]
	}
	var errFirst, errInterval error
	g.FirstToken, errFirst = load.MergeLatencies(first)
	g.Interval, errInterval = load.MergeLatencies(interval)
	return g, errors.Join(errFirst, errInterval)
}

// Median returns the median of sorted values: the middle one, or the mean of the two middle ones.
func Median(sorted []float64) float64 {
	n := len(sorted)
	if n == 0 {
		return 0
	}
	if n%2 == 1 {
		return sorted[n/2]
	}
	return (sorted[n/2-1] + sorted[n/2]) / 2
}

// baseline reports whether a policy exists only for comparison.
func baseline(policy string) bool {
	switch catalogue.PolicyName(policy) {
	case catalogue.PolicyRandom, catalogue.PolicyLeastLoaded, catalogue.PolicyPrefillFirst:
		return true
	default:
		return false
	}
}

func (s *Summary) compare() {
	for i := range s.Groups {
		g := &s.Groups[i]
		best := 0.0
		for _, other := range s.Groups {
			goodput := other.Median[MeasureGoodput]
			if other.Deployment != g.Deployment {
				continue
			}
			if other.Scenario == g.Scenario && baseline(other.Policy) && goodput > best {
				best, g.BestBaseline = goodput, other.Policy
			}
			if other.Policy == g.Policy && other.Load == 1 && strings.HasPrefix(other.Scenario, "peak") {
				g.GoodputOverLoad1 = ratio(g.Median[MeasureGoodput], goodput)
			}
		}
		g.GoodputOverBestBaseline = ratio(g.Median[MeasureGoodput], best)
	}
}

// AggregateDir reads the results of an experiment's cells below a directory and writes the summary there.
func AggregateDir(f File, dir string) (Summary, error) {
	var results []load.Result
	var missing []string
	for _, c := range f.Plan() {
		r, err := readCell(filepath.Join(dir, c.ID))
		if errors.Is(err, os.ErrNotExist) {
			missing = append(missing, c.ID)
			continue
		}
		if err != nil {
			return Summary{}, err
		}
		results = append(results, r)
	}
	s, err := Aggregate(f.Deployment, results)
	if err != nil {
		return s, err
	}
	s.Missing = missing
	raw, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return s, err
	}
	return s, os.WriteFile(filepath.Join(dir, SummaryFile), append(raw, '\n'), 0o644)
}

func readCell(dir string) (load.Result, error) {
	r, err := load.ReadResult(filepath.Join(dir, resultFile))
	if err != nil {
		return r, err
	}
	raw, err := os.ReadFile(filepath.Join(dir, processFile))
	if errors.Is(err, os.ErrNotExist) {
		return r, nil
	}
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(raw, &r.Process); err != nil {
		return r, fmt.Errorf("%s: %w", dir, err)
	}
	return r, nil
}

// ReadSummary reads a summary file.
func ReadSummary(path string) (Summary, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Summary{}, err
	}
	var s Summary
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// WriteMarkdown writes the medians as a Markdown table.
func (s Summary) WriteMarkdown(w io.Writer) error {
	var page strings.Builder
	fmt.Fprintln(&page, "| scenario | policy | seeds | goodput/s | good | ÷ best baseline | ÷ load 1.0 | wasted prefill | worst served | inside rate | "+
		"wrongful | refused inside | excess | first p50/p95 ms | interval p95 ms | cut | CPU ms/request |")
	fmt.Fprintln(&page, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, g := range s.Groups {
		m := g.Median
		fmt.Fprintf(&page, "| %s | %s | %d | %.2f | %.1f%% | %s | %s | %.2f%% | %.3f | %.3f | %.2f%% | %.2f%% | %.0f | %.0f/%.0f | %.1f | %.0f | %s |\n",
			g.Scenario, g.Policy, len(g.Seeds), m[MeasureGoodput], 100*m[MeasureGoodPortion], formatRatio(g.GoodputOverBestBaseline), formatRatio(g.GoodputOverLoad1),
			100*m[MeasureWastedPrefill], m[MeasureWorstServed], m[MeasureWorstServedInsideRate], 100*m[MeasureWrongfulRefusals], 100*m[MeasureRefusedInsideRate], m[MeasureExcessTokens],
			m[MeasureFirstTokenP50], m[MeasureFirstTokenP95], m[MeasureTokenIntervalP95], m[MeasureCutAnswers], formatRatio(m[MeasureCPUPerRequest]))
	}
	if len(s.Missing) > 0 {
		fmt.Fprintf(&page, "\n%d cells of the plan have no result; summary.json lists them.\n", len(s.Missing))
	}
	_, err := io.WriteString(w, page.String())
	return err
}

func formatRatio(v float64) string {
	if v == 0 {
		return "–"
	}
	return fmt.Sprintf("%.2f", v)
}
