package node_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

var _ = Describe("a refusal that a server sends once more on a kept connection", func() {
	var cluster *testCluster
	var r *router
	BeforeEach(func() {
		cluster = newTestCluster()
		r = cluster.start("r-1")
	})

	// expectTrueRefusals sends requests and checks that each runs at most once, and not at all if its refusal says so.
	expectTrueRefusals := func(send func() response) {
		GinkgoHelper()
		for range 40 {
			a := send()
			runs := 0
			for _, run := range cluster.runs() {
				if run.ID == a.id {
					runs++
				}
			}
			Expect(runs).To(BeNumerically("<=", 1), "request %s", a.id)
			if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
				Expect(runs).To(BeZero(), "request %s was refused with %d", a.id, a.status)
			}
		}
	}
	half := func() func() float64 {
		n := 0
		return func() float64 { n++; return float64(n % 2) }
	}

	// Guards against callers that are told that a request has not run although a server runs it, and against a second run.
	It("is not taken for the response to another request of a plain service", func() {
		for _, s := range cluster.plain {
			s.InjectFault(standin.RepeatedRefusals, 0.5, half())
		}
		expectTrueRefusals(func() response { return r.send(context.Background(), http.MethodPost, "/book/a", "key") })
	})

	It("is not taken for the response to another stream", func() {
		for _, s := range cluster.decode {
			s.InjectFault(standin.RepeatedRefusals, 0.5, half())
		}
		expectTrueRefusals(func() response { return r.stream("/brief/x") })
	})
})
