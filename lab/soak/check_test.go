package soak

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

var origin = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

// healthyRun returns the execution of a system that keeps all guarantees: versions 1, 2 and 3 are acknowledged at 0 s, 20 s and
// 40 s; version 2 moves the route and removes the revocable key. One request is sent at 10 s.
func healthyRun() (*execution, *sentRequest) {
	e := &execution{
		bounds: DefaultBounds(), faults: &timeline{}, runs: map[string][]standin.Run{}, servers: map[string]*serverBoot{}, limited: map[string]serverLimits{},
		versions: []version{
			{number: 1, at: at(0), movedService: counterService, revocableKeyActive: true}, {number: 2, at: at(20), movedService: otherService},
			{number: 3, at: at(40), movedService: otherService},
		},
	}
	for id, service := range map[string]string{"c1": counterService, "c2": counterService, "o1": otherService, "d1": modelService} {
		e.servers[id] = &serverBoot{server: standin.NewServer(id, ""), service: service}
	}
	return e, e.served(unsafeRequest, "book-1", "c1", 10)
}

// served adds a request that one server ran.
func (e *execution) served(k kind, id, server string, seconds float64) *sentRequest {
	s := &sentRequest{id: id, path: "/p/" + id, body: body(id), kind: k, instance: "router-1", boot: 1, began: at(seconds), done: at(seconds + 0.1)}
	s.response = standin.Response{Status: http.StatusOK, Server: server, Body: "answer to " + id}
	e.sent = append(e.sent, s)
	e.ran(s, server, seconds)
	return s
}

func (e *execution) ran(s *sentRequest, server string, seconds float64) {
	e.runs[s.id] = append(e.runs[s.id], standin.Run{
		ID: s.id, Method: http.MethodPost, Target: s.path, Body: body(s.id), Tenant: s.kind.customer(), Header: http.Header{},
		Server: server, Began: at(seconds), Ended: at(seconds + 0.05),
	})
}

func (e *execution) refused(k kind, id string, status int, seconds float64) *sentRequest {
	s := e.served(k, id, "c1", seconds)
	delete(e.runs, id)
	s.response = standin.Response{Status: status}
	return s
}

// evacuated has the domain of server c1 be evacuated for a time.
func (e *execution) evacuated(from, to float64) {
	e.servers["c1"].domain = "north"
	e.evacuations = append(e.evacuations, evacuationPeriod{domain: "north", from: at(from), to: at(to)})
}

// announced has server c1 say from one time on that it leaves, which router-1 passes on at 10 s, and run a request at another time.
func (e *execution) announced(from, ranAt float64) *sentRequest {
	e.servers["c1"].announcedAt = at(from)
	return e.served(safeRequest, "look-late", "c1", ranAt)
}

// limitExceeded has server c1 announce a limit of 2 requests a second, and drop it to 1, and receive 20 requests in 4 s.
func (e *execution) limitExceeded() {
	l := serverLimits{limits: []standin.Limit{{From: at(9), PerSecond: 2}, {From: at(14), PerSecond: 1}, {From: at(30), Ended: true}}}
	for n := range 20 {
		seconds := 16 + 0.2*float64(n)
		s := e.served(unsafeRequest, fmt.Sprint("limit-", n), "c1", seconds)
		l.arrivals = append(l.arrivals, standin.Arrival{At: at(seconds), ID: s.id})
	}
	e.limited["c1"] = l
}

// poisonRequests has five engines crash by 10 s, and requests with the poison part arrive from 14 s on.
func (e *execution) poisonRequests(count int) {
	for n := range 5 {
		e.poison.crashes = append(e.poison.crashes, at(6+float64(n)))
	}
	for n := range count {
		s := e.refused(unsafeStream, fmt.Sprint("poison-", n), http.StatusBadGateway, 14+float64(n))
		s.poison = true
		e.poison.arrivals = append(e.poison.arrivals, standin.Arrival{At: s.began, ID: s.id})
	}
}

// deadlyRequests has a request crash three servers by 8 s, and reach servers the given number of times from 12 s on.
func (e *execution) deadlyRequests(count int) {
	for n := range 3 {
		e.deadly.crashes = append(e.deadly.crashes, at(6+float64(n)))
	}
	for n := range count {
		s := e.refused(unsafeRequest, fmt.Sprint(deadlyIDPrefix, n), http.StatusBadGateway, 12+float64(n))
		s.poison = true
		e.deadly.arrivals = append(e.deadly.arrivals, standin.Arrival{At: s.began, ID: s.id})
	}
}

