package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// urgentRoutes adds a route of priority 0 for each service to routes without a priority.
const urgentRoutes = `,
 {"name":"urgent","host":"h.example","path_prefix":"/urgent/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"service":"m","max_attempts":1,"priority":0},
 {"name":"fast","host":"h.example","path_prefix":"/fast/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"s","max_attempts":1,"priority":0}`

// sentPriorities records the priorities of the requests that all servers get, by path.
type sentPriorities struct {
	mu     sync.Mutex
	byPath map[string][]string
}

func recordPriorities(cluster *testCluster) *sentPriorities {
	sent := &sentPriorities{byPath: map[string][]string{}}
	record := func(_ http.ResponseWriter, req *http.Request) bool {
		sent.mu.Lock()
		defer sent.mu.Unlock()
		if req.Header.Get("X-Request-Id") != "" {
			sent.byPath[req.URL.Path] = append(sent.byPath[req.URL.Path], strings.Join(req.Header["X-Request-Priority"], ","))
		}
		return false
	}
	for _, s := range append(append(cluster.plain, cluster.prefill), cluster.decode...) {
		s.Intercept(record)
	}
	return sent
}

// of returns the distinct priorities of the requests for a path.
func (s *sentPriorities) of(path string) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	distinct := map[string]bool{}
	for _, p := range s.byPath[path] {
		distinct[p] = true
	}
	return distinct
}

var _ = Describe("the priority of requests", func() {
	var cluster *testCluster
	var r *router
	look := func(path, key string) {
		a := r.send(context.Background(), http.MethodGet, path, key, "X-Request-Priority", "7")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(http.StatusOK), a.body)
	}
	BeforeEach(func() { cluster = newTestCluster() })

	// Guards against a header that endpoints of a service of equal priorities did not get before.
	It("does not reach endpoints of a service whose requests have the same", func() {
		r = cluster.start("r-1")
		sent := recordPriorities(cluster)
		look("/look/x", "key")
		Expect(r.stream("/brief/x").status).To(Equal(http.StatusOK))
		Expect(sent.of("/look/x")).To(Equal(map[string]bool{"": true}))
		Expect(sent.of("/brief/x")).To(Equal(map[string]bool{"": true}))
	})

	// Guards against engines that admit requests in another order than the router, and against a customer's priority that has no effect.
	It("reaches endpoints otherwise, that of the customer before that of the route", func() {
		cluster.version++
		config := fmt.Sprintf(configurationJSON, cluster.version, urgentRoutes)
		cluster.store.Put("config", "main", strings.Replace(config, `{"name":"small",`, `{"name":"small","priority":9,`, 1))
		r = cluster.start("r-1")
		sent := recordPriorities(cluster)
		look("/look/x", "key")
		look("/fast/x", "key")
		look("/fast/small", "small-key")
		Expect(r.stream("/brief/x").status).To(Equal(http.StatusOK))
		Expect(r.stream("/urgent/x").status).To(Equal(http.StatusOK))
		for path, want := range map[string]string{"/look/x": "5", "/fast/x": "0", "/fast/small": "9", "/brief/x": "5", "/urgent/x": "0"} {
			Expect(sent.of(path)).To(Equal(map[string]bool{want: true}), path)
		}
	})
})
