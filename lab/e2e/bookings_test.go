package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("calls that may not be repeated", func() {
	It("runs a booking once when all instances get it at the same time", func() {
		s := start(3)
		ctx, cancel := withTimeout()
		defer cancel()
		for i := range 10 {
			name := fmt.Sprint("slot-", i)
			answers := make([]answer, 6)
			var wait sync.WaitGroup
			for n := range answers {
				wait.Go(func() { answers[n] = book(ctx, s.routers[n%3].url, key, name, name) })
			}
			wait.Wait()
			Expect(s.runs(name)).To(Equal(1))
			for _, a := range answers {
				// The work has run or is running, so no answer may deny it.
				Expect(a.outcome).NotTo(Equal("not_run"), a.String())
			}
			Expect(book(ctx, s.routers[0].url, key, name, name).status).To(Equal(http.StatusCreated))
			Expect(s.runs(name)).To(Equal(1))
		}
	})

	It("does not run a booking again whose router was killed after sending it", func() {
		s := start(3)
		ctx, cancel := withTimeout()
		defer cancel()
		for _, p := range s.services {
			s.faults(p, map[string]any{"slow_ms": 2000})
		}
		lost := after(func() { Expect(book(ctx, s.routers[0].url, key, "killed", "killed").err).To(HaveOccurred()) })
		Eventually(func() bool { return s.sent("killed") }).WithTimeout(patience).WithPolling(10 * time.Millisecond).Should(BeTrue())
		s.routers[0].kill()
		Eventually(lost, patience).Should(BeClosed())
		for _, r := range s.routers[1:] {
			a := book(ctx, r.url, key, "killed", "killed")
			Expect(a.status).To(Equal(http.StatusConflict), a.String())
			Expect(a.outcome).To(Equal("unknown"), a.String())
		}
		Expect(s.runs("killed")).To(BeNumerically("<=", 1))
	})

	It("tells the truth about bookings during a platform outage", func() {
		s := start(3)
		ctx, cancel := withTimeout()
		defer cancel()
		Expect(book(ctx, s.routers[0].url, key, "before", "before").status).To(Equal(http.StatusCreated))
		s.faults(s.platform, map[string]any{"outage": true})
		a := book(ctx, s.routers[1].url, key, "before", "before")
		Expect(a.outcome).NotTo(Equal("not_run"), "the booking has run through another instance: "+a.String())
		a = book(ctx, s.routers[1].url, key, "during", "during")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.String())
		Expect(a.outcome).To(Equal("not_run"), a.String())
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(s.runs("during")).To(BeZero())
		// Model requests need no write to the platform.
		expectWhole(complete(ctx, s.routers[2].url, key, prompt("outage"), 5, nil), prompt("outage"), 5)
		s.faults(s.platform, map[string]any{"outage": false})
		Eventually(func() int { return book(ctx, s.routers[1].url, key, "during", "during").status }).
			WithTimeout(patience).WithPolling(100 * time.Millisecond).Should(Equal(http.StatusCreated))
		Expect(s.runs("during")).To(Equal(1))
		Expect(s.runs("before")).To(Equal(1))
	})

	It("runs a booking once although the reply to its claim is lost", func() {
		s := start(2)
		ctx, cancel := withTimeout()
		defer cancel()
		s.faults(s.platform, map[string]any{"loseReplies": 1, "loseKind": "claim"})
		first := book(ctx, s.routers[0].url, key, "lost-reply", "lost-reply")
		again := book(ctx, s.routers[1].url, key, "lost-reply", "lost-reply")
		Expect(first.status).To(Equal(http.StatusCreated), first.String())
		Expect(again.status).To(Equal(http.StatusCreated), again.String())
		Expect(s.runs("lost-reply")).To(Equal(1))
	})
})

// sent reports whether a service has begun a call for the booking.
func (s *system) sent(booking string) bool {
	for _, r := range s.routers {
		if r.cmd == nil {
			continue
		}
		for _, e := range s.events(r) {
			if e.Kind == "service.sent" {
				return true
			}
		}
	}
	return false
}
