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

// request is a running request that makes output tokens.
type request struct {
	demand routing.Demand
	output int64
	made   int64
}

func draw(random *rand.Rand) *request {
	expected := 800 * math.Exp(0.3*random.NormFloat64())
	output := expected * math.Exp(0.45*random.NormFloat64())
	return &request{
		demand: routing.Demand{PromptTokens: 1000 + random.Int64N(4400), OutputTokens: 1920, ExpectedOutput: int64(min(expected, 1920))},
		output: int64(max(1, min(output, 1920))),
	}
}

// admission tells how much memory counts as used by a request, and how much there is.
type admission interface {
	Memory(service string, d routing.Demand, made int64) int64
	Usable(service string, tokens int64) int64
}

// wholeOutput counts each request with its whole likely output from the start.
type wholeOutput struct{}

func (wholeOutput) Memory(_ string, d routing.Demand, made int64) int64 {
	return d.PromptTokens + max(d.Likely(), made)
}

func (wholeOutput) Usable(_ string, tokens int64) int64 { return tokens }

// engine runs as many requests as are admitted, always with more waiting.
type engine struct {
	slots   int
	tokens  int64
	running []*request
	next    *request
}

// step makes some tokens for each request, and returns how many ended and how many had to be put back.
func (e *engine) step(g *memestimate.Estimator, a admission, random *rand.Rand, tokens int64) (ended, putBack int) {
	left := e.running[:0]
	for _, r := range e.running {
		if r.made = min(r.made+tokens, r.output); r.made < r.output {
			left = append(left, r)
			continue
		}
		g.RecordOutput(service, r.demand, r.made)
		ended++
	}
	e.running = left
	used, counted := int64(0), int64(0)
	for _, r := range e.running {
		used += r.demand.PromptTokens + r.made
		counted += a.Memory(service, r.demand, r.made)
	}
	for used > e.tokens {
		last := e.running[len(e.running)-1]
		used -= last.demand.PromptTokens + last.made
		e.running = e.running[:len(e.running)-1]
		g.RecordShortage(service)
		putBack++
	}
	if memory := a.Memory(service, e.next.demand, 0); len(e.running) < e.slots && counted+memory <= a.Usable(service, e.tokens) {
		e.running = append(e.running, e.next)
		e.next = draw(random)
		g.RecordFit(service)
	}
	return ended, putBack
}

// Guards against engines that run fewer requests than their memory holds because each counts with its whole output, and against
// ones that put requests back.
func TestFillsMemory(t *testing.T) {
	for _, c := range []struct {
		slots  int
		tokens int64
	}{{64, 37_745}, {12, 28_454}, {32, 120_000}} {
		t.Run(fmt.Sprint(c.slots), func(t *testing.T) {
			g := memestimate.New()
			mean, putBack := run(c.slots, c.tokens, g, g)
			whole, _ := run(c.slots, c.tokens, memestimate.New(), wholeOutput{})
			if mean <= whole {
				t.Errorf("%.2f requests at once, %.2f with their whole outputs set aside", mean, whole)
			}
			if putBack > 0.01 {
				t.Errorf("%.4f of the requests were put back", putBack)
			}
		})
	}
}

// run returns the mean number of requests at once, and the part of them that was put back.
func run(slots int, tokens int64, g *memestimate.Estimator, a admission) (mean, putBack float64) {
	random := rand.New(rand.NewPCG(3, uint64(slots)))
	e := &engine{slots: slots, tokens: tokens, next: draw(random)}
	const warm, steps = 20_000, 200_000
	sum, ended, back := 0, 0, 0
	for n := range steps {
		done, refused := e.step(g, a, random, 12)
		if n >= warm {
			sum, ended, back = sum+len(e.running), ended+done, back+refused
		}
	}
	return float64(sum) / (steps - warm), float64(back) / float64(ended)
}

// Guards against outputs that are learnt wrongly: much shorter or longer than the callers expect.
func TestLearnsTheOutputs(t *testing.T) {
	d := routing.Demand{PromptTokens: 1000, OutputTokens: 9000, ExpectedOutput: 1000}
	for ratio, most := range map[float64]int64{0.2: 1300, 3: 4300} {
		g := memestimate.New()
		for range 2000 {
			g.RecordOutput(service, d, int64(ratio*1000))
		}
		if got := g.Memory(service, d, 0); got > most || got < most-600 {
			t.Errorf("outputs of %.1f of the estimate: %d tokens", ratio, got)
		}
	}
}

// Guards against measurements that cannot be, and against results below what a request has or beyond what it may have.
func TestBounds(t *testing.T) {
	g := memestimate.New()
	d := routing.Demand{PromptTokens: 5000, OutputTokens: 9000, ExpectedOutput: 1000}
	before := g.Memory(service, d, 100)
	g.RecordOutput(service, d, -1)
	g.RecordOutput(service, d, 1<<50)
	g.RecordOutput(service, routing.Demand{}, 10)
	if g.Memory(service, d, 100) != before {
		t.Error("an absurd output was learnt")
	}
	for made := int64(0); made <= 9000; made += 100 {
		if got := g.Memory(service, d, made); got < 5000+made || got > 14_000 {
			t.Error(made, got)
		}
	}
	for range 10_000 {
		g.RecordShortage(service)
	}
	if got := g.Usable(service, 1000); got != 850 {
		t.Error("the margin is not bounded:", got)
	}
}
