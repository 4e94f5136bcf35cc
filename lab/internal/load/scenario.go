// Package load generates open-loop traffic for a running system and evaluates the answers: latencies, goodput, refusals
// and tokens admitted beyond rate and burst.
package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"tanagerwood.dev/api/catalogue"
)

// Limits of a scenario. They bound the load generator's memory and the duration of a run.
const (
	MaxDuration      = 10 * time.Minute
	MaxArrivals      = 500_000
	maxCustomers     = 2_000
	maxPromptTokens  = 200_000
	maxPrefixes      = 1_000
	meanSamples      = 20_000
	meanSamplingSeed = 7
)

// Scenario describes the traffic of one run. All random values are derived from Seed.
type Scenario struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Policy is a label that is copied into the result.
	Policy     string `json:"policy,omitempty"`
	DurationMS int64  `json:"durationMs"`
	// WarmupMS is the initial part of the duration, whose requests are sent but not evaluated.
	WarmupMS int64 `json:"warmupMs,omitempty"`
	// FilledMS is how long the customers' shares have been filling before the run; 0 means that they are full.
	FilledMS int64 `json:"filledMs,omitempty"`
	// CapacityTokens is the decode capacity in output tokens per second, from which entitlements are computed; 0 means
	// unlimited.
	CapacityTokens float64 `json:"capacityTokensPerSecond,omitempty"`
	// LoadFraction is a label: the ratio of offered output tokens to capacity.
	LoadFraction float64 `json:"loadFraction,omitempty"`
	Mixes        []Mix   `json:"mixes"`
}

// Mix is the traffic of one customer.
type Mix struct {
	Customer string `json:"customer"`
	Key      string `json:"key"`
	Model    string `json:"model,omitempty"`
	// RateMultiple is the ratio of the offered token rate to the customer's rate in the catalogue.
	RateMultiple float64            `json:"rateMultiple"`
	Prompt       LengthDistribution `json:"prompt"`
	Output       LengthDistribution `json:"output"`
	// Prefixes is the number of shared prompt prefixes of the customer; PrefixPortion is the fraction of a prompt that its
	// prefix covers.
	Prefixes      int           `json:"prefixes,omitempty"`
	PrefixPortion float64       `json:"prefixPortion,omitempty"`
	Services      []ServiceCall `json:"services,omitempty"`
}

// LengthDistribution is a log-normal distribution of token counts, clamped to Min and Max.
type LengthDistribution struct {
	Median float64 `json:"median"`
	Sigma  float64 `json:"sigma"`
	Min    int64   `json:"min"`
	Max    int64   `json:"max"`
}

// ServiceCall describes calls to one path of a service pool.
type ServiceCall struct {
	Method    string  `json:"method"`
	Path      string  `json:"path"`
	PerSecond float64 `json:"perSecond"`
	// ExecuteOnce marks calls that must not be executed twice; they carry an Idempotency-Key.
	ExecuteOnce bool `json:"once,omitempty"`
	// RepeatPortion is the fraction of the calls that the caller sends a second time with the same key.
	RepeatPortion float64 `json:"repeatPortion,omitempty"`
}

// ReadScenario reads a scenario file.
func ReadScenario(path string) (Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	return ParseScenario(raw)
}

// ParseScenario decodes and validates a scenario.
func ParseScenario(raw []byte) (Scenario, error) {
	var s Scenario
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Scenario{}, fmt.Errorf("decode scenario: %w", err)
	}
	return s, s.Validate()
}

// Validate returns an error for the first value that is out of range.
func (s Scenario) Validate() error {
	if s.Duration() <= 0 || s.Duration() > MaxDuration {
		return fmt.Errorf("durationMs must be between 1 and %d", MaxDuration.Milliseconds())
	}
	if s.WarmupMS < 0 || s.WarmupMS >= s.DurationMS {
		return errors.New("warmupMs must be less than durationMs")
	}
	if s.FilledMS < 0 || s.FilledMS > MaxDuration.Milliseconds() {
		return fmt.Errorf("filledMs must be between 0 and %d", MaxDuration.Milliseconds())
	}
	if len(s.Mixes) == 0 || len(s.Mixes) > maxCustomers {
		return fmt.Errorf("mixes must have 1 to %d entries", maxCustomers)
	}
	seen := make(map[string]bool, len(s.Mixes))
	for _, m := range s.Mixes {
		if seen[m.Customer] {
			return fmt.Errorf("customer %q has two mixes; merge them", m.Customer)
		}
		seen[m.Customer] = true
		if err := m.validate(); err != nil {
			return fmt.Errorf("mix of customer %q: %w", m.Customer, err)
		}
	}
	return nil
}

