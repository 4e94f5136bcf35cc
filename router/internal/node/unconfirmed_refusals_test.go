package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/settings"
)

// refusalStatuses are the statuses that imply for callers that their request has not run, but for 421, with which servers do say so.
var refusalStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// onceOnlyRoutes are further routes whose requests may run at most once, and those of streams of plain services.
const onceOnlyRoutes = plainStreamRoutes + `,
 {"name":"submit","host":"h.example","path_prefix":"/submit/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":900,"service":"m","max_attempts":2},
 {"name":"order","host":"h.example","path_prefix":"/order/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"service":"s","max_attempts":3}`

// failureBody is the body of the servers' failures.
const failureBody = "the work is done, the answer is lost"

// onceOnlyPaths are paths of routes whose requests may run at most once, by what serves them.
var onceOnlyPaths = map[string]string{
	"a plain service":                        "/book/x",
	"a plain service, with more attempts":    "/order/x",
	"a stream of a plain service":            "/feed/x",
	"a stream of engines":                    "/brief/x",
	"a request to engines that is no stream": "/submit/x",
}

// failureForms write the body of a failure after its status, or all of it.
var failureForms = map[string]func(w http.ResponseWriter, status int){
	"with a length": writeFailure,
	"without a body": func(w http.ResponseWriter, status int) {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(status)
	},
	"in chunks": func(w http.ResponseWriter, status int) {
		w.WriteHeader(status)
		flush(w)
		_, _ = io.WriteString(w, failureBody)
	},
	"without a length": func(w http.ResponseWriter, status int) {
		w.Header().Set("Transfer-Encoding", "identity")
		writeFailure(w, status)
	},
	"longer than what is buffered": func(w http.ResponseWriter, status int) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
	},
	"as a stream of events": func(w http.ResponseWriter, status int) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "id: 1\ndata: failed\n\n")
	},
	"without the request's id": func(w http.ResponseWriter, status int) {
		w.Header().Del("X-Request-Id")
		writeFailure(w, status)
	},
	"with the time to come back": func(w http.ResponseWriter, status int) {
		w.Header().Set("Retry-After", "0.01")
		writeFailure(w, status)
	},
	"broken off": func(w http.ResponseWriter, status int) {
		w.Header().Set("Content-Length", "1000")
		writeFailure(w, status)
		flush(w)
		panic(http.ErrAbortHandler)
	},
	"without an end": func(w http.ResponseWriter, status int) {
		writeFailure(w, status)
		flush(w)
		time.Sleep(bodyPause)
	},
	"after an interim response that says not run": func(w http.ResponseWriter, status int) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("X-Not-Run")
		writeFailure(w, status)
	},
	"with a trailer that says not run": func(w http.ResponseWriter, status int) {
		w.Header().Set("Trailer", "X-Not-Run")
		writeFailure(w, status)
		w.Header().Set("X-Not-Run", "1")
	},
	"on a connection that is closed": func(w http.ResponseWriter, status int) {
		w.Header().Set("Connection", "close")
		writeFailure(w, status)
	},
}

// bodyPause is how long a server keeps a body open that has no end. It is longer than the timeout of plain routes.
const bodyPause = 3 * time.Second

func writeFailure(w http.ResponseWriter, status int) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, failureBody)
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// isControlOrPrefill reports whether a request to a server is none that it could run.
func isControlOrPrefill(req *http.Request) bool {
	return strings.HasPrefix(req.URL.Path, "/-/") || req.Header.Get("X-Stage") != ""
}

// failAfterRun has the server run its requests and answer with a failure of its own.
func failAfterRun(s *standin.Server, fail func(w http.ResponseWriter)) {
	s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
		if isControlOrPrefill(req) {
			return false
		}
		s.RecordRun(req)
		w.Header().Set("X-Response-Stamp", "stamp-"+s.ID)
		fail(w)
		return true
	})
}

// workers are the servers that run requests.
func (c *testCluster) workers() []*standin.Server {
	return append(append([]*standin.Server{}, c.plain...), c.decode...)
}

// expectNoPromise checks that an answer is a failure of the router that leaves open whether the request has run, which it has once.
func expectNoPromise(cluster *testCluster, a response) {
	GinkgoHelper()
	Expect(a.err).NotTo(HaveOccurred())
	Expect(a.status).To(Equal(http.StatusBadGateway))
	Expect(a.header.Get("X-Response-Stamp")).To(BeEmpty(), "the stamp of a server beside another status than it gave")
	Expect(a.header.Get("Retry-After")).To(BeEmpty())
	Expect(a.body).NotTo(ContainSubstring(failureBody))
	Expect(cluster.runsOf(a.id)).To(Equal(1))
}

