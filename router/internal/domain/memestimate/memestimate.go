// Package memestimate estimates how much engine memory a model request will use, from the tokens it has generated and from
// observed ratios of output length to the callers' estimates. Requests end at different times, so counting each with its whole
// output from the start would leave much memory unused; a request counts with its expected memory over its remaining time
// instead.
package memestimate

import (
	"math"
	"sync"

	"tanagerwood.dev/api/routing"
)

const (
	// bucketWidth and bucketCount define the histogram of the ratio of output to estimate; the last bucket holds all larger
	// ratios.
	bucketWidth = 0.25
	bucketCount = 17
	// priorDeviation is the assumed initial deviation of the logarithm of the ratio; the assumption counts for priorWeight
	// outputs.
	priorDeviation = 0.5
	priorWeight    = 8.0
	// decayOutputs is the number of outputs after which an old one has lost most of its weight.
	decayOutputs = 256.0
	// minLongerWeight is the weight of longer outputs that is needed to predict how a request continues. With less, a request is
	// expected to generate another tailFraction of its present output.
	minLongerWeight = 0.5
	tailFraction    = 0.25
)

const (
	// initialMargin is the fraction of an engine's memory that is kept free at first, maxMargin the largest one. Each request
	// that an engine had no memory for raises the margin by marginStep, and each one that it had memory for lowers it by
	// marginStep/fitsPerShortage, so that at most about one in fitsPerShortage requests finds no memory.
	initialMargin   = 0.03
	maxMargin       = 0.15
	marginStep      = 0.01
	fitsPerShortage = 200
)

// Estimator holds the observations of all services. It is safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	// weights holds the decayed number of outputs by bucket.
	weights [bucketCount]float64
	margin  float64
}

// New returns an Estimator without observations.
func New() *Estimator { return &Estimator{services: map[string]*service{}} }

// service returns the entry of a service; e.mu must be held.
func (e *Estimator) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{weights: prior(), margin: initialMargin}
		e.services[name] = s
	}
	return s
}

// prior returns a log-normal distribution around the estimate.
func prior() (weights [bucketCount]float64) {
	sum := 0.0
	for i := range weights {
		ratio := (float64(i) + 0.5) * bucketWidth
		z := math.Log(ratio) / priorDeviation
		weights[i] = math.Exp(-z*z/2) / ratio
		sum += weights[i]
	}
	for i := range weights {
		weights[i] *= priorWeight / sum
	}
	return weights
}

// RecordOutput records the output length of a completed request. Invalid lengths are ignored.
func (e *Estimator) RecordOutput(name string, d routing.Demand, generated int64) {
	if generated <= 0 || generated > d.OutputTokens || d.EstimatedOutput() <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.service(name)
	for i := range s.weights {
		s.weights[i] *= 1 - 1/decayOutputs
	}
	s.weights[bucketOf(float64(generated)/float64(d.EstimatedOutput()))]++
}

func bucketOf(ratio float64) int { return min(int(ratio/bucketWidth), bucketCount-1) }

// RequestMemory returns the engine memory, in tokens, to count for a request that has generated some of its output: the maximum, over all
// future times, of its expected memory use. A request that has ended uses none.
func (e *Estimator) RequestMemory(name string, d routing.Demand, generated int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	likely := float64(max(1, d.EstimatedOutput()))
	s, at := e.service(name), bucketOf(float64(generated)/likely)
	longer := 0.0
	for _, w := range s.weights[at:] {
		longer += w
	}
	current := float64(d.PromptTokens + generated)
	if longer < minLongerWeight {
		return int64(current + min(tailFraction*float64(generated), float64(max(0, d.OutputTokens-generated))))
	}
	peak, running := current, longer
	for i := at; i < bucketCount-1; i++ {
		running -= s.weights[i]
		output := min(float64(i+1)*bucketWidth*likely, float64(d.OutputTokens))
		peak = max(peak, running/longer*(float64(d.PromptTokens)+output))
	}
	return int64(peak)
}

// UsableMemory returns the part of an engine's memory that may be assigned, in tokens.
func (e *Estimator) UsableMemory(name string, tokens int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return int64((1 - e.service(name).margin) * float64(tokens))
}

// RecordFit records a request for which its engine had memory.
func (e *Estimator) RecordFit(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.service(name)
	s.margin = max(0, s.margin-marginStep/fitsPerShortage)
}

// RecordShortage records a request for which its engine had no memory.
func (e *Estimator) RecordShortage(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.service(name)
	s.margin = min(maxMargin, s.margin+marginStep)
}
