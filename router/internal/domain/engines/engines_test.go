package engines_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/inflight"
)

func TestEngines(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engines")
}

var capacity = engines.Capacity{Slots: 12, Tokens: 100_000}

func candidate(domain string, requests int, tokens int64) engines.Candidate {
	return engines.Candidate{Endpoint: routing.Endpoint{Domain: domain}, Load: inflight.Load{Requests: requests, Tokens: tokens}}
}

// Guards against requests that are refused or preempted at one engine while others have room.
var _ = DescribeTable("a decode engine", func(tokens int64, best int, candidates ...engines.Candidate) {
	Expect(engines.SelectDecode(candidates, capacity, tokens, "a", 0)).To(Equal(best))
},
	Entry("the least used", int64(1000), 1, candidate("a", 6, 50_000), candidate("a", 3, 40_000), candidate("a", 9, 20_000)),
	Entry("memory counts like slots", int64(1000), 0, candidate("a", 6, 20_000), candidate("a", 2, 80_000)),
	Entry("the local domain on a tie", int64(1000), 1, candidate("b", 3, 0), candidate("a", 3, 0)),
	Entry("another domain that is much less used", int64(1000), 0, candidate("b", 3, 0), candidate("a", 6, 0)),
	Entry("none with a free slot", int64(1000), -1, candidate("a", 12, 0)),
	Entry("none with free memory", int64(20_001), -1, candidate("a", 4, 80_000)),
	Entry("memory to the last token", int64(20_000), 0, candidate("a", 4, 80_000)),
	Entry("a request larger than an engine goes to an empty one", int64(200_000), 1, candidate("a", 1, 10), candidate("a", 0, 0)),
	Entry("one that refused recently is skipped", int64(1000), -1, engines.Candidate{Full: true}),
	Entry("one that fails often is avoided", int64(1000), 1,
		engines.Candidate{Endpoint: routing.Endpoint{Domain: "a"}, FailureRate: 0.5}, candidate("a", 9, 0)),
	Entry("no candidates", int64(1000), -1),
)

// Guards against prompts that queue behind long ones while another engine idles.
var _ = DescribeTable("a prefill engine", func(best int, candidates ...engines.Candidate) {
	Expect(engines.SelectPrefill(candidates, 5000, "a")).To(Equal(best))
},
	Entry("the fewest queued tokens, not the fewest requests", 1, candidate("a", 1, 11_000), candidate("a", 3, 6_000)),
	Entry("the domain of the decode engine on a tie", 1, candidate("b", 1, 5000), candidate("a", 1, 5000)),
	Entry("another domain rather than a queue", 0, candidate("b", 0, 0), candidate("a", 1, 5000)),
	Entry("one that fails often is avoided", 1,
		engines.Candidate{Endpoint: routing.Endpoint{Domain: "a"}, FailureRate: 0.5}, candidate("a", 1, 4000)),
	Entry("no candidates", -1),
)

// Guards against instances with equally stale load data that all select the same engine and exceed its memory.
var _ = It("spreads requests over equally utilized engines", func() {
	candidates := []engines.Candidate{candidate("a", 2, 20_000), candidate("a", 2, 22_000), candidate("a", 2, 24_000), candidate("a", 6, 60_000)}
	chosen := map[int]int{}
	for i := range 30 {
		chosen[engines.SelectDecode(candidates, capacity, 5000, "a", float64(i)/30)]++
	}
	Expect(chosen).To(Equal(map[int]int{0: 10, 1: 10, 2: 10}))
})

// Guards against requests that become late in the queues of the last prefill engines while decode engines have room, and against
// decode engines whose streams stall because of too many or too long prefills.
var _ = DescribeTable("a decode engine prefills a prompt", func(want bool, change func(*engines.PrefillEstimate)) {
	r := engines.PrefillEstimate{
		TimeLeft: 800 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, PrefillTime: 100 * time.Millisecond, QueuedPrefillTime: 700 * time.Millisecond,
		DecodeLoad: inflight.Load{Requests: 8},
	}
	change(&r)
	Expect(engines.PrefillOnDecode(r)).To(Equal(want))
},
	Entry("where the prefill engines would be late", true, func(*engines.PrefillEstimate) {}),
	Entry("not where they are soon done", false, func(r *engines.PrefillEstimate) { r.QueuedPrefillTime = 300 * time.Millisecond }),
	Entry("not where it would be late, too", false, func(r *engines.PrefillEstimate) { r.TimeLeft = 150 * time.Millisecond }),
	Entry("not beside another prompt", false, func(r *engines.PrefillEstimate) { r.DecodeLoad.LocalPrefills = 1 }),
	Entry("not if its streams would stall for too long", false, func(r *engines.PrefillEstimate) { r.PrefillTime = 140 * time.Millisecond }),
	Entry("of any length if it has no other streams", true, func(r *engines.PrefillEstimate) {
		r.PrefillTime, r.DecodeLoad.Requests = 140*time.Millisecond, 1
	}),
)
