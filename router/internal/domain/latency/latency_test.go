package latency_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/domain/latency"
)

func TestLatency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "latency estimator")
}

const ms = time.Millisecond

var _ = Describe("the latency estimator", func() {
	// Guards against time limits that suit only one kind of engine.
	It("follows slow and fast engines, separately for each service", func() {
		p := latency.New()
		for range 200 {
			p.RecordPrefill("slow", 4000, 800*ms)
			p.RecordDecodeStart("slow", 400*ms)
			p.RecordPrefill("fast", 4000, 40*ms)
			p.RecordDecodeStart("fast", 10*ms)
		}
		Expect(p.FirstEventLatency("slow", 2000)).To(BeNumerically("~", 800*ms, 20*ms))
		Expect(p.FirstEventLatency("fast", 2000)).To(BeNumerically("~", 30*ms, 20*ms))
		Expect(p.FirstEventLatency("unknown", 2500)).To(Equal(250 * ms))
	})

	// Guards against a limit that half of the requests exceed.
	It("covers most requests where times vary", func() {
		p := latency.New()
		for range 100 {
			p.RecordDecodeStart("m", 100*ms)
			p.RecordDecodeStart("m", 300*ms)
		}
		Expect(p.FirstEventLatency("m", 0)).To(BeNumerically(">", 270*ms))
	})

	// Guards against samples from a suspended process, from a clock that stands still, and of prompts without a length.
	It("ignores invalid samples", func() {
		p := latency.New()
		for range 50 {
			p.RecordPrefill("m", 0, time.Second)
			p.RecordPrefill("m", -5, time.Second)
			p.RecordPrefill("m", 100, -time.Second)
			p.RecordDecodeStart("m", 0)
			p.RecordHold("m", time.Hour)
		}
		Expect(p.FirstEventLatency("m", 2500)).To(Equal(250 * ms))
		Expect(p.MeanHoldTime("m")).To(BeZero())
		Expect(p.InvalidSamples()).To(Equal(int64(250)))
	})

	It("estimates how long slots are held after a few requests", func() {
		p := latency.New()
		p.RecordHold("m", 2*time.Second)
		p.RecordHold("m", 4*time.Second)
		Expect(p.MeanHoldTime("m")).To(BeZero())
		p.RecordHold("m", 3*time.Second)
		Expect(p.MeanHoldTime("m")).To(BeNumerically("~", 3*time.Second, ms))
	})
})