// runsOf returns the number of times that the servers have run a request.
func (c *testCluster) runsOf(id string) (n int) {
	for _, run := range c.runs() {
		if run.ID == id {
			n++
		}
	}
	return n
}

var _ = Describe("a status that stands for \"not run\", from a server that doesn't say so", func() {
	var cluster *testCluster
	start := func(change func(*settings.Node)) *router {
		cluster = newTestCluster()
		cluster.configure(onceOnlyRoutes)
		return cluster.startWith("r-1", change)
	}

	for served, path := range onceOnlyPaths {
		for _, status := range refusalStatuses {
			// Guards against a failure of a server that reaches its caller as the promise that the request has not run (review/11).
			It(fmt.Sprintf("promises nothing to the caller of %s: %d", served, status), func() {
				r := start(func(*settings.Node) {})
				for _, s := range cluster.workers() {
					failAfterRun(s, func(w http.ResponseWriter) { writeFailure(w, status) })
				}
				expectNoPromise(cluster, r.stream(path))
			})
		}
	}

	for form, fail := range failureForms {
		// Guards against the promise in other forms of the answer, and against a wait for the end of a body that isn't passed on.
		DescribeTable("promises nothing "+form, func(path string) {
			r := start(func(*settings.Node) {})
			for _, s := range cluster.workers() {
				failAfterRun(s, func(w http.ResponseWriter) { fail(w, http.StatusServiceUnavailable) })
			}
			expectNoPromise(cluster, r.stream(path))
		},
			Entry("for a plain request", "/book/x"),
			Entry("for a stream of engines", "/brief/x"),
		)
	}

	// Guards against the promise after a server that did refuse the request, and for a request whose KV cache was gone.
	DescribeTable("promises nothing after a refusal", func(path string) {
		r := start(func(*settings.Node) {})
		var asked atomic.Int32
		for _, s := range cluster.workers() {
			s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
				switch {
				case isControlOrPrefill(req):
					return false
				case asked.Add(1) == 1:
					standin.Refuse(w)
				default:
					s.RecordRun(req)
					w.Header().Set("X-Response-Stamp", "stamp-"+s.ID)
					writeFailure(w, http.StatusServiceUnavailable)
				}
				return true
			})
		}
		expectNoPromise(cluster, r.stream(path))
	},
		Entry("of a plain server", "/order/x"),
		Entry("of an engine", "/brief/x"),
	)

	// Guards against a request without a prefill that takes another way.
	It("promises nothing if the engine processes the prompt", func() {
		r := start(func(*settings.Node) {})
		cluster.prefill.Intercept(func(w http.ResponseWriter, _ *http.Request) bool { standin.Refuse(w); return true })
		for _, s := range cluster.decode {
			failAfterRun(s, func(w http.ResponseWriter) { writeFailure(w, http.StatusServiceUnavailable) })
		}
		expectNoPromise(cluster, r.stream("/brief/x"))
	})

	// Guards against the promise from a server that answers at once and reads on.
	It("promises nothing before the body has been read", func() {
		r := start(func(*settings.Node) {})
		var ran atomic.Int32
		for _, s := range cluster.plain {
			s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
				writeFailure(w, http.StatusServiceUnavailable)
				flush(w)
				_, _ = io.Copy(io.Discard, req.Body)
				ran.Add(1)
				return true
			})
		}
		a := r.sendWith(context.Background(), http.MethodPost, "/book/x", "key", strings.Repeat("x", 90<<10))
		Expect(a.status).To(Equal(http.StatusBadGateway))
		Eventually(ran.Load, eventuallyTimeout).Should(Equal(int32(1)))
	})

	for _, status := range append([]int{http.StatusInternalServerError, http.StatusGatewayTimeout}, refusalStatuses...) {
		// Guards against changed answers to requests that may run again.
		DescribeTable(fmt.Sprintf("reaches callers of idempotent requests unchanged: %d", status), func(path string) {
			r := start(func(*settings.Node) {})
			for _, s := range cluster.workers() {
				failAfterRun(s, func(w http.ResponseWriter) { writeFailure(w, status) })
			}
			a := r.stream(path)
			Expect(a.status).To(Equal(status))
			Expect(a.header.Get("X-Response-Stamp")).To(HavePrefix("stamp-"))
			Expect(a.body).To(Equal(failureBody))
		},
			Entry("a plain request", "/look/x"),
			Entry("a stream of a plain service", "/tail/x"),
			Entry("a stream of engines", "/digest/x"),
		)
	}

	// Guards against other failures that are replaced although they promise nothing.
	DescribeTable("is the only one that is replaced", func(status int) {
		r := start(func(*settings.Node) {})
		for _, s := range cluster.workers() {
			failAfterRun(s, func(w http.ResponseWriter) { writeFailure(w, status) })
		}
		for _, path := range onceOnlyPaths {
			a := r.stream(path)
			Expect(a.status).To(Equal(status), path)
			Expect(a.header.Get("X-Response-Stamp")).To(HavePrefix("stamp-"), path)
			Expect(a.body).To(Equal(failureBody), path)
		}
	},
		Entry("400", http.StatusBadRequest),
		Entry("409", http.StatusConflict),
		Entry("500", http.StatusInternalServerError),
		Entry("502", http.StatusBadGateway),
		Entry("504", http.StatusGatewayTimeout),
	)

	// Guards against refusals that the servers do confirm and that reach callers as a request that may have run.
	DescribeTable("differs from what servers call not run", func(refuse func(http.ResponseWriter)) {
		r := start(func(*settings.Node) {})
		for _, s := range cluster.workers() {
			s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
				if isControlOrPrefill(req) {
					return false
				}
				refuse(w)
				return true
			})
		}
		for _, path := range onceOnlyPaths {
			a := r.stream(path)
			Expect(a.status).To(Equal(http.StatusServiceUnavailable), path)
			Expect(a.header.Get("X-Response-Stamp")).To(BeEmpty(), path)
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty(), path)
			Expect(cluster.runsOf(a.id)).To(BeZero(), path)
		}
	},
		Entry("503", standin.Refuse),
		Entry("429", refuseWith(http.StatusTooManyRequests)),
		Entry("408", refuseWith(http.StatusRequestTimeout)),
		Entry("400", refuseWith(http.StatusBadRequest)),
		Entry("421", func(w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) }),
	)

	// Guards against a server that goes on getting requests because its failures count as answers.
	DescribeTable("counts as a failure of the server", func(path string, status int) {
		r := start(func(*settings.Node) {})
		failing := cluster.plain[0]
		failAfterRun(failing, func(w http.ResponseWriter) { writeFailure(w, status) })
		serveStream(cluster.plain[1])
		const sent = 40
		for range sent {
			r.stream(path)
		}
		Expect(len(failing.Runs())).To(BeNumerically("<", sent/4))
	},
		Entry("of requests that run once", "/book/x", http.StatusServiceUnavailable),
		Entry("of requests that run once, 408", "/book/x", http.StatusRequestTimeout),
		Entry("of streams that run once", "/feed/x", http.StatusTooManyRequests),
		Entry("of idempotent requests, passed on at once", "/look/x", http.StatusTooManyRequests),
		Entry("of streams that may be resumed", "/tail/x", http.StatusServiceUnavailable),
		Entry("as other failures do, of requests that run once", "/book/x", http.StatusInternalServerError),
		Entry("as other failures do, of streams that run once", "/feed/x", http.StatusBadGateway),
	)

	// Guards against a refund of what a server may have run, and against none for what no server has run.
	DescribeTable("is charged", func(fail func(*standin.Server), rateLimited bool) {
		r := start(func(*settings.Node) {})
		for _, s := range cluster.plain {
			fail(s)
		}
		limited := false
		for range 20 { // 4,000 tokens, where the burst is 1,000
			limited = limited || r.send(context.Background(), http.MethodPost, "/book/x", "small-key").status == http.StatusTooManyRequests
		}
		Expect(limited).To(Equal(rateLimited))
	},
		Entry("if it may have run", func(s *standin.Server) {
			failAfterRun(s, func(w http.ResponseWriter) { writeFailure(w, http.StatusServiceUnavailable) })
		}, true),
		Entry("not if it hasn't", func(s *standin.Server) {
			s.Intercept(func(w http.ResponseWriter, _ *http.Request) bool { standin.Refuse(w); return true })
		}, false),
	)

	// Guards against second sends of requests that may have run, and against idempotent ones beyond the retry budget.
	It("stays within the retry budget", func() {
		const fixedRetries = 5
		r := start(func(s *settings.Node) { s.RetryRatio, s.FixedRetries = 0, fixedRetries })
		for _, s := range cluster.workers() {
			failAfterRun(s, func(w http.ResponseWriter) { writeFailure(w, http.StatusServiceUnavailable) })
		}
		for range 10 {
			Expect(cluster.runsOf(r.stream("/order/x").id)).To(Equal(1))
		}
		repeats := 0
		for range 20 {
			repeats += cluster.runsOf(r.stream("/look/x").id) - 1
		}
		Expect(repeats).To(And(BeNumerically(">", 0), BeNumerically("<=", fixedRetries)))
	})
})

// refuseWith returns a refusal with another status than that of a server that is full.
func refuseWith(status int) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(status)
	}
}
