package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

var _ = Describe("a peer that responds and reads nothing for a while", func() {
	const (
		// pause is longer than the time after which a peer that does not respond counts as dead.
		pause        = 3 * time.Second
		bodyBytes    = 60_000
		patientRoute = `,{"name":"patient","host":"h.example","path_prefix":"/patient/","kind":"unsafe","timeout_ms":30000,"target_latency_ms":15000,"service":"s","max_attempts":1}`
	)
	longBody := strings.Repeat("x", bodyBytes)
	smallWindow := func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}
	startPatient := func(cluster *testCluster) *router {
		cluster.configure(patientRoute)
		r := cluster.start("r-1")
		Eventually(func() bool { return r.HasRoute("h.example", "/patient/") }, eventuallyTimeout).Should(BeTrue())
		return r
	}
	answer := func(w http.ResponseWriter, id, body string) {
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Stamp", "stamp")
		_, _ = io.WriteString(w, body)
	}

	// Guards against answers whose rest is dropped after the request has been logged as answered, also around a planned stop.
	DescribeTable("gets the whole answer as a caller", func(stop bool) {
		cluster := newTestCluster()
		for _, s := range cluster.plain {
			s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
				answer(w, req.Header.Get("X-Request-Id"), longBody)
				return true
			})
		}
		r := startPatient(cluster)
		dialer := net.Dialer{Control: smallWindow}
		conn, err := dialer.Dial("tcp", r.settings.CallerListen)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "POST /patient/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: paused\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		if stop {
			time.Sleep(pause / 10) // the answer lies in the buffers of the connection
			r.Stop()
		}
		time.Sleep(pause)
		Expect(conn.SetReadDeadline(time.Now().Add(eventuallyTimeout))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(string(body) == longBody).To(BeTrue(), "%d bytes of %d", len(body), len(longBody))
		if stop {
			Eventually(r.done, eventuallyTimeout).Should(Receive(BeNil()))
		}
	},
		Entry("of a router that runs on", false),
		Entry("of a router that stops as planned", true),
	)

	// Guards against requests that fail because their endpoint does not read the body at once.
	It("gets the whole request as an endpoint", func() {
		cluster := newTestCluster()
		config := net.ListenConfig{Control: smallWindow}
		listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			time.Sleep(pause)
			body, err := io.ReadAll(req.Body)
			answer(w, req.Header.Get("X-Request-Id"), fmt.Sprint(len(body), err))
		})}
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		cluster.store.Put("servers", "slow", serverEntry(standin.NewServer("slow", ""), "s", "http://"+listener.Addr().String(), "ready"))
		for _, s := range cluster.plain {
			cluster.store.Remove("servers", s.ID)
		}
		r := startPatient(cluster)
		a := r.sendWith(context.Background(), http.MethodPost, "/patient/a", "key", longBody, "X-Deadline-Ms", "30000")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(fmt.Sprint(bodyBytes, nil)))
	})
})
