package soak

import (
	"errors"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

var origin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

// healthyRun returns evidence of a system that keeps all promises: versions 1, 2 and 3 acknowledged at 0 s, 20 s and 40 s, of
// which 2 moves the route and takes the visitor's key, and one request at 10 s.
func healthyRun() (*evidence, *sent) {
	e := &evidence{
		bounds: DefaultBounds(), faults: &timeline{}, runs: map[string][]standin.Run{}, servers: map[string]*serverBoot{},
		versions: []version{
			{number: 1, at: at(0), moved: counterService, visitor: true}, {number: 2, at: at(20), moved: otherService},
			{number: 3, at: at(40), moved: otherService},
		},
	}
	for id, service := range map[string]string{"c1": counterService, "c2": counterService, "o1": otherService, "d1": modelService} {
		e.servers[id] = &serverBoot{server: standin.NewServer(id, ""), service: service}
	}
	return e, e.served(book, "book-1", "c1", 10)
}

// served adds a request that one server ran.
func (e *evidence) served(k kind, id, server string, seconds float64) *sent {
	s := &sent{id: id, path: "/p/" + id, kind: k, instance: "router-1", boot: 1, began: at(seconds), done: at(seconds + 0.1)}
	s.answer = standin.Response{Status: http.StatusOK, Server: server, Body: "answer to " + id}
	e.sent = append(e.sent, s)
	e.ran(s, server, seconds)
	return s
}

func (e *evidence) ran(s *sent, server string, seconds float64) {
	e.runs[s.id] = append(e.runs[s.id], standin.Run{
		ID: s.id, Method: http.MethodPost, Target: s.path, Body: body(s.id), Tenant: s.kind.customer(), Header: http.Header{},
		Server: server, Began: at(seconds), Ended: at(seconds + 0.05),
	})
}

func (e *evidence) refused(k kind, id string, status int, seconds float64) *sent {
	s := e.served(k, id, "c1", seconds)
	delete(e.runs, id)
	s.answer = standin.Response{Status: status}
	return s
}

func (e *evidence) disturbed(scope string, planned bool, from, to float64) {
	e.faults.intervals = append(e.faults.intervals, interval{scope: scope, planned: planned, from: at(from), to: at(to)})
}

var _ = Describe("the checks", func() {
	It("accept a system that keeps its promises", func() {
		e, _ := healthyRun()
		e.served(moved, "moved-1", "o1", 30)
		e.served(newest, "newest-1", "c1", 30).version = 2
		e.refused(visitor, "visitor-1", http.StatusUnauthorized, 30)
		e.refused(forged, "forged-1", http.StatusUnauthorized, 30)
		Expect(e.check()).To(BeEmpty())
	})

	// Guards against checks that see nothing: each breach has to be found, under its own promise.
	DescribeTable("find", func(guarantee string, breach func(*evidence, *sent)) {
		e, s := healthyRun()
		breach(e, s)
		Expect(e.check()).To(ContainElement(HaveField("Guarantee", guarantee)))
	},
		Entry("a booking that ran twice", "once", func(e *evidence, s *sent) { e.ran(s, "c2", 10.2) }),
		Entry("a changed body", "unchanged", func(e *evidence, s *sent) { e.runs[s.id][0].Body = "other" }),
		Entry("a forged key that ran", "keys", func(e *evidence, _ *sent) { e.served(forged, "forged-1", "c1", 11) }),
		Entry("another customer", "keys", func(e *evidence, s *sent) { e.runs[s.id][0].Tenant = limitedName }),
		Entry("a key that was passed on", "keys", func(e *evidence, s *sent) { e.runs[s.id][0].Header.Set("Authorization", "Bearer k") }),
		Entry("a refusal of what ran", "true refusals", func(_ *evidence, s *sent) { s.answer = standin.Response{Status: 503} }),
		Entry("the answer to another request", "whole answers", func(_ *evidence, s *sent) { s.answer.Body = "answer to book-2" }),
		Entry("an answer of a server that did not run it", "own answers", func(_ *evidence, s *sent) { s.answer.Server = "c2" }),
		Entry("a success of no server", "own answers", func(_ *evidence, s *sent) { s.answer.Server = "" }),
		Entry("a changed status", "own answers", func(_ *evidence, s *sent) { s.answer.Status = http.StatusBadGateway }),
		Entry("a stream that looks complete", "whole answers", func(e *evidence, _ *sent) {
			e.served(brief, "brief-1", "d1", 11).answer.Body = "id: 1\ndata: token 1 of brief-1\n\n"
		}),
		Entry("an event that is missing", "whole answers", func(e *evidence, _ *sent) {
			e.served(brief, "brief-1", "d1", 11).answer.Body = "id: 2\ndata: token 2 of brief-1\n\n"
		}),
		Entry("a route of an old version", "configuration", func(e *evidence, _ *sent) { e.served(moved, "moved-1", "c1", 30) }),
		Entry("a route of an old version, although the machine was a little late", "configuration", func(e *evidence, _ *sent) {
			e.faults.noteStall(at(28), at(28.1))
			e.served(moved, "moved-1", "c1", 30)
		}),
		Entry("a new route that is not there", "configuration", func(e *evidence, _ *sent) {
			e.refused(newest, "newest-1", http.StatusNotFound, 30).version = 2
		}),
		Entry("a withdrawn key that is served", "configuration", func(e *evidence, _ *sent) { e.served(visitor, "visitor-1", "c1", 30) }),
		Entry("a denied request that all versions allow", "configuration", func(e *evidence, _ *sent) {
			e.refused(book, "book-2", http.StatusNotFound, 10)
		}),
		Entry("a step back to an older version", "no older configuration", func(e *evidence, _ *sent) {
			e.served(newest, "newest-1", "c1", 20.2).version = 2
			e.refused(newest, "newest-2", http.StatusNotFound, 20.6).version = 2
		}),
		Entry("a leaving server that gets requests", "leaving servers", func(e *evidence, _ *sent) { e.servers["c1"].leaving = at(7) }),
		Entry("a request that nobody sent", "unasked", func(e *evidence, s *sent) { e.runs["x"] = e.runs[s.id] }),
		Entry("two orders to a server", "one order", func(e *evidence, _ *sent) {
			engine := standin.NewServer("p1", "prefill")
			e.servers["p1"] = &serverBoot{server: engine}
			engine.Accept(standin.Order{Stage: "decode", Holder: "router-1"})
			Eventually(func() int { return engine.Accept(standin.Order{Stage: "prefill", Holder: "router-2"}) }).Should(Equal(http.StatusAccepted))
		}),
		Entry("a customer above its rate", "rate", func(e *evidence, _ *sent) {
			for range 60 {
				e.served(limited, "limited-"+time.Duration(len(e.sent)).String(), "c1", 11)
			}
		}),
		Entry("work for callers gone", "callers gone", func(e *evidence, _ *sent) {
			for range 5 {
				s := e.served(brief, "brief-"+time.Duration(len(e.sent)).String(), "d1", 11)
				s.answer, s.left = standin.Response{Err: errors.New("left")}, at(11.01)
				e.runs[s.id][0].Ended = at(14)
			}
		}),
		Entry("a server that stays at work", "callers gone", func(e *evidence, _ *sent) { e.atWork = []string{"c1"} }),
		Entry("an answer cut in a planned stop", "no cut answers", func(e *evidence, s *sent) {
			e.disturbed("router-1", true, 9.9, 12)
			s.answer = standin.Response{Err: errors.New("cut")}
		}),
		Entry("a process that ends by itself", "processes", func(e *evidence, _ *sent) { e.ends = []end{{instance: "router-1"}} }),
		Entry("a planned stop that fails", "processes", func(e *evidence, _ *sent) {
			e.ends = []end{{instance: "router-1", wanted: true, err: errors.New("exit status 1")}}
		}),
		Entry("a planned stop by the signal's default action", "processes", func(e *evidence, _ *sent) {
			e.ends = []end{{instance: "router-1", wanted: true, ran: time.Second, err: errors.New("signal: terminated")}}
		}),
		Entry("a stop that takes too long", "processes", func(e *evidence, _ *sent) { e.lateStops = []string{"router-1"} }),
		Entry("an instance that does not serve again", "recovery", func(e *evidence, _ *sent) { e.unrecovered = []string{"router-1 look"} }),
	)

	// Guards against verdicts on what the promises except.
	DescribeTable("accept, as it is not promised,", func(exempt func(*evidence, *sent)) {
		e, s := healthyRun()
		exempt(e, s)
		Expect(e.check()).To(BeEmpty())
	},
		Entry("an old route within the time that a version may take", func(e *evidence, _ *sent) { e.served(moved, "moved-1", "c1", 21.5) }),
		Entry("an old route on an instance that was cut off", func(e *evidence, _ *sent) {
			e.disturbed("router-1", false, 19, 28)
			e.served(moved, "moved-1", "c1", 30)
		}),
		Entry("an old route after a stall of the machine", func(e *evidence, _ *sent) {
			e.faults.noteStall(at(28), at(28.5))
			e.served(moved, "moved-1", "c1", 30)
		}),
		Entry("an old route while the store is down", func(e *evidence, _ *sent) {
			e.disturbed(storeScope, false, 19, 40)
			e.served(moved, "moved-1", "c1", 30)
		}),
		Entry("a request to a leaving server within the drain time", func(e *evidence, _ *sent) { e.servers["c1"].leaving = at(9) }),
		Entry("an answer that a killed instance cut", func(e *evidence, s *sent) {
			e.disturbed("router-1", false, 10.05, 12)
			s.answer = standin.Response{Err: errors.New("cut")}
		}),
		Entry("a request that crossed the end of its connection", func(e *evidence, s *sent) {
			s.answer = standin.Response{Err: errors.New("reset")}
			delete(e.runs, s.id)
		}),
		Entry("a second run of what may be repeated", func(e *evidence, _ *sent) { e.ran(e.served(look, "look-1", "c1", 11), "c2", 11.2) }),
		Entry("the end of a process that was stopped before it could take signals", func(e *evidence, _ *sent) {
			e.ends = []end{{instance: "router-1", wanted: true, ran: 20 * time.Millisecond, err: errors.New("signal: terminated")}}
		}),
		Entry("the end of a killed process", func(e *evidence, _ *sent) {
			e.ends = []end{{instance: "router-1", wanted: true, err: errors.New("signal: killed")}}
		}),
	)
})
