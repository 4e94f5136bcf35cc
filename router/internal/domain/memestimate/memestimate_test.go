package memestimate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/memestimate"
)

const service = "m"

// request is a running request that generates output tokens.
type request struct {
	demand    routing.Demand
	output    int64
	generated int64
}

func draw(random *rand.Rand) *request {
	expected := 800 * math.Exp(0.3*random.NormFloat64())
	output := expected * math.Exp(0.45*random.NormFloat64())
	return &request{
		demand: routing.Demand{PromptTokens: 1000 + random.Int64N(4400), OutputTokens: 1920, ExpectedOutput: int64(min(expected, 1920))},
		output: int64(max(1, min(output, 1920))),
	}
}

// admission determines how much memory a request counts for, and how much there is.
type admission interface {
	RequestMemory(service string, d routing.Demand, generated int64) int64
	UsableMemory(service string, tokens int64) int64
}

// wholeOutput counts each request with its whole likely output from the start.
type wholeOutput struct{}

func (wholeOutput) RequestMemory(_ string, d routing.Demand, generated int64) int64 {
	return d.PromptTokens + max(d.EstimatedOutput(), generated)
}

func (wholeOutput) UsableMemory(_ string, tokens int64) int64 { return tokens }

// engine runs as many requests as are admitted; more are always waiting.
type engine struct {
	slots   int
	tokens  int64
	running []*request
	next    *request
}

// step generates some tokens for each request, and returns how many ended and how many were preempted.
func (e *engine) step(estimator *memestimate.Estimator, policy admission, random *rand.Rand, tokens int64) (ended, preempted int) {
	left := e.running[:0]
	for _, r := range e.running {
		if r.generated = min(r.generated+tokens, r.output); r.generated < r.output {
			left = append(left, r)
			continue
		}
		estimator.RecordOutput(service, r.demand, r.generated)
		ended++
	}
	e.running = left
	used, counted := int64(0), int64(0)
	for _, r := range e.running {
		used += r.demand.PromptTokens + r.generated
		counted += policy.RequestMemory(service, r.demand, r.generated)
	}
	for used > e.tokens {
		last := e.running[len(e.running)-1]
		used -= last.demand.PromptTokens + last.generated
		e.running = e.running[:len(e.running)-1]
		estimator.RecordShortage(service)
		preempted++
	}
	if memory := policy.RequestMemory(service, e.next.demand, 0); len(e.running) < e.slots && counted+memory <= policy.UsableMemory(service, e.tokens) {
		e.running = append(e.running, e.next)
		e.next = draw(random)
		estimator.RecordFit(service)
	}
	return ended, preempted
}

// Guards against engines that run fewer requests than fit into their memory because each counts with its whole output, and
// against an estimate so low that engines preempt requests.
func TestFillsMemory(t *testing.T) {
	for _, c := range []struct {
		slots  int
		tokens int64
	}{{64, 37_745}, {12, 28_454}, {32, 120_000}} {
		t.Run(fmt.Sprint(c.slots), func(t *testing.T) {
			g := memestimate.New()
			mean, preempted := run(c.slots, c.tokens, g, g)
			whole, _ := run(c.slots, c.tokens, memestimate.New(), wholeOutput{})
			if mean <= whole {
				t.Errorf("%.2f concurrent requests, %.2f with their whole outputs reserved", mean, whole)
			}
			if preempted > 0.01 {
				t.Errorf("%.4f of the requests were preempted", preempted)
			}
		})
	}
}

// run returns the mean number of concurrent requests, and the fraction of requests that were preempted.
func run(slots int, tokens int64, estimator *memestimate.Estimator, policy admission) (mean, preempted float64) {
	random := rand.New(rand.NewPCG(3, uint64(slots)))
	e := &engine{slots: slots, tokens: tokens, next: draw(random)}
	const warmup, steps = 20_000, 200_000
	sum, ended, preemptions := 0, 0, 0
	for n := range steps {
		done, refused := e.step(estimator, policy, random, 12)
		if n >= warmup {
			sum, ended, preemptions = sum+len(e.running), ended+done, preemptions+refused
		}
	}
	return float64(sum) / (steps - warmup), float64(preemptions) / float64(ended)
}

// Guards against wrong estimates for outputs that are much shorter or longer than the callers expect.
func TestAdaptsToOutputLengths(t *testing.T) {
	d := routing.Demand{PromptTokens: 1000, OutputTokens: 9000, ExpectedOutput: 1000}
	for ratio, most := range map[float64]int64{0.2: 1300, 3: 4300} {
		g := memestimate.New()
		for range 2000 {
			g.RecordOutput(service, d, int64(ratio*1000))
		}
		if got := g.RequestMemory(service, d, 0); got > most || got < most-600 {
			t.Errorf("outputs of %.1f of the estimate: %d tokens", ratio, got)
		}
	}
}

// Guards against invalid measurements, and against estimates below what a request uses or above what it can use.
func TestBounds(t *testing.T) {
	g := memestimate.New()
	d := routing.Demand{PromptTokens: 5000, OutputTokens: 9000, ExpectedOutput: 1000}
	before := g.RequestMemory(service, d, 100)
	g.RecordOutput(service, d, -1)
	g.RecordOutput(service, d, 1<<50)
	g.RecordOutput(service, routing.Demand{}, 10)
	if g.RequestMemory(service, d, 100) != before {
		t.Error("an invalid output length was recorded")
	}
	for generated := int64(0); generated <= 9000; generated += 100 {
		if got := g.RequestMemory(service, d, generated); got < 5000+generated || got > 14_000 {
			t.Error(generated, got)
		}
	}
	for range 10_000 {
		g.RecordShortage(service)
	}
	if got := g.UsableMemory(service, 1000); got != 850 {
		t.Error("the margin is not bounded:", got)
	}
}
