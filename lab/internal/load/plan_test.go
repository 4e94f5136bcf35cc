package load_test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/lab/internal/load"
)

var lengths = load.LengthDistribution{Median: 200, Sigma: 1, Min: 20, Max: 4000}

func testScenario(seed uint64) load.Scenario {
	return load.Scenario{
		Name: "test", Seed: seed, DurationMS: 20_000,
		Mixes: []load.Mix{
			{Customer: "a", Key: "key-a", Model: "m", RateMultiple: 1, Prompt: lengths, Output: lengths, Prefixes: 2, PrefixPortion: 0.5},
			{Customer: "b", Key: "key-b", Model: "m", RateMultiple: 2, Prompt: lengths, Output: lengths,
				Services: []load.ServiceCall{{Method: "POST", Path: "/slots", PerSecond: 5, ExecuteOnce: true, RepeatPortion: 0.5}}},
		},
	}
}

func testCatalogue() *load.CatalogueIndex {
	return load.NewCatalogueIndex(catalogue.Catalogue{
		Customers: []catalogue.Customer{
			{Name: "a", RateTokens: 10_000, BurstTokens: 20_000},
			{Name: "b", RateTokens: 10_000, BurstTokens: 20_000},
		},
		Models:  []catalogue.Model{{Name: "m", Class: "c", BytesPerToken: 4}},
		Classes: []catalogue.Class{{Name: "c", FirstTokenMS: 1000, TokenIntervalMS: 50}},
	})
}

var _ = Describe("Plan", func() {
	It("repeats the same arrivals and prompts for the same seed, and others for another seed", func() {
		one, err := load.Plan(testScenario(1), testCatalogue())
		Expect(err).NotTo(HaveOccurred())
		again, err := load.Plan(testScenario(1), testCatalogue())
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(one))
		other, err := load.Plan(testScenario(2), testCatalogue())
		Expect(err).NotTo(HaveOccurred())
		Expect(other).NotTo(Equal(one))
		Expect(testScenario(1).Prompt(one[0], 4)).To(Equal(testScenario(1).Prompt(one[0], 4)))
	})

	It("does not change one customer's arrivals when another customer's mix changes", func() {
		changed := testScenario(1)
		changed.Mixes[1].RateMultiple = 9
		before, _ := load.Plan(testScenario(1), testCatalogue())
		after, _ := load.Plan(changed, testCatalogue())
		Expect(ofMix(after, 0)).To(Equal(ofMix(before, 0)))
	})

	It("offers the requested multiple of the rate", func() {
		s := testScenario(3)
		s.DurationMS = 600_000
		plan, err := load.Plan(s, testCatalogue())
		Expect(err).NotTo(HaveOccurred())
		tokens := int64(0)
		for _, a := range ofMix(plan, 1) {
			tokens += a.PromptTokens + a.OutputTokens
		}
		Expect(float64(tokens) / 600).To(BeNumerically("~", 20_000, 1_500))
	})

	It("starts prompts of one prefix with the same text and gives them the planned length", func() {
		s := testScenario(1)
		a := load.Arrival{Service: -1, PromptTokens: 100, Prefix: 1}
		b := load.Arrival{Service: -1, PromptTokens: 200, Prefix: 1, Seq: 1}
		first, second := s.Prompt(a, 4), s.Prompt(b, 4)
		Expect(first).To(HaveLen(400))
		Expect(second[:200]).To(Equal(first[:200]))
		Expect(second[:400]).NotTo(Equal(first))
	})
})

func ofMix(plan []load.Arrival, mix int) []load.Arrival {
	var own []load.Arrival
	for _, a := range plan {
		if a.Mix == mix && a.Service < 0 {
			own = append(own, a)
		}
	}
	return own
}

var _ = Describe("TokenBucket", func() {
	It("admits the burst at once and then the rate, and charges nothing for a refused request", func() {
		b := load.NewTokenBucket(100, 500, 0)
		Expect(b.Take(0, 500)).To(BeTrue())
		Expect(b.Take(time.Second, 101)).To(BeFalse())
		Expect(b.Take(time.Second, 100)).To(BeTrue())
		Expect(b.Take(time.Minute, 501)).To(BeFalse(), "the level never exceeds the burst")
		Expect(b.Take(time.Minute, 500)).To(BeTrue())
	})
})

