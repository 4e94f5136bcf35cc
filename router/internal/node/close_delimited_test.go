package node_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

func always() float64 { return 0 }

var _ = Describe("answers that end with the connection of their endpoint", func() {
	var cluster *testCluster
	var r *router
	BeforeEach(func() {
		cluster = newTestCluster()
		r = cluster.start("r-1")
	})

	It("are passed on if they are complete", func() {
		for _, s := range append(cluster.plain, cluster.decode...) {
			s.InjectFault(standin.CloseDelimitedResponses, 1, always)
		}
		a := r.stream("/brief/x")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
		a = r.send(context.Background(), http.MethodGet, "/look/a", "key")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal("answer to " + a.id))
	})

	// Guards against a stream of a crashed engine that reaches its caller as complete.
	DescribeTable("are broken off if the stream ends", func(fault standin.Fault) {
		for _, s := range cluster.decode {
			s.InjectFault(fault, 1, always)
		}
		a := r.stream("/brief/x")
		if a.err == nil {
			Expect(a.status).To(BeNumerically(">=", 500), "the answer looks complete: %q", a.body)
		}
		Expect(a.body).NotTo(ContainSubstring("token 2"))
		Expect(cluster.runs()).To(HaveLen(1))
	},
		Entry("inside an event", standin.UnfinishedEvents),
		Entry("before its first event", standin.EmptyStreams),
	)

	// Guards against an unfinished event in the middle of a resumed stream.
	DescribeTable("are resumed if the stream of a resumable route ends", func(fault standin.Fault) {
		cluster.decode[0].InjectFault(fault, 1, always)
		for range 4 {
			a := r.stream("/digest/x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(completeStreamBody(a.id)))
		}
	},
		Entry("inside an event", standin.UnfinishedEvents),
		Entry("before its first event", standin.EmptyStreams),
	)
})
