package node_test

import (
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/settings"
)

// arrivalCounter counts the requests that reach servers, by id: prefills that are served apart from other requests.
type arrivalCounter struct {
	mu              sync.Mutex
	prefills, other map[string]int
}

// countArrivals counts the requests at the servers. The function answers those that are no prefills, and prefills if they are rejected.
func countArrivals(servers []*standin.Server, rejectPrefills bool, answer func(w http.ResponseWriter)) *arrivalCounter {
	c := &arrivalCounter{prefills: map[string]int{}, other: map[string]int{}}
	for _, s := range servers {
		s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
			if strings.HasPrefix(req.URL.Path, "/-/") {
				return false
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			id := req.Header.Get("X-Request-Id")
			if req.Header.Get("X-Stage") == "prefill" && !rejectPrefills {
				c.prefills[id]++
				return false
			}
			c.other[id]++
			answer(w)
			return true
		})
	}
	return c
}

// repeats returns the number of arrivals beyond the first of each request. The first prefill that is served is not counted.
func (c *arrivalCounter) repeats() (total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, counts := range []map[string]int{c.prefills, c.other} {
		for _, n := range counts {
			total += n - 1
		}
	}
	return total
}

// misdirect answers as a server does that has the address of another one.
func misdirect(w http.ResponseWriter) {
	w.Header().Set("X-Instance-Id", "another")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

var _ = Describe("sends beyond the first of a request", func() {
	const fixedRetries = 10
	start := func(cluster *testCluster) *router {
		return cluster.startWith("r-1", func(s *settings.Node) { s.RetryRatio, s.FixedRetries = 0, fixedRetries })
	}

	// Guards against retries that multiply an overload because their prefills are not counted.
	DescribeTable("stay within the retry budget", func(rejectPrefills bool, answer func(http.ResponseWriter)) {
		cluster := newTestCluster()
		r := start(cluster)
		c := countArrivals(append([]*standin.Server{cluster.prefill}, cluster.decode...), rejectPrefills, answer)
		for range 20 {
			r.stream("/brief/x")
		}
		Expect(c.repeats()).To(BeNumerically("<=", fixedRetries))
	},
		Entry("with prefills before them", false, standin.Refuse),
		Entry("after prefills that were rejected", true, standin.Refuse),
		Entry("after prefills at endpoints that others have replaced", true, misdirect),
	)

	// Guards against a second send to an address at which another server answers.
	It("do not go to an endpoint that another one has replaced", func() {
		cluster := newTestCluster()
		r := start(cluster)
		c := countArrivals(append([]*standin.Server{cluster.prefill}, cluster.decode...), false, misdirect)
		r.stream("/brief/x")
		Expect(c.other).To(HaveLen(1))
		for _, n := range c.other {
			Expect(n).To(Equal(len(cluster.decode)))
		}
	})
})
