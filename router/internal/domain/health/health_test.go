package health_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/domain/health"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

func id(s string) string { return s }

var _ = Describe("the health of endpoints", func() {
	all := []string{"a", "b", "c"}

	It("ejects an endpoint after failures in a row, for a while", func() {
		t := health.NewTracker()
		t.Failed("a", false, 0)
		t.Failed("a", false, 0)
		Expect(health.Usable(t, all, id, 0)).To(Equal(all))
		Expect(t.Failed("a", false, 0)).To(BeTrue())
		Expect(health.Usable(t, all, id, 0)).To(Equal([]string{"b", "c"}))
		Expect(health.Usable(t, all, id, time.Second)).To(Equal(all))
	})

	It("ejects an endpoint that cannot be reached at once, and longer each time", func() {
		t := health.NewTracker()
		t.Failed("a", true, 0)
		Expect(health.Usable(t, all, id, 600*time.Millisecond)).To(Equal(all))
		t.Failed("a", true, time.Second)
		Expect(health.Usable(t, all, id, 1600*time.Millisecond)).To(Equal([]string{"b", "c"}))
	})

	// Guards against a fault of the whole fleet that empties a service.
	It("never ejects more than half", func() {
		t := health.NewTracker()
		t.Failed("a", true, 0)
		t.Failed("b", true, 0)
		Expect(health.Usable(t, all, id, 0)).To(Equal(all))
	})

	// Guards against requests that take longer than their route allows and eject endpoints that answer all others (found in
	// incident inc-7394).
	It("ejects an endpoint for a request without an answer only if it answers nothing else", func() {
		t := health.NewTracker()
		t.Succeeded("a", 2*time.Second)
		Expect(t.Unanswered("a", time.Second, 3*time.Second)).To(BeFalse())
		Expect(health.Usable(t, all, id, 3*time.Second)).To(Equal(all))
		Expect(t.Unanswered("a", 2500*time.Millisecond, 4*time.Second)).To(BeTrue())
		Expect(health.Usable(t, all, id, 4*time.Second)).To(Equal([]string{"b", "c"}))
		Expect(t.Unanswered("b", time.Second, 4*time.Second)).To(BeTrue(), "it has never answered")
	})

	It("forgets endpoints that are not listed any more", func() {
		t := health.NewTracker()
		t.Failed("a", true, 0)
		t.Forget(func(string) bool { return false })
		Expect(t.FailureRate("a")).To(BeZero())
	})

	It("tells the recent failure rate and forgets it with successes", func() {
		t := health.NewTracker()
		Expect(t.FailureRate("a")).To(BeZero())
		for range 20 {
			t.Failed("a", false, 0)
		}
		Expect(t.FailureRate("a")).To(BeNumerically(">", 0.8))
		for range 60 {
			t.Succeeded("a", 0)
		}
		Expect(t.FailureRate("a")).To(BeNumerically("<", 0.02))
	})
})
