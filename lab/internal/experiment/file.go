// Package experiment plans runs of policies under scenarios, writes the files that each run needs, and aggregates the
// results. It starts no process; scripts/experiment.sh does.
package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"regexp"
	"time"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/lab/internal/load"
)

// Bounds of an experiment.
const (
	maxCells     = 5_000
	maxLoad      = 10
	maxFaults    = 100
	maxNameBytes = 60
)

// File is an experiment: the runs of all combinations of policies, scenarios and seeds.
type File struct {
	Deployment string                 `json:"deployment"`
	Policies   []catalogue.PolicyName `json:"policies"`
	Seeds      []uint64               `json:"seeds"`
	Scenarios  []Scenario             `json:"scenarios"`
}

// Scenario is the load and the faults under which a deployment runs.
type Scenario struct {
	Name string `json:"name"`
	// Load is the ratio of the offered output to the decode capacity.
	Load float64 `json:"load"`
	// RatedLoad is the load at which each customer sends exactly its rate. If it is more than Load, no customer exceeds its
	// rate.
	RatedLoad  float64 `json:"ratedLoad"`
	DurationMS int64   `json:"durationMs"`
	WarmupMS   int64   `json:"warmupMs"`
	// Noisy is a customer that sends a multiple of its rate.
	Noisy *NoisyCustomer `json:"noisy,omitempty"`
	// LoadIntervalMS is the time between load reports of engines; a report is one to two intervals old.
	LoadIntervalMS int64 `json:"loadIntervalMs,omitempty"`
	// LinkFactor multiplies the rate of the transfer links; 1 if absent.
	LinkFactor float64 `json:"linkFactor,omitempty"`
	Faults     []Fault `json:"faults,omitempty"`
}

// NoisyCustomer is a customer and the multiple of its rate that it sends.
type NoisyCustomer struct {
	Customer string  `json:"customer"`
	Multiple float64 `json:"multiple"`
}

// FaultAction is what happens to a process.
type FaultAction string

// Actions. Kill ends a process at once, Restart stops it gracefully and starts it again, Post sends JSON to a path of
// the process, Remove takes it out of the platform's instance list. A domain's processes are named "domain:NAME",
// all routers "routers".
const (
	ActionKill    FaultAction = "kill"
	ActionRestart FaultAction = "restart"
	ActionPost    FaultAction = "post"
	ActionRemove  FaultAction = "remove"
)

// Fault is a fault that is injected during a run.
type Fault struct {
	AtMS   int64       `json:"atMs"`
	Action FaultAction `json:"action"`
	Target string      `json:"target"`
	// Path and Body are used by ActionPost only.
	Path string          `json:"path,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Cell is one run of the experiment: a policy under a scenario with a seed.
type Cell struct {
	ID         string
	Deployment string
	Policy     catalogue.PolicyName
	Scenario   Scenario
	Seed       uint64
}

// namePattern limits names to what is safe in file names and in lines that a shell script reads.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// Read reads and checks an experiment file.
func Read(path string) (File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, err
	}
	f, err := Parse(raw)
	if err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Parse decodes and checks an experiment file.
func Parse(raw []byte) (File, error) {
	var f File
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return File{}, fmt.Errorf("decode experiment: %w", err)
	}
	return f, f.validate()
}

func (f File) validate() error {
	if _, err := DeploymentByName(f.Deployment); err != nil {
		return err
	}
	if len(f.Policies) == 0 || len(f.Seeds) == 0 || len(f.Scenarios) == 0 {
		return errors.New("policies, seeds and scenarios must not be empty")
	}
	if len(f.Policies)*len(f.Seeds)*len(f.Scenarios) > maxCells {
		return fmt.Errorf("more than %d cells; split the experiment", maxCells)
	}
	for _, p := range f.Policies {
		if !validName(string(p)) {
			return fmt.Errorf("policy %q is not a plain name", p)
		}
	}
	seen := make(map[string]bool)
	for _, s := range f.Scenarios {
		if seen[s.Name] {
			return fmt.Errorf("scenario %q is listed twice", s.Name)
		}
		seen[s.Name] = true
		if err := s.validate(); err != nil {
			return fmt.Errorf("scenario %q: %w", s.Name, err)
		}
	}
	return nil
}

func validName(name string) bool { return len(name) <= maxNameBytes && namePattern.MatchString(name) }

func (s Scenario) validate() error {
	if !validName(s.Name) {
		return errors.New("the name must have letters, digits, dots and hyphens only")
	}
	duration := time.Duration(s.DurationMS) * time.Millisecond
	if s.DurationMS <= 0 || s.DurationMS > load.MaxDuration.Milliseconds() || s.WarmupMS < 0 || s.WarmupMS >= s.DurationMS {
		return fmt.Errorf("durationMs must be 1 to %d and more than warmupMs, is %s", load.MaxDuration.Milliseconds(), duration)
	}
	if !(s.Load > 0 && s.Load <= maxLoad) || !(s.RatedLoad > 0 && s.RatedLoad <= maxLoad) {
		return fmt.Errorf("load and ratedLoad must be more than 0 and at most %d", maxLoad)
	}
	if s.LoadIntervalMS < 0 || s.LoadIntervalMS > s.DurationMS || s.LinkFactor < 0 || s.LinkFactor > 100 {
		return errors.New("loadIntervalMs must be within the duration and linkFactor at most 100")
	}
	if s.Noisy != nil && !(s.Noisy.Multiple > 0 && s.Noisy.Multiple <= 100) {
		return errors.New("a noisy customer's multiple must be more than 0 and at most 100")
	}
	if len(s.Faults) > maxFaults {
		return fmt.Errorf("more than %d faults", maxFaults)
	}
	for _, fault := range s.Faults {
		if err := fault.validate(s.DurationMS); err != nil {
			return err
		}
	}
	return nil
}

func (f Fault) validate(durationMS int64) error {
	if f.AtMS < 0 || f.AtMS >= durationMS {
		return fmt.Errorf("fault at %d ms is outside of the run", f.AtMS)
	}
	if !validName(f.Target) {
		return fmt.Errorf("fault target %q is not a plain name", f.Target)
	}
	switch f.Action {
	case ActionKill, ActionRestart, ActionRemove:
		return nil
	case ActionPost:
		if f.Path == "" || f.Path[0] != '/' || !json.Valid(f.Body) {
			return errors.New("a post fault needs a path that begins with / and a JSON body")
		}
		return nil
	default:
		return fmt.Errorf("unknown action %q; use kill, restart, post or remove", f.Action)
	}
}

// Plan lists the cells. The policies of one scenario and seed run one after the other, so that the compared figures are
// measured within the same minutes on the machine.
func (f File) Plan() []Cell {
	var cells []Cell
	for _, seed := range f.Seeds {
		for _, s := range f.Scenarios {
			for _, p := range f.Policies {
				cells = append(cells, Cell{
					ID:         fmt.Sprintf("%s.%s.%s.s%d", f.Deployment, s.Name, p, seed),
					Deployment: f.Deployment, Policy: p, Scenario: s, Seed: seed,
				})
			}
		}
	}
	return cells
}

// Cell finds a cell by its id.
func (f File) Cell(id string) (Cell, error) {
	for _, c := range f.Plan() {
		if c.ID == id {
			return c, nil
		}
	}
	return Cell{}, fmt.Errorf("the experiment has no cell %q; list them with plan", id)
}