// Duration returns the time during which requests arrive.
func (s Scenario) Duration() time.Duration { return time.Duration(s.DurationMS) * time.Millisecond }

// Warmup returns the initial part of Duration that is not evaluated.
func (s Scenario) Warmup() time.Duration { return time.Duration(s.WarmupMS) * time.Millisecond }

// Filled returns how long the customers' shares have been filling before the run.
func (s Scenario) Filled() time.Duration { return time.Duration(s.FilledMS) * time.Millisecond }

func (m Mix) validate() error {
	if !finite(m.RateMultiple) || m.RateMultiple > 1000 {
		return errors.New("rateMultiple must be between 0 and 1000")
	}
	if m.Prefixes < 0 || m.Prefixes > maxPrefixes || !finite(m.PrefixPortion) || m.PrefixPortion > 1 {
		return fmt.Errorf("prefixes must be 0 to %d and prefixPortion 0 to 1", maxPrefixes)
	}
	if m.RateMultiple > 0 {
		if err := errors.Join(m.Prompt.validate(), m.Output.validate()); err != nil {
			return err
		}
	}
	for _, call := range m.Services {
		if !finite(call.PerSecond) || call.PerSecond > 10_000 || call.Path == "" || call.Method == "" {
			return errors.New("a service call needs a method, a path and perSecond of at most 10000")
		}
	}
	return nil
}

func (l LengthDistribution) validate() error {
	if l.Min < 1 || l.Max < l.Min || l.Max > maxPromptTokens || !finite(l.Median) || !finite(l.Sigma) {
		return fmt.Errorf("a length needs 1 ≤ min ≤ max ≤ %d, median ≥ 0 and sigma ≥ 0", maxPromptTokens)
	}
	return nil
}

func finite(v float64) bool { return v >= 0 && !math.IsInf(v, 0) && !math.IsNaN(v) }

// Sample returns one token count from the distribution, using rng.
func (l LengthDistribution) Sample(rng *rand.Rand) int64 {
	v := l.Median * math.Exp(l.Sigma*rng.NormFloat64())
	return int64(math.Round(min(max(v, float64(l.Min)), float64(l.Max))))
}

// Mean estimates the mean of the clamped distribution from a fixed set of samples, so the result is reproducible.
func (l LengthDistribution) Mean() float64 {
	rng := rand.New(rand.NewPCG(meanSamplingSeed, 0))
	sum := 0.0
	for range meanSamples {
		sum += float64(l.Sample(rng))
	}
	return sum / meanSamples
}

// CatalogueIndex holds the catalogue entries that planning and evaluation look up, indexed by name.
type CatalogueIndex struct {
	customers map[string]catalogue.Customer
	models    map[string]catalogue.Model
	classes   map[string]catalogue.Class
	routes    []catalogue.Route
}

// NewCatalogueIndex indexes a catalogue.
func NewCatalogueIndex(c catalogue.Catalogue) *CatalogueIndex {
	l := &CatalogueIndex{
		customers: make(map[string]catalogue.Customer),
		models:    make(map[string]catalogue.Model),
		classes:   make(map[string]catalogue.Class),
		routes:    c.Routes,
	}
	for _, customer := range c.Customers {
		l.customers[customer.Name] = customer
	}
	for _, model := range c.Models {
		l.models[model.Name] = model
	}
	for _, class := range c.Classes {
		l.classes[class.Name] = class
	}
	return l
}

// LatencyTargets holds the latency targets of one request: time to first token and mean time between tokens.
type LatencyTargets struct {
	FirstToken time.Duration
	Interval   time.Duration
}

// LatencyTargets returns the latency targets of the model's class.
func (l *CatalogueIndex) LatencyTargets(model string) LatencyTargets {
	class := l.classes[l.models[model].Class]
	return LatencyTargets{
		FirstToken: time.Duration(class.FirstTokenMS) * time.Millisecond,
		Interval:   time.Duration(class.TokenIntervalMS) * time.Millisecond,
	}
}
