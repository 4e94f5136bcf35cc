package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/domain/retrybudget"
)

func TestRetryBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry budget")
}

var bounds = retrybudget.Settings{Ratio: 0.2, FixedRetries: 56, Window: 10 * time.Second}

func retries(b *retrybudget.Budget, now time.Duration) int {
	n := 0
	for b.TryRetry("s", now) {
		n++
	}
	return n
}

var _ = Describe("the retry budget", func() {
	// Guards against instances that each use the whole fixed allowance.
	It("shares the fixed allowance among the instances", func() {
		b := retrybudget.New(bounds, func() int { return 7 })
		Expect(7 * retries(b, time.Minute)).To(BeNumerically("<=", 56))
		Expect(retries(b, time.Minute+5*time.Second)).To(BeZero())
	})

	// Guards against a panic on the request path with a window that is too short to be divided into steps.
	It("accepts a window of no length", func() {
		b := retrybudget.New(retrybudget.Settings{Ratio: 1}, func() int { return 1 })
		b.RecordRequest("s", time.Minute)
		Expect(b.TryRetry("s", time.Hour)).To(BeFalse())
	})

	It("grows with the requests and drops those outside the window", func() {
		b := retrybudget.New(bounds, func() int { return 1 })
		for range 100 {
			b.RecordRequest("s", time.Minute)
		}
		Expect(retries(b, time.Minute)).To(BeNumerically("~", 60, 20))
		Expect(retries(b, time.Minute+11*time.Second)).To(BeNumerically("~", 44, 12))
	})

	// Guards against retries of one service that use the allowance from the requests of another.
	It("keeps the budgets of services separate", func() {
		b := retrybudget.New(retrybudget.Settings{Ratio: 0.2, Window: 10 * time.Second}, func() int { return 1 })
		for range 100 {
			b.RecordRequest("other", time.Minute)
		}
		Expect(retries(b, time.Minute)).To(BeZero())
	})

	It("applies new settings", func() {
		b := retrybudget.New(bounds, func() int { return 1 })
		b.UpdateSettings(retrybudget.Settings{Window: 10 * time.Second})
		Expect(retries(b, time.Minute)).To(BeZero())
	})
})
