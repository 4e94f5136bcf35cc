package engines_test

import (
	"math"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/inflight"
)

// selectDecodeByUtilization is the choice without withheld engines.
func selectDecodeByUtilization(candidates []engines.Candidate, capacity engines.Capacity, tokens int64, domain string, random float64) int {
	least := math.Inf(1)
	utilizations := make([]float64, len(candidates))
	for i, c := range candidates {
		utilizations[i] = math.Inf(1)
		if !c.Full && c.Load.Requests < capacity.Slots && (c.Load.Tokens+tokens <= capacity.Tokens || c.Load.Requests == 0) {
			utilizations[i] = c.Utilization(capacity) + 2*c.FailureRate
			least = min(least, utilizations[i])
		}
	}
	var tied, near []int
	for i, u := range utilizations {
		if !math.IsInf(u, 1) && u <= least+float64(tokens)/float64(capacity.Tokens) {
			tied = append(tied, i)
			if candidates[i].Endpoint.Domain == domain {
				near = append(near, i)
			}
		}
	}
	if len(near) > 0 {
		tied = near
	}
	if len(tied) == 0 {
		return -1
	}
	return tied[int(random*float64(len(tied)))]
}

// selectPrefillByTokens is the choice without factors of speed.
func selectPrefillByTokens(candidates []engines.Candidate, tokens int64, domain string) int {
	best, bestCost := -1, 0.0
	for i, c := range candidates {
		cost := float64(c.Load.Tokens+tokens) * (1 + 2*c.FailureRate)
		if c.Endpoint.Domain != domain {
			cost += 1000
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Guards against another choice for services whose endpoints have no pace.
var _ = It("chooses by utilization and queue unless engines are withheld", func() {
	random := rand.New(rand.NewPCG(1, 2))
	for range 5000 {
		candidates := make([]engines.Candidate, random.IntN(8))
		for i := range candidates {
			candidates[i] = engines.Candidate{
				Endpoint: routing.Endpoint{Domain: string(rune('a' + random.IntN(3)))}, Full: random.IntN(6) == 0,
				Load: inflight.Load{Requests: random.IntN(13), Tokens: random.Int64N(110_000)}, FailureRate: max(0, random.Float64()-0.7),
			}
		}
		tokens, r := random.Int64N(20_000), random.Float64()
		Expect(engines.SelectDecode(candidates, capacity, tokens, "a", r)).To(Equal(selectDecodeByUtilization(candidates, capacity, tokens, "a", r)))
		Expect(engines.SelectPrefill(candidates, tokens, "a")).To(Equal(selectPrefillByTokens(candidates, tokens, "a")))
	}
})

// Guards against requests at an engine that is to get none yet, and against requests that wait because of that.
var _ = It("uses withheld engines only if the others have no room", func() {
	withheld := candidate("a", 0, 0)
	withheld.Withheld = true
	Expect(engines.SelectDecode([]engines.Candidate{withheld, candidate("b", 3, 0)}, capacity, 1000, "a", 0)).To(Equal(1))
	Expect(engines.SelectDecode([]engines.Candidate{withheld, candidate("b", capacity.Slots, 0)}, capacity, 1000, "a", 0)).To(Equal(0))
})
