package servicepath_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/lab/standin/service"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// startHandler lists a server with the handler as an endpoint of the pool.
func (env *testEnv) startHandler(name string, h http.Handler) *httptest.Server {
	web := httptest.NewServer(h)
	DeferCleanup(web.Close)
	env.endpoints = append(env.endpoints, port.Endpoint{Name: name, Pool: "kaunter", URL: web.URL})
	return web
}

var _ = Describe("a status that stands for \"not run\", from a service that has run the call", func() {
	ctx := context.Background()

	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest} {
		// Guards against a failure that reaches the caller of a booking as the promise that it has not run, also from its claim.
		It("has an unknown outcome for calls that run at most once: "+http.StatusText(status), func() {
			env := newTestEnv()
			a, b := env.startInstance("a"), env.startInstance("b")
			s, _ := env.startService("s1")
			s.SetFaults(service.Faults{FailStatus: status})
			for _, i := range []*instance{a, b, a} {
				_, err := i.book(ctx, "k", "b1")
				Expect(err).To(failWith(fault.EndpointFailed, openai.Unknown))
				Expect(fault.As(err).RetryAfter).To(BeZero())
			}
			Expect(s.RunCount("b1")).To(Equal(1))
			Expect(env.chargedTokens).To(Equal(int64(5)))
		})
	}

	// Guards against other failures, or answers to repeatable calls, that are replaced.
	It("is the only one that is replaced, and not for repeatable calls", func() {
		env := newTestEnv()
		a := env.startInstance("a")
		s, _ := env.startService("s1")
		for _, status := range []int{http.StatusConflict, http.StatusInternalServerError, http.StatusGatewayTimeout} {
			s.SetFaults(service.Faults{FailStatus: status})
			resp, err := a.book(ctx, http.StatusText(status), "b1")
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Status).To(Equal(status))
		}
		s.SetFaults(service.Faults{FailStatus: http.StatusServiceUnavailable})
		resp, err := a.call(ctx, true, http.MethodGet, "/balance", "", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against a service that goes on getting calls because its failures count as answers.
	It("has the endpoint tried last", func() {
		env := newTestEnv()
		a := env.startInstance("a")
		failing, _ := env.startService("s1")
		env.startService("s2")
		failing.SetFaults(service.Faults{FailStatus: http.StatusServiceUnavailable})
		for n := range 20 {
			_, _ = a.book(ctx, strings.Repeat("k", n+1), "b1")
		}
		Expect(failing.RunCount("b1")).To(BeNumerically("<=", 1))
	})

	// Guards against not_run, and a refund, for a repeatable call that an endpoint has run before all were unreachable.
	It("leaves the outcome of a repeatable call unknown if no further attempt arrives", func() {
		env := newTestEnv()
		a := env.startInstance("a")
		var web *httptest.Server
		web = env.startHandler("s1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = web.Listener.Close()
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		_, err := a.call(ctx, true, http.MethodGet, "/balance", "", "")
		Expect(err).To(failWith(fault.EndpointFailed, openai.Unknown))
		Expect(env.chargedTokens).To(Equal(int64(5)))
	})

	// Guards against a service that speaks in the router's name about the outcome of a call.
	It("is not stated by a header of the service", func() {
		env := newTestEnv()
		a := env.startInstance("a")
		env.startHandler("s1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(openai.OutcomeHeader, string(openai.NotRun))
			w.WriteHeader(http.StatusInternalServerError)
		}))
		resp, err := a.book(ctx, "k", "b1")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Header.Get(openai.OutcomeHeader)).To(BeEmpty())
	})
})
