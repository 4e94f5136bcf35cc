package report

import (
	"fmt"
	"sort"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/lab/internal/experiment"
)

// GoalResult is the measured value of a goal of the design page and whether it meets the goal.
type GoalResult struct {
	Deployment string
	Goal       string
	Scenario   string
	Policy     string
	Measured   string
	Seeds      int
	Met        bool
}

// goal is a bound on one measure of a scenario.
type goal struct {
	text     string
	scenario string
	value    func(experiment.Group) float64
	met      func(float64) bool
	format   string
}

func median(measure string) func(experiment.Group) float64 {
	return func(g experiment.Group) float64 { return g.Median[measure] }
}

func atMost(limit float64) func(float64) bool  { return func(v float64) bool { return v <= limit } }
func atLeast(limit float64) func(float64) bool { return func(v float64) bool { return v >= limit } }

func percent(measure string) func(experiment.Group) float64 {
	return func(g experiment.Group) float64 { return 100 * g.Median[measure] }
}

// goals lists the goals of the design page that an experiment can check. Scenario names are those of the files in
// lab/experiments.
var goals = []goal{
	{"wasted prefill ≤ 1% at 0.9", "peak-0.9", percent(experiment.MeasureWastedPrefill), atMost(1), "%.2f%%"},
	{"wasted prefill ≤ 3% at 1.5", "peak-1.5", percent(experiment.MeasureWastedPrefill), atMost(3), "%.2f%%"},
	{"goodput at 1.5 ≥ 95% of goodput at 1.0", "peak-1.5", func(g experiment.Group) float64 { return 100 * g.GoodputOverLoad1 }, atLeast(95), "%.1f%%"},
	{"goodput at 0.9 ≥ 1.3 × best baseline", "peak-0.9", func(g experiment.Group) float64 { return g.GoodputOverBestBaseline }, atLeast(1.3), "%.2f ×"},
	{"worst-served ≥ 0.9 next to a neighbour at five times its rate", "noisy-5x", median(experiment.MeasureWorstServedInsideRate), atLeast(0.9), "%.3f"},
	{"wrongful refusals ≤ 1% at 0.9", "peak-0.9", percent(experiment.MeasureWrongfulRefusals), atMost(1), "%.2f%%"},
	{"wrongful refusals ≤ 2% in steady state", "steady", percent(experiment.MeasureWrongfulRefusals), atMost(2), "%.2f%%"},
	{"wrongful refusals ≤ 2% with one instance dying", "router-lost", percent(experiment.MeasureWrongfulRefusals), atMost(2), "%.2f%%"},
	{"no tokens beyond rate and burst", "noisy-5x", median(experiment.MeasureExcessTokens), atMost(0), "%.0f tokens"},
	{"no cut answers in a rolling restart", "rolling-restart", median(experiment.MeasureCutAnswers), atMost(0), "%.0f cut"},
	{"no booking runs twice when a domain is lost", "domain-lost", median(experiment.MeasureDuplicateBookings), atMost(0), "%.0f doubled"},
}

// goalResults checks the goals for the policies that are not baselines.
func goalResults(groups []experiment.Group) []GoalResult {
	var list []GoalResult
	for _, goal := range goals {
		for _, g := range groups {
			policy := catalogue.PolicyName(g.Policy)
			if g.Scenario != goal.scenario || (policy != catalogue.PolicyReserve && policy != catalogue.PolicyTwoChoices) {
				continue
			}
			value := goal.value(g)
			list = append(list, GoalResult{
				Deployment: g.Deployment, Goal: goal.text, Scenario: g.Scenario, Policy: g.Policy,
				Measured: fmt.Sprintf(goal.format, value), Seeds: len(g.Seeds), Met: goal.met(value),
			})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Deployment < list[j].Deployment })
	return list
}
