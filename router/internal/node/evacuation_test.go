package node_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/settings"
)

// evacuationLimit is the time within which an evacuation must be in force.
const evacuationLimit = 5 * time.Second

// shortPrefill is shorter than the timeout of a prefill, and long enough to hear of an evacuation.
const shortPrefill = 200 * time.Millisecond

// withEvacuations has an instance read evacuations. It is in the evacuated domain, whose endpoints it prefers otherwise.
func withEvacuations(s *settings.Node) { s.EvacuationLimit, s.Domain = evacuationLimit, "klang" }

// moveTo has servers listed in a failure domain.
func (c *testCluster) moveTo(domain, service string, servers ...*standin.Server) {
	for _, s := range servers {
		entry := serverEntry(s, service, c.urls[s.ID], "ready")
		c.store.Put("servers", s.ID, strings.Replace(entry, `"zone":"z"`, fmt.Sprintf(`"zone":%q`, domain), 1))
	}
}

// runsAt returns the number of runs at servers.
func runsAt(servers ...*standin.Server) (count int) {
	for _, s := range servers {
		count += len(s.Runs())
	}
	return count
}

// expectUnused sends requests of all kinds and expects that none reaches the servers.
func (r *router) expectUnused(servers ...*standin.Server) {
	before := runsAt(servers...)
	for range 12 {
		Expect(r.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
		Expect(r.stream("/digest/x").status).To(Equal(http.StatusOK))
	}
	Expect(runsAt(servers...)).To(Equal(before))
}

var _ = Describe("the evacuation of a domain", func() {
	var cluster *testCluster
	var evacuated, rest []*standin.Server

	BeforeEach(func() {
		cluster = newTestCluster()
		evacuated, rest = []*standin.Server{cluster.plain[0], cluster.decode[0]}, []*standin.Server{cluster.plain[1], cluster.decode[1]}
		cluster.moveTo("klang", "s", cluster.plain[0])
		cluster.moveTo("klang", "m", cluster.decode[0])
	})

	// Guards against requests to an evacuated domain: the base version reads no evacuations.
	It("keeps requests out of the domain until it ends, and again when it is repeated", func() {
		r := cluster.startWith("r-1", withEvacuations)
		for range 2 {
			cluster.store.Evacuate("klang")
			time.Sleep(evacuationLimit / 2)
			r.expectUnused(evacuated...)
			cluster.store.EndEvacuation("klang")
			Eventually(func() int {
				r.send(context.Background(), "GET", "/look/x", "key")
				r.stream("/digest/x")
				return min(runsAt(evacuated[0]), runsAt(evacuated[1]))
			}, evacuationLimit).Should(BeNumerically(">", 0))
		}
	})

	// Guards against an evacuation that is read although the settings do not name it.
	It("has no effect and costs no calls without the setting", func() {
		r := cluster.start("r-1")
		cluster.store.Evacuate("klang")
		time.Sleep(evacuationLimit / 10)
		Expect(r.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
		Expect(cluster.store.CallsOf("evacuations")).To(BeZero())
	})

	// Guards against requests that wait out their time for endpoints that must not be used, or that are refused without a Retry-After.
	It("has requests refused at once if it leaves a service without endpoints", func() {
		r := cluster.startWith("r-1", withEvacuations)
		cluster.store.Evacuate("klang")
		cluster.store.Evacuate("z")
		time.Sleep(evacuationLimit / 10)
		began := time.Now()
		for _, a := range []response{r.send(context.Background(), "POST", "/book/x", "key"), r.stream("/brief/x")} {
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(cluster.runs()).To(BeEmpty())
	})

	// Guards against a request that goes to the engine whose slot it got before the evacuation, and against the release of a reservation
	// and of a KV cache there.
	DescribeTable("redirects a request whose prefill takes until after its begin", func(prefillDomain, decodeDomain string) {
		cluster.moveTo(decodeDomain, "m", cluster.decode...)
		cluster.moveTo(prefillDomain, "m", cluster.prefill)
		r := cluster.startWith("r-1", withEvacuations)
		added := standin.NewServer("d-added", "decode")
		var begun atomic.Bool
		cluster.prefill.Intercept(func(_ http.ResponseWriter, req *http.Request) bool {
			if !strings.HasPrefix(req.URL.Path, "/-/") && !begun.Swap(true) {
				cluster.registerServer(added, "m")
				cluster.store.Evacuate("klang")
				time.Sleep(shortPrefill)
			}
			return false
		})
		var late atomic.Int32
		for _, s := range cluster.decode {
			s.Intercept(func(http.ResponseWriter, *http.Request) bool {
				if begun.Load() {
					late.Add(1)
				}
				return false
			})
		}
		a := r.stream("/brief/x")
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
		leases := cluster.decode[0].OpenLeases() + cluster.decode[1].OpenLeases()
		if decodeDomain == "klang" {
			Expect(added.Runs()).To(HaveLen(1))
			Consistently(late.Load, evacuationLimit/10).Should(BeZero())
			Expect(leases).To(Equal(1), "reservations that were made and not released")
		}
		if prefillDomain == "klang" {
			for _, run := range cluster.runs() {
				Expect(run.Cache).To(BeEmpty())
			}
			Expect(cluster.prefill.OpenLeases()).To(Equal(1), "KV caches that were created and not freed")
		}
	},
		Entry("to engines of the domain, at an engine of another", "z", "klang"),
		Entry("to and at engines of the domain", "klang", "klang"),
		Entry("at an engine of the domain", "klang", "z"))

	// Guards against a second send to an engine that refuses the first one after the evacuation has begun.
	It("sends a refused request to no engine of the domain again", func() {
		cluster.moveTo("klang", "m", cluster.decode...)
		r := cluster.startWith("r-1", withEvacuations)
		arrivals := refuseFirst(cluster.decode, func(*standin.Server, http.Header) {
			cluster.store.Evacuate("klang")
			time.Sleep(evacuationLimit / 10)
		})
		Expect(r.stream("/digest/x").status).To(Equal(http.StatusServiceUnavailable))
		Expect(arrivals()).To(Equal(map[string]int{"refusing": 0, "all": 0}))
	})

	// Guards against a stream that is cut by an evacuation although it is being answered.
	It("leaves answers that have begun alone", func() {
		cluster.decode[0].EventInterval = evacuationLimit / 10
		cluster.store.RemoveServer(cluster.decode[1].ID)
		r := cluster.startWith("r-1", withEvacuations)
		time.AfterFunc(evacuationLimit/10, func() { cluster.store.Evacuate("klang") })
		a := r.stream("/brief/x")
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
		Expect(r.stream("/brief/x").status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against an evacuation that a restored backup undoes, and one that it brings back.
	It("outlasts a restore of the store, but not its end", func() {
		r := cluster.startWith("r-1", withEvacuations)
		cluster.store.Evacuate("other")
		time.Sleep(evacuationLimit / 10)
		backup := cluster.store.Snapshot()
		cluster.store.EndEvacuation("other")
		cluster.store.Evacuate("klang")
		time.Sleep(evacuationLimit / 2)
		cluster.moveTo("other", "s", rest[0])
		cluster.moveTo("other", "m", rest[1])
		cluster.store.Restore(backup)
		cluster.moveTo("other", "s", rest[0])
		cluster.moveTo("other", "m", rest[1])
		time.Sleep(evacuationLimit / 2)
		r.expectUnused(evacuated...)
	})

	// Guards against requests from an instance that the store rejects, and from one that starts meanwhile.
	It("is heard of from other instances by those that the store rejects", func() {
		rejecting, behindProxy := cluster.storeProxy("/")
		first := cluster.startWith("r-1", withEvacuations)
		second := cluster.startWith("r-2", behindProxy)
		rejecting.Store(true)
		cluster.store.Evacuate("klang")
		time.Sleep(evacuationLimit / 2)
		second.expectUnused(evacuated...)
		late := cluster.startWith("r-3", func(s *settings.Node) {
			behindProxy(s)
			s.Seeds = []string{first.settings.PeerListen}
			_, port, _ := strings.Cut(first.settings.PeerListen, ":")
			s.PeerListen = "127.0.0.2:" + port
		})
		late.expectUnused(evacuated...)
	})

	// Guards against requests to an evacuated domain from an instance that starts and serves before it knows of the evacuation.
	It("is known before an instance serves", func() {
		rejecting, behindProxy := cluster.storeProxy("/-/objects/evacuations")
		rejecting.Store(true)
		cluster.store.Evacuate("klang")
		r := cluster.launch("r-1", behindProxy)
		Eventually(func() bool { return cluster.store.Calls() > 5 }, eventuallyTimeout).Should(BeTrue())
		Consistently(func() bool { return r.Ready() }, evacuationLimit/2).Should(BeFalse())
		Expect(r.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusServiceUnavailable))
		rejecting.Store(false)
		Eventually(r.Ready, eventuallyTimeout).Should(BeTrue())
		r.expectUnused(evacuated...)
	})
})

// storeProxy returns settings with which an instance calls the store through a proxy. While rejecting is set, the proxy rejects calls whose
// paths have the prefix.
func (c *testCluster) storeProxy(prefix string) (rejecting *atomic.Bool, behindProxy func(*settings.Node)) {
	rejecting = &atomic.Bool{}
	target, err := url.Parse("http://" + c.storeURL)
	Expect(err).NotTo(HaveOccurred())
	forward := httputil.NewSingleHostReverseProxy(target)
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if rejecting.Load() && strings.HasPrefix(req.URL.Path, prefix) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		forward.ServeHTTP(w, req)
	}))
	DeferCleanup(func() {
		proxy.CloseClientConnections()
		proxy.Close()
	})
	return rejecting, func(s *settings.Node) {
		withEvacuations(s)
		s.PlatformAddress = strings.TrimPrefix(proxy.URL, "http://")
	}
}
