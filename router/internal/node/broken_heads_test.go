package node_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

var _ = Describe("an endpoint that breaks the head or the trailer of its answer", func() {
	var cluster *testCluster
	var r *router
	// The first answers are sound, so that the connections of the others are kept ones.
	BeforeEach(func() {
		cluster = newTestCluster()
		r = cluster.start("r-1")
		for range 4 {
			Expect(r.send(context.Background(), http.MethodGet, "/look/a", "key").status).To(Equal(http.StatusOK))
			Expect(r.stream("/brief/x").status).To(Equal(http.StatusOK))
		}
	})
	// heads is the number of requests, so that each variant of a fault occurs.
	const heads = 8

	// Guards against a success with an empty or short body that looks complete, and against a second run.
	DescribeTable("gives no success, and no second run where requests may not be repeated", func(fault standin.Fault) {
		for _, s := range append(cluster.plain, cluster.decode...) {
			s.InjectFault(fault, 1, always)
		}
		before := len(cluster.runs())
		for n := range heads {
			for _, a := range []response{r.send(context.Background(), http.MethodPost, "/book/a", "key"), r.stream("/brief/x")} {
				Expect(a.status).To(Equal(http.StatusBadGateway), "request %d: %q", n, a.body)
				Expect(a.header).NotTo(HaveKey("X-Response-Stamp"))
			}
		}
		Expect(cluster.runs()).To(HaveLen(before + 2*heads))
	}, brokenHeads)

	// Guards against the same where another endpoint has the whole answer, and against events that come twice.
	DescribeTable("is followed by another one where requests may be repeated", func(fault standin.Fault) {
		cluster.plain[0].InjectFault(fault, 1, always)
		cluster.decode[0].InjectFault(fault, 1, always)
		for range heads {
			a := r.send(context.Background(), http.MethodPost, "/look/a", "key")
			Expect(a.body).To(Equal("answer to " + a.id))
			a = r.stream("/digest/x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(completeStreamBody(a.id)))
		}
	}, brokenHeads, Entry("with an invalid trailer", standin.InvalidTrailers))

	// Guards against an answer whose end is not valid and that looks complete, in place of a cut one.
	It("gives no success with an invalid trailer, and no second run where requests may not be repeated", func() {
		for _, s := range append(cluster.plain, cluster.decode...) {
			s.InjectFault(standin.InvalidTrailers, 1, always)
		}
		before := len(cluster.runs())
		for range heads {
			a := r.send(context.Background(), http.MethodPost, "/book/a", "key")
			Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
			Expect(r.stream("/brief/x").err).To(HaveOccurred(), "the events were passed on before the trailer came")
		}
		Expect(cluster.runs()).To(HaveLen(before + 2*heads))
	})
})

// brokenHeads are the faults that break the head of an answer.
var brokenHeads = []TableEntry{
	Entry("by closing inside it", standin.TruncatedHeads),
	Entry("with an invalid status", standin.InvalidStatuses),
	Entry("with an invalid field name", standin.InvalidFieldNames),
}
