package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Arrival is one planned request. At is its time since the start of the run.
type Arrival struct {
	At time.Duration
	// Mix is the index of the customer's mix; Seq numbers the arrivals of the mix.
	Mix int
	Seq int
	// Service is the index of the service call, or -1 for a model request.
	Service int
	// PromptTokens and OutputTokens are the size of a model request; Prefix is the index of the shared prompt prefix, or -1.
	PromptTokens int64
	OutputTokens int64
	Prefix       int
	// Repeat reports whether the caller sends the service call a second time with the same key.
	Repeat bool
}

// Plan generates all arrivals of a scenario, ordered by time. Each customer and each service call has its own random
// generator, so a change to one mix does not change the arrivals of the others.
func Plan(s Scenario, index *CatalogueIndex) ([]Arrival, error) {
	var all []Arrival
	for i, m := range s.Mixes {
		customer, ok := index.customers[m.Customer]
		if !ok {
			return nil, fmt.Errorf("customer %q is not in the catalogue", m.Customer)
		}
		if m.RateMultiple > 0 {
			if _, ok := index.models[m.Model]; !ok {
				return nil, fmt.Errorf("model %q of customer %q is not in the catalogue", m.Model, m.Customer)
			}
		}
		perSecond := m.RequestRate(customer.RateTokens)
		all = append(all, modelArrivals(s, i, perSecond)...)
		for j := range m.Services {
			all = append(all, serviceArrivals(s, i, j)...)
		}
		if len(all) > MaxArrivals {
			return nil, fmt.Errorf("the scenario has more than %d arrivals; shorten it or lower the rates", MaxArrivals)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all, nil
}

// RequestRate returns the mean number of model requests per second of a customer with the given rate in tokens per second.
func (m Mix) RequestRate(rateTokens int64) float64 {
	if m.RateMultiple == 0 {
		return 0
	}
	return m.RateMultiple * float64(rateTokens) / (m.Prompt.Mean() + m.Output.Mean())
}

func modelArrivals(s Scenario, mix int, perSecond float64) []Arrival {
	m := s.Mixes[mix]
	rng := newGenerator(s.Seed, "model", m.Customer)
	var arrivals []Arrival
	for _, at := range poisson(rng, perSecond, s.Duration()) {
		a := Arrival{At: at, Mix: mix, Seq: len(arrivals), Service: -1, Prefix: -1}
		a.PromptTokens = m.Prompt.Sample(rng)
		a.OutputTokens = m.Output.Sample(rng)
		if m.Prefixes > 0 {
			a.Prefix = rng.IntN(m.Prefixes)
		}
		arrivals = append(arrivals, a)
	}
	return arrivals
}

func serviceArrivals(s Scenario, mix, service int) []Arrival {
	call := s.Mixes[mix].Services[service]
	rng := newGenerator(s.Seed, "service", s.Mixes[mix].Customer, call.Method, call.Path)
	var arrivals []Arrival
	for _, at := range poisson(rng, call.PerSecond, s.Duration()) {
		repeat := rng.Float64() < call.RepeatPortion
		arrivals = append(arrivals, Arrival{At: at, Mix: mix, Seq: len(arrivals), Service: service, Prefix: -1, Repeat: repeat})
	}
	return arrivals
}

// poisson samples the arrival times of a Poisson process up to end. It returns at most MaxArrivals+1 times, which is enough for
// Plan to detect that the limit is exceeded.
func poisson(rng *rand.Rand, perSecond float64, end time.Duration) []time.Duration {
	var times []time.Duration
	if perSecond <= 0 {
		return times
	}
	at := 0.0
	for len(times) <= MaxArrivals {
		at += rng.ExpFloat64() / perSecond
		if at >= end.Seconds() {
			break
		}
		times = append(times, time.Duration(at*float64(time.Second)))
	}
	return times
}

// newGenerator derives an independent random generator for a named part of the scenario.
func newGenerator(seed uint64, names ...string) *rand.Rand {
	digest := xxhash.New()
	for _, name := range names {
		_, _ = digest.WriteString(name)
		_, _ = digest.WriteString("\x00")
	}
	return rand.New(rand.NewPCG(seed, digest.Sum64()))
}
