package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("calls that must not be executed twice", func() {
	It("executes a booking once when all instances receive it at the same time", func() {
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
			Expect(s.executions(name)).To(Equal(1))
			for _, a := range answers {
				// The booking was executed or is being executed, so no answer may have the outcome not_run.
				Expect(a.outcome).NotTo(Equal("not_run"), a.String())
			}
			Expect(book(ctx, s.routers[0].url, key, name, name).status).To(Equal(http.StatusCreated))
			Expect(s.executions(name)).To(Equal(1))
		}
	})

	It("does not execute a booking again after the router that sent it was killed", func() {
		s := start(3)
		ctx, cancel := withTimeout()
		defer cancel()
		for _, p := range s.services {
			s.faults(p, map[string]any{"slow_ms": 2000})
		}
		lost := runInBackground(func() { Expect(book(ctx, s.routers[0].url, key, "killed", "killed").err).To(HaveOccurred()) })
		Eventually(func() bool { return s.callSent("killed") }).WithTimeout(eventTimeout).WithPolling(10 * time.Millisecond).Should(BeTrue())
		s.routers[0].kill()
		Eventually(lost, eventTimeout).Should(BeClosed())
		for _, r := range s.routers[1:] {
			a := book(ctx, r.url, key, "killed", "killed")
			Expect(a.status).To(Equal(http.StatusConflict), a.String())
			Expect(a.outcome).To(Equal("unknown"), a.String())
		}
		Expect(s.executions("killed")).To(BeNumerically("<=", 1))
	})

	It("reports the outcome of bookings correctly during a platform outage", func() {
		s := start(3)
		ctx, cancel := withTimeout()
		defer cancel()
		Expect(book(ctx, s.routers[0].url, key, "before", "before").status).To(Equal(http.StatusCreated))
		s.faults(s.platform, map[string]any{"outage": true})
		a := book(ctx, s.routers[1].url, key, "before", "before")
		Expect(a.outcome).NotTo(Equal("not_run"), "the booking was executed through another instance: "+a.String())
		a = book(ctx, s.routers[1].url, key, "during", "during")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.String())
		Expect(a.outcome).To(Equal("not_run"), a.String())
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(s.executions("during")).To(BeZero())
		// Model requests do not need to write to the platform.
		expectCompleteAnswer(complete(ctx, s.routers[2].url, key, prompt("outage"), 5, nil), prompt("outage"), 5)
		s.faults(s.platform, map[string]any{"outage": false})
		Eventually(func() int { return book(ctx, s.routers[1].url, key, "during", "during").status }).
			WithTimeout(eventTimeout).WithPolling(100 * time.Millisecond).Should(Equal(http.StatusCreated))
		Expect(s.executions("during")).To(Equal(1))
		Expect(s.executions("before")).To(Equal(1))
	})

	It("executes a booking once although the reply to its claim is lost", func() {
		s := start(2)
		ctx, cancel := withTimeout()
		defer cancel()
		s.faults(s.platform, map[string]any{"loseReplies": 1, "loseKind": "claim"})
		first := book(ctx, s.routers[0].url, key, "lost-reply", "lost-reply")
		again := book(ctx, s.routers[1].url, key, "lost-reply", "lost-reply")
		Expect(first.status).To(Equal(http.StatusCreated), first.String())
		Expect(again.status).To(Equal(http.StatusCreated), again.String())
		Expect(s.executions("lost-reply")).To(Equal(1))
	})
})

// callSent reports whether a running router has sent a service call. The booking is not compared with the events.
func (s *system) callSent(booking string) bool {
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
