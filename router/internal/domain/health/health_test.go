package health_test

import (
	"fmt"
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

func newTracker(instances int) *health.Tracker {
	return health.NewTracker(func() int { return instances })
}

var _ = Describe("the health of endpoints", func() {
	all := []string{"a", "b", "c"}

	It("ejects an endpoint after failures in a row, for a while", func() {
		t := newTracker(1)
		t.RecordFailure("a", false, 0)
		t.RecordFailure("a", false, 0)
		Expect(health.UsableEndpoints(t, all, id, 0)).To(Equal(all))
		Expect(t.RecordFailure("a", false, 0)).To(BeTrue())
		Expect(health.UsableEndpoints(t, all, id, 0)).To(Equal([]string{"b", "c"}))
		Expect(health.UsableEndpoints(t, all, id, time.Second)).To(Equal(all))
	})

	It("ejects an endpoint that cannot be reached at once, and longer each time", func() {
		t := newTracker(1)
		t.RecordFailure("a", true, 0)
		Expect(health.UsableEndpoints(t, all, id, 600*time.Millisecond)).To(Equal(all))
		t.RecordFailure("a", true, time.Second)
		Expect(health.UsableEndpoints(t, all, id, 1600*time.Millisecond)).To(Equal([]string{"b", "c"}))
	})

	// Guards against a fault of the whole fleet that leaves a service without endpoints.
	It("never ejects more than half", func() {
		t := newTracker(1)
		t.RecordFailure("a", true, 0)
		t.RecordFailure("b", true, 0)
		Expect(health.UsableEndpoints(t, all, id, 0)).To(Equal(all))
	})

	// Guards against ejecting an endpoint for requests that take longer than their route allows while it answers all
	// others (incident inc-7394).
	It("ejects an endpoint for a request without an answer only if it answers nothing else", func() {
		t := newTracker(1)
		t.RecordSuccess("a", 2*time.Second)
		Expect(t.RecordTimeout("a", time.Second, 3*time.Second)).To(BeFalse())
		Expect(health.UsableEndpoints(t, all, id, 3*time.Second)).To(Equal(all))
		Expect(t.RecordTimeout("a", 2500*time.Millisecond, 4*time.Second)).To(BeTrue())
		Expect(health.UsableEndpoints(t, all, id, 4*time.Second)).To(Equal([]string{"b", "c"}))
		Expect(t.RecordTimeout("b", time.Second, 4*time.Second)).To(BeTrue(), "it has never answered")
	})

	// Guards against requests that go to endpoints at whose addresses others answer because more than half of the list is outdated.
	It("returns no endpoint that another one has replaced, also if these are more than half", func() {
		t := newTracker(1)
		Expect(t.RecordReplaced("a", 0)).To(BeTrue())
		t.RecordReplaced("b", 0)
		Expect(health.UsableEndpoints(t, all, id, 0)).To(Equal([]string{"c"}))
		t.RecordFailure("c", true, 0)
		Expect(health.UsableEndpoints(t, all, id, 0)).To(Equal([]string{"c"}), "the only one that may be there")
		Expect(health.UsableEndpoints(t, all, id, time.Second)).To(Equal(all))
		t.RecordReplaced("a", 2*time.Second)
		t.RecordReplaced("b", 2*time.Second)
		t.RecordReplaced("c", 2*time.Second)
		Expect(health.UsableEndpoints(t, all, id, 2*time.Second)).To(Equal(all))
	})

	It("drops the records of endpoints that are no longer listed", func() {
		t := newTracker(1)
		t.RecordFailure("a", true, 0)
		t.RetainListed(1, func(string) bool { return false })
		Expect(t.FailureRate("a", 0)).To(BeZero())
	})

	It("reports the recent failure rate, which decays with successes", func() {
		t := newTracker(1)
		Expect(t.FailureRate("a", 0)).To(BeZero())
		for range 20 {
			t.RecordFailure("a", false, 0)
		}
		Expect(t.FailureRate("a", 0)).To(BeNumerically(">", 0.8))
		for range 60 {
			t.RecordSuccess("a", 0)
		}
		Expect(t.FailureRate("a", 0)).To(BeNumerically("<", 0.02))
	})
})

var _ = Describe("the outcomes of other instances", func() {
	// report applies reports of the given number of instances, each of which had the given number of failures in ten
	// requests.
	report := func(t *health.Tracker, instances, failures int) {
		for i := range instances {
			other := newTracker(1)
			for n := range 10 {
				if n < failures {
					other.RecordFailure("a", false, 0)
				} else {
					other.RecordSuccess("a", 0)
				}
			}
			t.ApplyReport(fmt.Sprint("i", i), other.LocalReport(0), 0)
		}
	}

	// Guards against losing requests at every instance of a fleet to an endpoint that others have reported as failing
	// (incident inc-d1de: 49 bookings lost at two endpoints in 4 s).
	It("count before this instance has lost a request", func() {
		t := newTracker(8)
		t.RecordSuccess("a", 0)
		report(t, 7, 5)
		Expect(t.FailureRate("a", 0)).To(BeNumerically("~", 0.5, 0.02))
		Expect(t.FailureRate("b", 0)).To(BeZero())
	})

	// Guards against a single instance that cannot reach an endpoint and causes all others to avoid it.
	It("hardly count if a single instance fails", func() {
		t := newTracker(8)
		for range 10 {
			t.RecordSuccess("a", 0)
		}
		report(t, 1, 10)
		Expect(t.FailureRate("a", 0)).To(BeNumerically("<", 0.15))
	})

	// Guards against sums that still include replaced reports of an instance.
	It("count once, even if they are reported repeatedly", func() {
		t, once := newTracker(8), newTracker(8)
		for at := range 20 {
			now := time.Duration(at) * 100 * time.Millisecond
			t.ApplyReport("i1", map[string]health.Outcomes{"a": {Failed: 5, Total: 10}}, now)
		}
		once.ApplyReport("i1", map[string]health.Outcomes{"a": {Failed: 5, Total: 10}}, 1900*time.Millisecond)
		Expect(t.FailureRate("a", 2*time.Second)).To(BeNumerically("~", once.FailureRate("a", 2*time.Second), 1e-9))
		t.ApplyReport("i1", nil, 2*time.Second)
		Expect(t.FailureRate("a", 2*time.Second)).To(BeZero())
	})

	It("decay with time, and are dropped when the instance reports none", func() {
		t := newTracker(8)
		report(t, 7, 5)
		Expect(t.FailureRate("a", 30*time.Second)).To(BeZero())
		report(t, 7, 0)
		Expect(t.FailureRate("a", 0)).To(BeZero())
	})

	usable := func(t *health.Tracker, now time.Duration) []string {
		return health.UsableEndpoints(t, []string{"a", "b", "c", "d"}, func(id string) string { return id }, now)
	}
	// unreachable returns the report of an instance that could not reach the endpoints at one second.
	unreachable := func(endpoints ...string) map[string]health.Outcomes {
		other := newTracker(1)
		for _, id := range endpoints {
			other.RecordFailure(id, true, time.Second)
		}
		Expect(other.ReportPending()).To(BeTrue())
		return other.LocalReport(time.Second)
	}

	// Guards against every instance of a fleet having to detect by itself that an engine is down (grown deegrol scale-1: 28
	// engines, 3,905 reservations refused or unanswered).
	It("keep requests from an endpoint that another instance could not reach, until it answers or is no longer reported", func() {
		t := newTracker(8)
		t.RecordSuccess("a", 500*time.Millisecond)
		t.ApplyReport("i1", unreachable("a"), time.Second)
		t.ApplyReport("i1", unreachable("a"), 1100*time.Millisecond)
		Expect(usable(t, 1200*time.Millisecond)).To(Equal([]string{"b", "c", "d"}))
		Expect(t.ReportExcluding("i2", 1200*time.Millisecond)["a"].Unreachable).To(Equal(1))
		Expect(t.ReportExcluding("i1", 1200*time.Millisecond)["a"].Unreachable).To(BeZero())
		t.RecordSuccess("a", 1300*time.Millisecond)
		Expect(usable(t, 1400*time.Millisecond)).To(HaveLen(4))
		t.ApplyReport("i1", nil, 1500*time.Millisecond)
		t.ApplyReport("i2", unreachable("b"), 1600*time.Millisecond)
		Expect(usable(t, 1700*time.Millisecond)).To(Equal([]string{"a", "c", "d"}))
		t.ApplyReport("i2", nil, 1800*time.Millisecond)
		Expect(usable(t, 1900*time.Millisecond)).To(HaveLen(4))
	})

	// Guards against an instance that is cut off from the endpoints and causes all others to avoid them.
	It("are ignored as to reachability if the reporting instance reaches few endpoints", func() {
		t := newTracker(8)
		all := func(string) bool { return true }
		t.RetainListed(10, all)
		t.ApplyReport("i1", unreachable("a", "b", "c", "d"), time.Second)
		Expect(usable(t, 1100*time.Millisecond)).To(HaveLen(4))
		t.RetainListed(100, all)
		t.ApplyReport("i1", unreachable("a", "b"), 2*time.Second)
		Expect(usable(t, 2100*time.Millisecond)).To(HaveLen(2))
	})

	// Guards against taking a report that aggregates all instances, and that shows a fault of many endpoints, for a
	// fault of its sender.
	It("count from an aggregate report, whatever their number", func() {
		t := newTracker(8)
		t.ApplyReport("", map[string]health.Outcomes{
			"a": {Failed: 9, Total: 9, Reporters: 4, Unreachable: 2}, "b": {Failed: 9, Total: 9, Reporters: 4, Unreachable: 1},
		}, time.Second)
		Expect(usable(t, 1100*time.Millisecond)).To(Equal([]string{"c", "d"}))
	})
})
