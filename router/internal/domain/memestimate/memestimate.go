// Package growth tells how much engine memory a model request will use, from what it has made and from how long outputs have been
// compared with the callers' estimates. It answers engines whose memory is full long before their slots: a request counts with
// its expected memory over the coming time, not with its whole output from the start, since requests end in turn.
package memestimate

import (
	"math"
	"sync"

	"tanagerwood.dev/api/routing"
)

const (
	// bucketWidth and buckets divide the ratios of output to estimate; the last bucket holds all larger ones.
	bucketWidth = 0.25
	buckets     = 17
	// priorDeviation is the deviation of the logarithm of the ratio that is assumed at first, priorWeight the number of outputs
	// that the assumption counts for.
	priorDeviation = 0.5
	priorWeight    = 8.0
	// memory is the number of outputs after which an old one has lost most of its weight.
	memory = 256.0
	// leastLeft is the weight of longer outputs from which they say how a request goes on. Beyond them, one is likely to make
	// tail of what it has made.
	leastLeft = 0.5
	tail      = 0.25
)

const (
	// firstMargin is the part of an engine's memory that is kept free at first, maxMargin the largest one. Each request that an engine had no memory for
	// raises the margin by marginStep, and each one that it had memory for lowers it by marginStep/fitsPerShort, so that at
	// most about one in fitsPerShort finds none.
	firstMargin  = 0.03
	maxMargin    = 0.15
	marginStep   = 0.01
	fitsPerShort = 200
)

// Estimator is what is known of the services. It is safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	// weights are those of the outputs by bucket.
	weights [buckets]float64
	margin  float64
}

// New returns a Growth that knows nothing but the assumptions.
func New() *Estimator { return &Estimator{services: map[string]*service{}} }

// of returns the entry of a service; g.mu is held.
func (g *Estimator) of(name string) *service {
	s := g.services[name]
	if s == nil {
		s = &service{weights: prior(), margin: firstMargin}
		g.services[name] = s
	}
	return s
}

// prior is a log-normal distribution around the estimate.
func prior() (weights [buckets]float64) {
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

// RecordOutput enters the output of a request that was served to its end. Numbers that cannot be are ignored.
func (g *Estimator) RecordOutput(name string, d routing.Demand, made int64) {
	if made <= 0 || made > d.OutputTokens || d.Likely() <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.of(name)
	for i := range s.weights {
		s.weights[i] *= 1 - 1/memory
	}
	s.weights[bucketOf(float64(made)/float64(d.Likely()))]++
}

func bucketOf(ratio float64) int { return min(int(ratio/bucketWidth), buckets-1) }

// Memory is the engine memory, in tokens, that counts as used by a request that has made some of its output: the largest that is
// expected at any coming moment, at which it has grown or ended.
func (g *Estimator) Memory(name string, d routing.Demand, made int64) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	likely := float64(max(1, d.Likely()))
	s, at := g.of(name), bucketOf(float64(made)/likely)
	left := 0.0
	for _, w := range s.weights[at:] {
		left += w
	}
	now := float64(d.PromptTokens + made)
	if left < leastLeft {
		return int64(now + min(tail*float64(made), float64(max(0, d.OutputTokens-made))))
	}
	most, alive := now, left
	for i := at; i < buckets-1; i++ {
		alive -= s.weights[i]
		output := min(float64(i+1)*bucketWidth*likely, float64(d.OutputTokens))
		most = max(most, alive/left*(float64(d.PromptTokens)+output))
	}
	return int64(most)
}

// Usable is the part of an engine's memory that may be given out, in tokens.
func (g *Estimator) Usable(name string, tokens int64) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64((1 - g.of(name).margin) * float64(tokens))
}

// RecordFit enters a request for which its engine had memory.
func (g *Estimator) RecordFit(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.of(name)
	s.margin = max(0, s.margin-marginStep/fitsPerShort)
}

// RecordShortage enters a request for which its engine had no memory.
func (g *Estimator) RecordShortage(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.of(name)
	s.margin = min(maxMargin, s.margin+marginStep)
}
