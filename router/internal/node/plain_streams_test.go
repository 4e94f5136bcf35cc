package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

const plainStreamRoutes = `,
 {"name":"feed","host":"h.example","path_prefix":"/feed/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"gap_aim_ms":300,"service":"s","max_attempts":1},
 {"name":"tail","host":"h.example","path_prefix":"/tail/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"gap_aim_ms":300,"service":"s","max_attempts":2,"resumable":true}`

// serveStream has a plain server answer with a stream.
func serveStream(s *standin.Server) {
	s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
		s.RecordRun(req)
		w.Header().Set("X-Response-Stamp", "stamp-"+s.ID)
		s.Stream(w, req, s.Events)
		return true
	})
}

// breakOff has a server break its stream off inside the second event. The answer is chunked, or ends with its connection, which is
// closed in good order.
func breakOff(s *standin.Server, closeDelimited bool) {
	s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
		s.RecordRun(req)
		w.Header().Set("X-Response-Stamp", "stamp-"+s.ID)
		if closeDelimited {
			w.Header().Set("Connection", "close")
			w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
		}
		s.Stream(w, req, 1)
		_, _ = io.WriteString(w, "id: 2\ndata: tok")
		_ = http.NewResponseController(w).Flush()
		if !closeDelimited {
			panic(http.ErrAbortHandler)
		}
		return true
	})
}

var _ = Describe("streams of plain services", func() {
	var cluster *testCluster
	var r *router
	BeforeEach(func() {
		cluster = newTestCluster()
		cluster.configure(plainStreamRoutes)
		r = cluster.start("r-1")
		for _, s := range cluster.plain {
			serveStream(s)
		}
	})

	// Guards against a stream that is held back until it ends.
	It("are passed on event by event", func() {
		release := make(chan struct{})
		for _, s := range cluster.plain {
			s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
				w.Header().Set("X-Response-Stamp", "stamp-"+s.ID)
				s.Stream(w, req, 1)
				<-release
				_, _ = io.WriteString(w, "id: 2\ndata: last\n\n")
				return true
			})
		}
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+r.settings.CallerListen+"/feed/x", strings.NewReader("q"))
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h.example"
		for name, value := range map[string]string{"X-Request-Id": "feed-1", "X-Deadline-Ms": "9000", "Authorization": "Bearer key"} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		first := make([]byte, len("id: 1\n"))
		_, err = io.ReadFull(resp.Body, first)
		Expect(err).NotTo(HaveOccurred())
		close(release)
		rest, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(first) + string(rest)).To(Equal("id: 1\ndata: token 1 of feed-1\n\nid: 2\ndata: last\n\n"))
	})

	// Guards against a stream that broke off and reaches its caller as complete.
	DescribeTable("that break off are cut", func(closeDelimited bool) {
		for _, s := range cluster.plain {
			breakOff(s, closeDelimited)
		}
		a := r.stream("/feed/x")
		Expect(a.err).To(HaveOccurred(), "the answer looks complete: %q", a.body)
		Expect(a.body).NotTo(ContainSubstring("id: 2"))
		Expect(cluster.runs()).To(HaveLen(1))
	},
		Entry("in chunks", false),
		Entry("without a length", true),
	)

	DescribeTable("that break off are resumed on resumable routes", func(closeDelimited bool) {
		breakOff(cluster.plain[0], closeDelimited)
		for range 4 {
			a := r.stream("/tail/x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(completeStreamBody(a.id)))
		}
	},
		Entry("in chunks", false),
		Entry("without a length", true),
	)
})
