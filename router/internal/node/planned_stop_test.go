package node_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/settings"
)

var _ = Describe("a planned stop", func() {
	// serviceTime is how long a server takes for a request.
	const serviceTime = 600 * time.Millisecond

	// Guards against requests that are taken and passed on late in the grace period and cut without an answer at its end.
	DescribeTable("answers every request that it takes, until the process is gone", func(grace time.Duration) {
		cluster := newTestCluster()
		for _, s := range cluster.plain {
			s.ServiceTime = serviceTime
		}
		r := cluster.startWith("r-1", func(s *settings.Node) { s.StopGrace = grace })
		var mu sync.Mutex
		var answers []response
		send := func(ctx context.Context) {
			a := r.send(ctx, http.MethodPost, "/book/a", "key")
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		}
		var group sync.WaitGroup
		r.Stop()
		for gone := false; !gone; {
			group.Go(func() {
				defer GinkgoRecover()
				send(context.Background())
			})
			select {
			case err := <-r.done:
				Expect(err).NotTo(HaveOccurred())
				gone = true
			case <-time.After(20 * time.Millisecond):
			}
		}
		group.Wait()
		ran := map[string]bool{}
		for _, run := range cluster.runs() {
			ran[run.ID] = true
		}
		var served int
		for _, a := range answers {
			switch {
			case a.err == nil && a.status == http.StatusOK:
				served++
			default:
				Expect(ran[a.id]).To(BeFalse(), "%s was passed on and ended without its answer: status %d, %v", a.id, a.status, a.err)
			}
		}
		Expect(served).To(BeNumerically(">", 0))
	},
		Entry("with the grace period of the users", 8*time.Second),
		Entry("with a short one", 2*time.Second),
	)

	// patientRoutes are routes whose requests may take, and wait for, longer than a planned stop does.
	const patientRoutes = `,{"name":"patient","host":"h.example","path_prefix":"/patient/","kind":"streaming","timeout_ms":30000,"target_latency_ms":15000,"service":"m","max_attempts":1},
 {"name":"long","host":"h.example","path_prefix":"/long/","kind":"unsafe","timeout_ms":30000,"target_latency_ms":15000,"service":"s","max_attempts":1}`
	const shortGrace = 3 * time.Second

	// startPatient starts a router in a cluster whose endpoints do not answer before the end of the grace period.
	startPatient := func() (*testCluster, *router) {
		cluster := newTestCluster()
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		for _, s := range append(append([]*standin.Server{}, cluster.plain...), cluster.decode...) {
			s.Intercept(func(_ http.ResponseWriter, req *http.Request) bool {
				if req.Header.Get("X-Stage") != "" || strings.HasPrefix(req.URL.Path, "/-/") {
					return false
				}
				s.RecordRun(req)
				select {
				case <-release:
				case <-req.Context().Done():
				}
				return true
			})
		}
		cluster.configure(patientRoutes)
		r := cluster.startWith("r-1", func(s *settings.Node) { s.StopGrace = shortGrace })
		Eventually(func() bool { return r.HasRoute("h.example", "/patient/") }, eventuallyTimeout).Should(BeTrue())
		return cluster, r
	}
	// send sends a request that may take half a minute.
	send := func(r *router, path string) <-chan response {
		got := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			got <- r.send(context.Background(), http.MethodPost, path, "key", "X-Deadline-Ms", "30000", "X-Token-Counts", "100,10", "X-Model", "m")
		}()
		return got
	}

	// Guards against requests that wait for a slot until the end of the grace period and are then cut without an answer.
	It("refuses requests that no endpoint has, in good time", func() {
		cluster, r := startPatient()
		for range 8 { // all slots
			send(r, "/patient/running")
		}
		Eventually(cluster.runs, eventuallyTimeout).Should(HaveLen(8))
		var waiting []<-chan response
		for range 4 {
			waiting = append(waiting, send(r, "/patient/waiting"))
		}
		Eventually(r.WaitingRequests, eventuallyTimeout).Should(Equal(4))
		r.Stop()
		for _, w := range waiting {
			var a response
			Eventually(w, shortGrace/2).Should(Receive(&a))
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(http.StatusServiceUnavailable))
			Expect(a.header).To(HaveKey("Retry-After"))
		}
		Expect(cluster.runs()).To(HaveLen(8))
	})

	// Guards against connections that are closed without an answer at the end of the grace period, on the path of plain requests and
	// on that of streams without an event.
	DescribeTable("answers requests that endpoints still process at its end", func(path string) {
		cluster, r := startPatient()
		got := send(r, path)
		Eventually(cluster.runs, eventuallyTimeout).Should(HaveLen(1))
		r.Stop()
		var a response
		Eventually(got, shortGrace).Should(Receive(&a))
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(http.StatusBadGateway), "the request may have run")
	},
		Entry("plain", "/long/a"),
		Entry("a stream", "/patient/a"),
	)

	// Guards against a request whose body arrives slowly, and whose connection is closed without an answer at the end of the grace
	// period.
	It("refuses requests whose body is still arriving", func() {
		_, r := startPatient()
		conn, err := net.Dial("tcp", r.settings.CallerListen)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "POST /book/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: slow\r\nAuthorization: Bearer key\r\nContent-Length: 1000\r\n\r\nquest")
		Expect(err).NotTo(HaveOccurred())
		Eventually(r.OpenRequests, eventuallyTimeout).Should(Equal(1))
		r.Stop()
		Expect(conn.SetReadDeadline(time.Now().Add(shortGrace / 2))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	})
})
