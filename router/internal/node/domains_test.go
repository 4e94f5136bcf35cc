package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/settings"
)

// change replaces a part of the configuration and of its version.
func (c *testCluster) change(old, replacement string) {
	c.version++
	text := fmt.Sprintf(configurationJSON, c.version, "")
	Expect(text).To(ContainSubstring(old))
	c.store.Put("config", "main", strings.Replace(text, old, replacement, 1))
}

var _ = Describe("requests that must stay in a region", func() {
	// Guards against plain requests, prefills and streams that leave the regions of their route or customer.
	DescribeTable("go to no endpoint outside, named by", func(old, replacement string) {
		cluster := newTestCluster()
		cluster.moveTo("klang", "s", cluster.plain[0])
		cluster.moveTo("klang", "m", cluster.decode[0])
		cluster.change(old, replacement)
		r := cluster.startWith("r-1", func(s *settings.Node) {
			s.Regions = map[string]string{"klang": "north", "z": "south"}
		})
		for range 8 {
			Expect(r.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
			Expect(r.stream("/brief/x").status).To(Equal(http.StatusOK))
		}
		Expect(runsAt(cluster.plain[0])).To(Equal(8))
		Expect(runsAt(cluster.decode[0])).To(Equal(8))
		Expect(cluster.runs()).To(HaveLen(16))
		for _, run := range cluster.decode[0].Runs() {
			Expect(run.Cache).To(BeEmpty(), "a prefill elsewhere")
		}
		cluster.store.RemoveServer(cluster.plain[0].ID)
		Eventually(func() int { return r.send(context.Background(), "GET", "/look/x", "key").status }, eventuallyTimeout).
			Should(Equal(http.StatusServiceUnavailable))
	},
		Entry("the customer", `{"name":"t",`, `{"name":"t","allowed_regions":["north"],`),
		Entry("the customer, beside others", `{"name":"t",`, `{"name":"t","allowed_regions":["elsewhere","north"],`),
		Entry("the routes", `"service":"m","max_attempts":1},`, `"service":"m","max_attempts":1,"allowed_regions":["north"]},
 {"name":"near","host":"h.example","path_prefix":"/look/x","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"s","max_attempts":2,"allowed_regions":["north"]},`),
	)
})

var _ = Describe("cold endpoints", func() {
	const coldTime, window, perSecond, allowed = 4 * time.Second, time.Second, 4.0, 4*1.5 + 5

	// Guards against more requests of all instances than a cold server takes, and against a limit that outlasts its time or that holds
	// for a service without one.
	DescribeTable("get from all instances together", func(limit string, limited bool) {
		cluster := newTestCluster()
		cluster.change(`{"name":"s","max_connections":100`, `{"name":"s","max_connections":100`+limit)
		var routers []*router
		for _, name := range []string{"a", "b", "c"} {
			routers = append(routers, cluster.start(name))
		}
		for _, s := range cluster.plain {
			entry := serverEntry(s, "s", cluster.urls[s.ID], "ready")
			cluster.store.Put("servers", s.ID, strings.TrimSuffix(entry, "}")+fmt.Sprintf(`,"cold_remaining_ms":%d}`, coldTime.Milliseconds()))
		}
		time.Sleep(coldTime / 4) // the entries have reached all instances
		began := time.Now()
		loadInstances(routers, 30*time.Millisecond, 2*coldTime, func(r *router) response {
			return r.send(context.Background(), http.MethodGet, "/look/x", "key")
		})
		most, after := 0, 0
		for _, s := range cluster.plain {
			runs := s.Runs()
			for i, first := range runs {
				if first.Began.After(began.Add(coldTime)) {
					after++
					continue
				}
				count := 0
				for _, run := range runs[i:] {
					if run.Began.Sub(first.Began) < window && run.Began.Before(began.Add(coldTime/2)) {
						count++
					}
				}
				most = max(most, count)
			}
		}
		if limited {
			Expect(most).To(And(BeNumerically("<=", allowed), BeNumerically(">=", perSecond/2)))
		} else {
			Expect(most).To(BeNumerically(">", allowed))
		}
		Expect(after).To(BeNumerically(">", coldTime.Seconds()*perSecond*3))
	},
		Entry("at most their limit", fmt.Sprintf(`,"cold_start_s":4,"cold_per_s":%v`, perSecond), true),
		Entry("all requests if the limit is 0", `,"cold_start_s":4,"cold_per_s":0`, false),
		Entry("all requests if there is no limit", ``, false),
	)
})

// powerOff ends servers without notice, as a loss of power does. The function that it returns starts them again.
func (c *testCluster) powerOff(servers ...*standin.Server) (powerOn func()) {
	for _, s := range servers {
		h := c.listeners[s.ID]
		Expect(h.Listener.Close()).To(Succeed())
		h.CloseClientConnections()
	}
	return func() {
		for _, s := range servers {
			l, err := net.Listen("tcp", strings.TrimPrefix(c.urls[s.ID], "http://"))
			Expect(err).NotTo(HaveOccurred())
			h := httptest.NewUnstartedServer(s)
			h.Listener = l
			h.Start()
			DeferCleanup(func() {
				h.CloseClientConnections()
				h.Close()
			})
		}
	}
}

var _ = Describe("the loss of a domain", func() {
	// Guards against requests that fail because all endpoints of a domain are lost at once, and with them an instance that the others know.
	It("sends requests elsewhere, also while its endpoints come back", func() {
		cluster := newTestCluster()
		lost := []*standin.Server{cluster.plain[0], cluster.decode[0], cluster.prefill}
		cluster.moveTo("klang", "s", cluster.plain[0])
		cluster.moveTo("klang", "m", cluster.decode[0], cluster.prefill)
		r := cluster.startWith("r-1", func(s *settings.Node) { s.Domain = "klang" })
		other := cluster.startWith("r-2", func(s *settings.Node) { s.Domain = "klang" })
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() {
			defer GinkgoRecover()
			for ctx.Err() == nil {
				Expect(r.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
				a := r.stream("/digest/x")
				Expect(a.body).To(Equal(completeStreamBody(a.id)))
				time.Sleep(5 * time.Millisecond)
			}
		})
		time.Sleep(500 * time.Millisecond)
		before := runsAt(cluster.plain[1], cluster.decode[1])
		powerOn := cluster.powerOff(lost...)
		other.cut()
		time.Sleep(1500 * time.Millisecond)
		Expect(runsAt(cluster.plain[1], cluster.decode[1])).To(BeNumerically(">", before))
		powerOn()
		time.Sleep(time.Second)
		cancel()
		group.Wait()
	})
})
