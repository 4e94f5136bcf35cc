package node_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/settings"
)

var _ = Describe("endpoint notices", func() {
	// respondWith makes a server answer all requests with a status and headers, and returns the request count.
	respondWith := func(s *standin.Server, status int, header ...string) *atomic.Int64 {
		var requestCount atomic.Int64
		s.Intercept(func(w http.ResponseWriter, r *http.Request) bool {
			requestCount.Add(1)
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Response-Stamp", "stamp")
			if status == http.StatusServiceUnavailable {
				w.Header().Set("X-Not-Run", "1")
			}
			for i := 0; i < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(status)
			return true
		})
		return &requestCount
	}

	// Guards against requests to a server that announced its leave, from the instance that got the notice and from its peers.
	It("sends no new requests of any instance to a server that is leaving", func() {
		cluster := newTestCluster()
		a, b := cluster.start("a"), cluster.start("b")
		asked := respondWith(cluster.plain[0], http.StatusOK, "Server-Leaving", "1")
		for asked.Load() == 0 {
			Expect(a.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
		}
		Eventually(func() int64 {
			before := asked.Load()
			for range 6 {
				b.send(context.Background(), "GET", "/look/x", "key")
			}
			return asked.Load() - before
		}, eventuallyTimeout).Should(BeZero())
		before := asked.Load()
		for range 10 {
			Expect(a.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
			Expect(b.send(context.Background(), "GET", "/look/x", "key").header.Get("Server-Leaving")).To(BeEmpty())
		}
		Expect(asked.Load()).To(Equal(before))
	})

	// Guards against requests to servers during a pause that they asked for, and against callers whose Retry-After ends before the
	// pause does.
	It("sends no requests to servers during a pause that they asked for", func() {
		cluster := newTestCluster()
		a := cluster.start("a")
		first := respondWith(cluster.plain[0], http.StatusServiceUnavailable, "Retry-After", "1000")
		second := respondWith(cluster.plain[1], http.StatusServiceUnavailable, "Retry-After", "500")
		for range 20 {
			refused := a.send(context.Background(), "GET", "/look/x", "key")
			Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
			Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(first.Load() + second.Load()).To(BeNumerically("<=", 2))
	})

	// Guards against a request to an engine that has been leaving for long, because its slot was acquired before and the prefill took
	// its time to fail (DRAIN on a day of deegrol-coop).
	It("sends no request to an engine that has left while the prompt was processed", func() {
		cluster := newTestCluster()
		a := cluster.startWith("a", func(s *settings.Node) { s.DrainPropagationLimit = 500 * time.Millisecond })
		leaving := make(chan *standin.Server, 1)
		var once sync.Once
		cluster.prefill.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
			once.Do(func() {
				for _, s := range cluster.decode {
					if s.OpenLeases() > 0 {
						cluster.announceLeaving(s, "m")
						leaving <- s
					}
				}
			})
			_, _ = io.Copy(io.Discard, r.Body) // the end of the connection shows only after the body
			select {
			case <-r.Context().Done(): // the prefill has timed out
			case <-time.After(eventuallyTimeout):
			}
			return true
		})
		answer := a.stream("/digest/x")
		Expect(answer.status).To(Equal(http.StatusOK))
		Expect((<-leaving).Runs()).To(BeEmpty())
	})

	// Guards against sending reservations and prompts to engines during a pause that they asked for.
	It("runs requests on other engines while the prefill engine pauses", func() {
		cluster := newTestCluster()
		a := cluster.start("a")
		asked := respondWith(cluster.prefill, http.StatusServiceUnavailable, "Retry-After", "600")
		for range 8 {
			Expect(a.stream("/brief/x").status).To(Equal(http.StatusOK))
		}
		Expect(asked.Load()).To(BeNumerically("<=", 1))
	})
})

// Guards against an instance that stays unregistered, or ignores new configurations, after the store was restored from an older
// copy.
var _ = It("follows a store that comes back from a copy", func() {
	cluster := newTestCluster()
	empty := cluster.store.Snapshot()
	a := cluster.start("a")
	cluster.configure("")
	newest := cluster.version
	Expect(a.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
	cluster.store.Restore(empty)
	Eventually(func() bool { return cluster.store.Has("tanagerwood-instances", "a") }, eventuallyTimeout).Should(BeTrue())
	Expect(a.Ready()).To(BeTrue())
	cluster.version = newest
	cluster.configure(`,{"name":"new","host":"h.example","path_prefix":"/new/","kind":"safe","timeout_ms":2000,"service":"s","max_attempts":2}`)
	Eventually(func() int { return a.send(context.Background(), "GET", "/new/x", "key").status }, eventuallyTimeout).Should(Equal(http.StatusOK))
})