var _ = It("starts with no more tokens than initially empty shares can have gathered", func() {
	Expect(load.NewTokenBucket(100, 500, 2*time.Second).Take(0, 201)).To(BeFalse())
	Expect(load.NewTokenBucket(100, 500, time.Minute).Take(0, 501)).To(BeFalse())
})

var _ = Describe("AdmittedByIdealBucket", func() {
	It("replays all arrivals except those that the load generator did not send", func() {
		request := func(at time.Duration, charge int64, code string) load.Record {
			return load.Record{Arrival: load.Arrival{At: at, Service: -1}, Charge: charge, Code: code}
		}
		records := []load.Record{request(0, 15_000, load.CodeNotSent), request(1, 15_000, "rate_limited"), request(2, 9_000, ""), request(3, 5_000, "")}
		Expect(load.AdmittedByIdealBucket(testScenario(1), testCatalogue(), records)).To(Equal([]bool{false, true, false, true}))
	})
})

var _ = Describe("MaxExcessTokens", func() {
	span := func(from, to time.Duration, tokens int64) load.AdmissionInterval {
		return load.AdmissionInterval{From: from, To: to, Tokens: tokens}
	}

	It("returns the largest excess of any window", func() {
		spans := []load.AdmissionInterval{span(0, 0, 500), span(time.Second, time.Second, 100), span(2*time.Second, 2*time.Second, 150)}
		Expect(load.MaxExcessTokens(spans, 100, 500)).To(Equal(50.0))
		Expect(load.MaxExcessTokens(spans[:2], 100, 500)).To(Equal(0.0))
	})

	It("ignores a request that may have been admitted outside of the window", func() {
		late := []load.AdmissionInterval{span(0, 0, 500), span(0, 2*time.Second, 200)}
		Expect(load.MaxExcessTokens(late, 100, 500)).To(Equal(0.0))
	})
})

var _ = Describe("FairShares", func() {
	It("divides unused capacity among the other customers by weight", func() {
		demands := []load.Demand{{Weight: 1, Amount: 10}, {Weight: 1, Amount: 100}, {Weight: 2, Amount: 100}}
		Expect(load.FairShares(100, demands)).To(Equal([]float64{10, 30, 60}))
		Expect(load.FairShares(0, demands)).To(Equal([]float64{10, 100, 100}))
	})
})

var _ = Describe("MergeLatencies", func() {
	It("keeps the percentiles of all values together", func() {
		low, high := load.NewHistogram(), load.NewHistogram()
		for range 60 {
			Expect(low.RecordValue(1_000)).To(Succeed())
		}
		for range 40 {
			Expect(high.RecordValue(100_000)).To(Succeed())
		}
		one, err := load.Summarize(low)
		Expect(err).NotTo(HaveOccurred())
		two, err := load.Summarize(high)
		Expect(err).NotTo(HaveOccurred())
		all, err := load.MergeLatencies([]load.Latency{one, two, {}})
		Expect(err).NotTo(HaveOccurred())
		Expect(all.Count).To(Equal(int64(100)))
		Expect(all.P50MS).To(BeNumerically("~", 1, 0.01))
		Expect(all.P95MS).To(BeNumerically("~", 100, 0.1))
	})
})

var _ = DescribeTable("CheckLoopback refuses targets outside of this machine",
	func(target string, ok bool) { Expect(load.CheckLoopback(target) == nil).To(Equal(ok)) },
	Entry("IPv4", "http://127.0.0.1:80", true),
	Entry("IPv6", "http://[::1]:80", true),
	Entry("a name, which may resolve to anything", "http://localhost:80", false),
	Entry("another machine", "http://192.0.2.1:80", false),
	Entry("any address", "http://0.0.0.0:80", false),
	Entry("user part that looks like loopback", "http://127.0.0.1:80@192.0.2.1/", false),
	Entry("another scheme", "ftp://127.0.0.1", false),
)

// FuzzParseScenario guards against scenarios that pass validation and then panic or run without limits.
func FuzzParseScenario(f *testing.F) {
	valid, _ := json.Marshal(testScenario(1))
	f.Add(valid)
	f.Add([]byte(`{"durationMs":1000,"mixes":[{"customer":"a","rateMultiple":1e308,"prompt":{"min":1,"max":1}}]}`))
	f.Add([]byte(`{"durationMs":-1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := load.ParseScenario(raw)
		if err == nil && (s.Duration() <= 0 || s.Duration() > load.MaxDuration || len(s.Mixes) == 0) {
			t.Fatalf("accepted without bounds: %s", raw)
		}
	})
}
