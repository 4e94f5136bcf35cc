package latency_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/domain/latency"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pace of engines")
}

const ms = time.Millisecond

var _ = Describe("the pace of engines", func() {
	// Guards against limits that fit one kind of engine only.
	It("follows slow and fast engines, each service by itself", func() {
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

	// Guards against a process that was suspended, a clock that stands still, and prompts without a size.
	It("ignores what cannot be a measurement", func() {
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

	It("knows how long places are held after a few requests", func() {
		p := latency.New()
		p.RecordHold("m", 2*time.Second)
		p.RecordHold("m", 4*time.Second)
		Expect(p.MeanHoldTime("m")).To(BeZero())
		p.RecordHold("m", 3*time.Second)
		Expect(p.MeanHoldTime("m")).To(BeNumerically("~", 3*time.Second, ms))
	})
})
