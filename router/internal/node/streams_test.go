package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

// streamHTTP10 requests a stream over HTTP/1.0 on a new connection and returns everything received until the connection closes.
func (r *router) streamHTTP10(path string) (string, error) {
	conn, err := net.Dial("tcp", r.settings.CallerListen)
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: raw-%d\r\nX-Deadline-Ms: 9000\r\nAuthorization: Bearer key\r\n"+
		"X-Token-Counts: 5000,9100\r\nContent-Length: 1\r\n\r\nq", path, requests.Add(1))
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(bufio.NewReader(conn))
	return string(body), err
}

// stallStreams makes a server answer streams with complete events and then repeat a piece of data that completes no event.
func stallStreams(s *standin.Server, events int, piece string) {
	s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
		if !strings.HasPrefix(req.URL.Path, "/") || req.Header.Get("X-Kv-Hold") == "" {
			return false
		}
		s.RecordRun(req)
		w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Stamp", "stamp-"+s.ID)
		s.Stream(w, req, events)
		controller := http.NewResponseController(w)
		for req.Context().Err() == nil {
			if _, err := io.WriteString(w, piece); err != nil || controller.Flush() != nil {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
		return true
	})
}

var _ = Describe("streams of faulty servers", func() {
	var cluster *testCluster
	var r *router
	BeforeEach(func() {
		cluster = newTestCluster()
		r = cluster.start("r-1")
	})

	// Guards against streams that are held open indefinitely by a server that sends data but no further events.
	DescribeTable("aborts streams without further events", func(piece string) {
		for _, s := range cluster.decode {
			stallStreams(s, 1, piece)
		}
		began := time.Now()
		a := r.stream("/brief/x", "X-Deadline-Ms", "14000")
		Expect(a.err).To(HaveOccurred(), "the answer looks complete")
		Expect(a.body).To(HavePrefix("id: 1\n"))
		Expect(time.Since(began)).To(BeNumerically("<", 8*time.Second))
	},
		Entry("bytes of an event that never ends", "x"),
		Entry("comments", ": still here\n\n"),
		Entry("empty events", "data:\n\n"),
	)

	It("resumes a stalled resumable stream on another server", func() {
		stallStreams(cluster.decode[0], 1, ": still here\n\n")
		for range 4 {
			a := r.stream("/digest/x", "X-Deadline-Ms", "14000")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(strings.ReplaceAll(a.body, ": still here\n\n", "")).To(Equal(completeStreamBody(a.id)))
		}
	})

	// Guards against aborting slow but valid streams, with tolerable pauses and events that arrive in fragments.
	It("forwards slow streams completely", func() {
		for _, s := range cluster.decode {
			s.Intercept(func(rw http.ResponseWriter, req *http.Request) bool {
				if req.Header.Get("X-Kv-Hold") == "" {
					return false
				}
				s.RecordRun(req)
				rw.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
				rw.Header().Set("X-Response-Stamp", "stamp-"+s.ID)
				controller := http.NewResponseController(rw)
				for i, c := range completeStreamBody(req.Header.Get("X-Request-Id")) {
					_, err := io.WriteString(rw, string(c))
					Expect(err).NotTo(HaveOccurred())
					Expect(controller.Flush()).To(Succeed())
					if i%40 == 0 {
						time.Sleep(300 * time.Millisecond)
					}
				}
				time.Sleep(2 * time.Second) // before the end of the stream, which is not an event
				return true
			})
		}
		a := r.stream("/brief/x", "X-Deadline-Ms", "14000")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
	})

	// Guards against a truncated answer that looks complete to a caller that reads until the connection closes.
	It("signals a truncated answer to HTTP/1.0 callers", func() {
		whole, err := r.streamHTTP10("/brief/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(whole).To(ContainSubstring("id: 3\n"))
		for _, s := range cluster.decode {
			s.InjectFault(standin.TruncatedResponses, 1, func() float64 { return 0 })
		}
		part, err := r.streamHTTP10("/brief/x")
		Expect(err).To(HaveOccurred(), part)
	})
})