// soundStreams has 20 streams sent from each of two times on, of which the given numbers begin.
func (e *execution) soundStreams(before, after int) {
	for start, begun := range map[float64]int{1: before, 20: after} {
		for n := range 20 {
			s := e.refused(unsafeStream, fmt.Sprint("sound-", start, n), http.StatusServiceUnavailable, start+0.1*float64(n))
			if n < begun {
				s.response = standin.Response{Status: http.StatusOK, Server: "d1", Body: wholeStream(s.id)}
				e.ran(s, "d1", start+0.1*float64(n))
			}
		}
	}
}

func wholeStream(id string) (body string) {
	for n := range streamEvents {
		body += fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n+1, n+1, id)
	}
	return body
}

func (e *execution) disturbed(scope string, planned bool, from, to float64) {
	e.faults.intervals = append(e.faults.intervals, interval{scope: scope, planned: planned, from: at(from), to: at(to)})
}

var _ = Describe("the checks", func() {
	It("accept a system that keeps its guarantees", func() {
		e, _ := healthyRun()
		e.served(movedRouteRequest, "moved-1", "o1", 30)
		e.served(newestRouteRequest, "newest-1", "c1", 30).version = 2
		e.refused(revocableKeyRequest, "visitor-1", http.StatusUnauthorized, 30)
		e.refused(unknownKeyRequest, "forged-1", http.StatusUnauthorized, 30)
		Expect(e.check()).To(BeEmpty())
	})

	// Guards against checks that detect nothing: each breach must be reported under its own guarantee.
	DescribeTable("find", func(guarantee string, breach func(*execution, *sentRequest)) {
		e, s := healthyRun()
		breach(e, s)
		Expect(e.check()).To(ContainElement(HaveField("Guarantee", guarantee)))
	},
		Entry("an at-most-once request that ran twice", "once", func(e *execution, s *sentRequest) { e.ran(s, "c2", 10.2) }),
		Entry("a changed body", "unchanged", func(e *execution, s *sentRequest) { e.runs[s.id][0].Body = "other" }),
		Entry("a forged key that ran", "keys", func(e *execution, _ *sentRequest) { e.served(unknownKeyRequest, "forged-1", "c1", 11) }),
		Entry("another customer", "keys", func(e *execution, s *sentRequest) { e.runs[s.id][0].Tenant = limitedCustomer }),
		Entry("a key that was passed on", "keys", func(e *execution, s *sentRequest) { e.runs[s.id][0].Header.Set("Authorization", "Bearer k") }),
		Entry("a refusal of what ran", "true refusals", func(_ *execution, s *sentRequest) { s.response = standin.Response{Status: 503} }),
		Entry("the answer to another request", "whole answers", func(_ *execution, s *sentRequest) { s.response.Body = "answer to book-2" }),
		Entry("an answer of a server that did not run it", "own answers", func(_ *execution, s *sentRequest) { s.response.Server = "c2" }),
		Entry("a success of no server", "own answers", func(_ *execution, s *sentRequest) { s.response.Server = "" }),
		Entry("a changed status", "own answers", func(_ *execution, s *sentRequest) { s.response.Status = http.StatusBadGateway }),
		Entry("another failure than the server's", "own answers", func(e *execution, s *sentRequest) {
			e.runs[s.id][0].FailureStatus = http.StatusServiceUnavailable
			s.response.Status = http.StatusInternalServerError
		}),
		Entry("a stream that looks complete", "whole answers", func(e *execution, _ *sentRequest) {
			e.served(unsafeStream, "brief-1", "d1", 11).response.Body = "id: 1\ndata: token 1 of brief-1\n\n"
		}),
		Entry("an event that is missing", "whole answers", func(e *execution, _ *sentRequest) {
			e.served(unsafeStream, "brief-1", "d1", 11).response.Body = "id: 2\ndata: token 2 of brief-1\n\n"
		}),
		Entry("a route of an old version", "configuration", func(e *execution, _ *sentRequest) { e.served(movedRouteRequest, "moved-1", "c1", 30) }),
		Entry("a route of an old version, although the machine was a little late", "configuration", func(e *execution, _ *sentRequest) {
			e.faults.recordStall(at(28), at(28.1))
			e.served(movedRouteRequest, "moved-1", "c1", 30)
		}),
		Entry("a new route that is not there", "configuration", func(e *execution, _ *sentRequest) {
			e.refused(newestRouteRequest, "newest-1", http.StatusNotFound, 30).version = 2
		}),
		Entry("a withdrawn key that is served", "configuration", func(e *execution, _ *sentRequest) { e.served(revocableKeyRequest, "visitor-1", "c1", 30) }),
		Entry("a denied request that all versions allow", "configuration", func(e *execution, _ *sentRequest) {
			e.refused(unsafeRequest, "book-2", http.StatusNotFound, 10)
		}),
		Entry("a step back to an older version", "no older configuration", func(e *execution, _ *sentRequest) {
			e.served(newestRouteRequest, "newest-1", "c1", 20.2).version = 2
			e.refused(newestRouteRequest, "newest-2", http.StatusNotFound, 20.6).version = 2
		}),
		Entry("a leaving server that gets requests", "leaving servers", func(e *execution, _ *sentRequest) { e.servers["c1"].leaving = at(7) }),
		Entry("a server of an evacuated domain that gets requests", "evacuations", func(e *execution, _ *sentRequest) { e.evacuated(7, 12) }),
		Entry("a leaving server that gets requests of an instance that the store has rejected", "leaving servers", func(e *execution, _ *sentRequest) {
			e.servers["c1"].leaving = at(7)
			e.disturbed("router-1", false, 6, 7.5)
			e.faults.intervals[0].rejection = true
		}),
		Entry("a request to a server after its announcement was passed on, while the store is away", "leaving servers", func(e *execution, _ *sentRequest) {
			e.announced(6, 12.5)
			e.disturbed(storeScope, false, 6, 13)
		}),
		Entry("a request that nobody sent", "unasked", func(e *execution, s *sentRequest) { e.runs["x"] = e.runs[s.id] }),
		Entry("two orders to a server", "one order", func(e *execution, _ *sentRequest) {
			engine := standin.NewServer("p1", "prefill")
			e.servers["p1"] = &serverBoot{server: engine}
			engine.Accept(standin.Order{Stage: "decode", Holder: "router-1"})
			Eventually(func() int { return engine.Accept(standin.Order{Stage: "prefill", Holder: "router-2"}) }).Should(Equal(http.StatusAccepted))
		}),
		Entry("a customer above its rate", "rate", func(e *execution, _ *sentRequest) {
			for range 60 {
				e.served(rateLimitedRequest, "limited-"+time.Duration(len(e.sent)).String(), "c1", 11)
			}
		}),
		Entry("a server above its limit", "request limits", func(e *execution, _ *sentRequest) { e.limitExceeded() }),
		Entry("requests that go on crashing engines", "poison prompts", func(e *execution, _ *sentRequest) { e.poisonRequests(4) }),
		Entry("a request that goes on crashing servers", "deadly requests", func(e *execution, _ *sentRequest) { e.deadlyRequests(4) }),
		Entry("sound streams that are refused with those that crash engines", "sound prompts", func(e *execution, _ *sentRequest) {
			e.poisonRequests(0)
			e.soundStreams(20, 9)
		}),
		Entry("work on canceled requests", "callers gone", func(e *execution, _ *sentRequest) {
			for range 5 {
				s := e.served(unsafeStream, "brief-"+time.Duration(len(e.sent)).String(), "d1", 11)
				s.response, s.canceledAt = standin.Response{Err: errors.New("left")}, at(11.01)
				e.runs[s.id][0].Ended = at(14)
			}
		}),
		Entry("a server that stays busy", "callers gone", func(e *execution, _ *sentRequest) { e.stillBusy = []string{"c1"} }),
		Entry("an answer cut in a planned stop", "no cut answers", func(e *execution, s *sentRequest) {
			e.disturbed("router-1", true, 9.9, 12)
			s.response = standin.Response{Err: errors.New("cut")}
		}),
		Entry("a process that ends by itself", "processes", func(e *execution, _ *sentRequest) { e.exits = []processExit{{instance: "router-1"}} }),
		Entry("a planned stop that fails", "processes", func(e *execution, _ *sentRequest) {
			e.exits = []processExit{{instance: "router-1", expected: true, err: errors.New("exit status 1")}}
		}),
		Entry("a planned stop by the signal's default action", "processes", func(e *execution, _ *sentRequest) {
			e.exits = []processExit{{instance: "router-1", expected: true, uptime: time.Second, err: errors.New("signal: terminated")}}
		}),
		Entry("a stop that takes too long", "processes", func(e *execution, _ *sentRequest) { e.lateStops = []string{"router-1"} }),
		Entry("an instance that does not serve again", "recovery", func(e *execution, _ *sentRequest) { e.unrecovered = []string{"router-1 look"} }),
	)

	// Guards against violations that are reported for behavior that the guarantees exclude.
	DescribeTable("accept, because no guarantee covers it,", func(exempt func(*execution, *sentRequest)) {
		e, s := healthyRun()
		exempt(e, s)
		Expect(e.check()).To(BeEmpty())
	},
		Entry("an old route within the time that a version may take", func(e *execution, _ *sentRequest) { e.served(movedRouteRequest, "moved-1", "c1", 21.5) }),
		Entry("a request to a server of an evacuated domain before that must be in force", func(e *execution, _ *sentRequest) { e.evacuated(8.5, 12) }),
		Entry("a request to a server of a domain after its evacuation", func(e *execution, _ *sentRequest) { e.evacuated(5, 9) }),
		Entry("a request to an evacuated domain from an instance that was frozen", func(e *execution, _ *sentRequest) {
			e.evacuated(7, 12)
			e.disturbed("router-1", false, 7, 9)
		}),
		Entry("an old route on an instance that was cut off", func(e *execution, _ *sentRequest) {
			e.disturbed("router-1", false, 19, 28)
			e.served(movedRouteRequest, "moved-1", "c1", 30)
		}),
		Entry("an old route after a stall of the machine", func(e *execution, _ *sentRequest) {
			e.faults.recordStall(at(28), at(28.5))
			e.served(movedRouteRequest, "moved-1", "c1", 30)
		}),
		Entry("an old route while the store is down", func(e *execution, _ *sentRequest) {
			e.disturbed(storeScope, false, 19, 40)
			e.served(movedRouteRequest, "moved-1", "c1", 30)
		}),
		Entry("a request to a server soon after its announcement was passed on", func(e *execution, _ *sentRequest) { e.announced(9, 11.5) }),
		Entry("a request to a server whose announcement was passed on before a freeze", func(e *execution, _ *sentRequest) {
			e.announced(6, 12.5)
			e.disturbed("router-1", false, 11, 12)
		}),
		Entry("a request to a server whose announcement another start passed on", func(e *execution, _ *sentRequest) { e.announced(6, 12.5).boot = 2 }),
		Entry("a request to a leaving server within the drain time", func(e *execution, _ *sentRequest) { e.servers["c1"].leaving = at(9) }),
		Entry("requests of an instance that has restarted since it was notified of a limit", func(e *execution, _ *sentRequest) {
			e.limitExceeded()
			for seconds := 15.0; seconds < 20; seconds += 0.5 {
				e.disturbed("router-1", true, seconds, seconds+0.1)
			}
		}),
		Entry("requests before a limit is binding", func(e *execution, _ *sentRequest) {
			e.limitExceeded()
			e.limited["c1"].limits[0].From = at(15)
			e.limited["c1"] = serverLimits{limits: e.limited["c1"].limits[:1], arrivals: e.limited["c1"].arrivals[:10]}
		}),
		Entry("requests at a limit that allows them", func(e *execution, _ *sentRequest) {
			e.limitExceeded()
			e.limited["c1"].limits[1].PerSecond = 3
		}),
		Entry("a few requests that crash engines after they are known", func(e *execution, _ *sentRequest) { e.poisonRequests(3) }),
		Entry("a few retries of a request that crashes servers", func(e *execution, _ *sentRequest) { e.deadlyRequests(3) }),
		Entry("requests that crash engines, of an instance that has just started", func(e *execution, _ *sentRequest) {
			e.poisonRequests(4)
			e.disturbed("router-1", false, 13, 14)
		}),
		Entry("an answer that a killed instance cut", func(e *execution, s *sentRequest) {
			e.disturbed("router-1", false, 10.05, 12)
			s.response = standin.Response{Err: errors.New("cut")}
		}),
		Entry("a request that crossed the end of its connection", func(e *execution, s *sentRequest) {
			s.response = standin.Response{Err: errors.New("reset")}
			delete(e.runs, s.id)
		}),
		Entry("a second run of what may be repeated", func(e *execution, _ *sentRequest) { e.ran(e.served(safeRequest, "look-1", "c1", 11), "c2", 11.2) }),
		Entry("the end of a process that was stopped before it could take signals", func(e *execution, _ *sentRequest) {
			e.exits = []processExit{{instance: "router-1", expected: true, uptime: 20 * time.Millisecond, err: errors.New("signal: terminated")}}
		}),
		Entry("the end of a killed process", func(e *execution, _ *sentRequest) {
			e.exits = []processExit{{instance: "router-1", expected: true, err: errors.New("signal: killed")}}
		}),
	)
})
