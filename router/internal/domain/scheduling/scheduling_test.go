package scheduling_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/router/internal/domain/scheduling"
)

const ms = time.Millisecond

var job = scheduling.Job{PromptTokens: 4000, OutputTokens: 200, KVBytes: 100, Domain: "Klang"}

func prefill(name string, backlog time.Duration) *scheduling.Endpoint {
	return &scheduling.Endpoint{Name: name, Domain: "Klang", Healthy: true, Backlog: backlog, PrefillRate: 20_000}
}

func decode(name string, running int) *scheduling.Endpoint {
	return &scheduling.Endpoint{
		Name: name, Domain: "Klang", Healthy: true, Running: running, Slots: 20, TotalBlocks: 64, BlockTokens: 2048,
		LinkRate: 1e9, TokenInterval: 20 * ms,
	}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func best(policy catalogue.PolicyName, prefills, decodes []*scheduling.Endpoint) scheduling.Pair {
	pairs := scheduling.New(policy).Rank(rng(), &job, prefills, decodes)
	Expect(pairs).NotTo(BeEmpty())
	return pairs[0]
}

var _ = Describe("scheduling", func() {
	It("chooses the pair with the least estimated time to first token", func() {
		pair := best(catalogue.PolicyReserve,
			[]*scheduling.Endpoint{prefill("p1", 300*ms), prefill("p2", 100*ms)},
			[]*scheduling.Endpoint{decode("d1", 20), decode("d2", 10)})
		Expect(pair.Prefill.Name).To(Equal("p2"))
		Expect(pair.Decode.Name).To(Equal("d2"))
		Expect(pair.TimeToFirstToken).To(BeNumerically("~", 300*ms, ms))
	})

	It("prefers a cached prefix, within its bound", func() {
		cached := prefill("cached", 100*ms)
		cached.CachedTokens = 4000
		Expect(best(catalogue.PolicyReserve, []*scheduling.Endpoint{prefill("idle", 0), cached}, []*scheduling.Endpoint{decode("d", 0)}).Prefill.Name).To(Equal("cached"))
		long := job
		long.PromptTokens = 40_000
		cached.CachedTokens, cached.Backlog = 40_000, 500*ms
		pairs := scheduling.New(catalogue.PolicyReserve).Rank(rng(), &long, []*scheduling.Endpoint{prefill("idle", 0), cached}, []*scheduling.Endpoint{decode("d", 0)})
		Expect(pairs[0].Prefill.Name).To(Equal("idle"))
	})

	It("prefers its own domain", func() {
		far := decode("far", 0)
		far.Domain = "Ipoh"
		policy := scheduling.New(catalogue.PolicyReserve)
		policy.Picker = scheduling.BestPicker{} // no tie margin, so that the choice is deterministic
		pairs := policy.Rank(rng(), &job, []*scheduling.Endpoint{prefill("p", 0)}, []*scheduling.Endpoint{far, decode("near", 0)})
		Expect(pairs[0].Decode.Name).To(Equal("near"))
	})

	DescribeTable("never uses leaving endpoints, and others only if they fit",
		func(policy catalogue.PolicyName) {
			leaving, small := decode("leaving", 0), decode("small", 0)
			leaving.Leaving, small.TotalBlocks = true, 1
			for range 50 {
				pair := best(policy, []*scheduling.Endpoint{prefill("p", 0)}, []*scheduling.Endpoint{leaving, small, decode("d", 19)})
				Expect(pair.Decode.Name).To(Equal("d"))
			}
			Expect(scheduling.New(policy).Rank(rng(), &job, []*scheduling.Endpoint{prefill("p", 0)}, []*scheduling.Endpoint{leaving})).To(BeEmpty())
		},
		Entry(nil, catalogue.PolicyReserve), Entry(nil, catalogue.PolicyTwoChoices), Entry(nil, catalogue.PolicyRandom),
		Entry(nil, catalogue.PolicyLeastLoaded), Entry(nil, catalogue.PolicyPrefillFirst),
	)

	It("uses an excluded or unhealthy endpoint only if nothing else is left", func() {
		excluded, unhealthy := prefill("excluded", 0), prefill("unhealthy", 0)
		excluded.Excluded, unhealthy.Healthy = true, false
		decodes := []*scheduling.Endpoint{decode("d", 0)}
		Expect(best(catalogue.PolicyReserve, []*scheduling.Endpoint{excluded, unhealthy, prefill("p", time.Second)}, decodes).Prefill.Name).To(Equal("p"))
		Expect(best(catalogue.PolicyReserve, []*scheduling.Endpoint{excluded}, decodes).Prefill.Name).To(Equal("excluded"))
	})

	It("offers pairs with different endpoints first", func() {
		pairs := scheduling.New(catalogue.PolicyReserve).Rank(rng(), &job,
			[]*scheduling.Endpoint{prefill("p1", 0), prefill("p2", 0)}, []*scheduling.Endpoint{decode("d1", 0), decode("d2", 0)})
		Expect(pairs).To(HaveLen(4))
		Expect(pairs[1].Prefill).NotTo(Equal(pairs[0].Prefill))
		Expect(pairs[1].Decode).NotTo(Equal(pairs[0].Decode))
	})

	// Guards against all instances choosing the endpoint with the lowest reported load.
	It("spreads choices between endpoints that late reports cannot tell apart", func() {
		counts := map[string]int{}
		far := decode("d1", 5)
		far.Domain = "Ipoh" // scores worse by the cross-domain penalty, which is within the tie margin
		r := rng()
		for range 800 {
			pairs := scheduling.New(catalogue.PolicyReserve).Rank(r, &job, []*scheduling.Endpoint{prefill("p", 0)},
				[]*scheduling.Endpoint{far, decode("d2", 5), decode("d3", 5), decode("d4", 5)})
			counts[pairs[0].Decode.Name]++
		}
		Expect(counts).To(HaveLen(4))
		for _, n := range counts {
			Expect(n).To(BeNumerically("~", 200, 60))
		}
	})
})
