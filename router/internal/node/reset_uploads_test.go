package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

var _ = Describe("an endpoint that answers an upload at once and resets the connection while it is written", func() {
	const (
		// bodyBytes is the size of a body that does not fit the buffers of a connection.
		bodyBytes = 6 << 20
		// uploads is the number of requests of each kind; reads and writes meet the reset in different orders.
		uploads = 8
	)
	text := strings.Repeat("x", bodyBytes)
	var cluster *testCluster
	var r *router
	upload := func(path string) response {
		return r.sendWith(context.Background(), http.MethodPost, path, "key", text, "X-Token-Counts", "5000,9100", "X-Model", "m")
	}
	// The first answers are sound, so that the connections of some others are kept ones.
	BeforeEach(func() {
		cluster = newTestCluster()
		cluster.version++
		configuration := strings.Replace(configurationJSON, `"max_body_bytes":100000`, fmt.Sprintf(`"max_body_bytes":%d`, bodyBytes), 1)
		cluster.store.Put("config", "main", fmt.Sprintf(configuration, cluster.version, ""))
		r = cluster.start("r-1")
		for range 4 {
			Expect(upload("/look/a").status).To(Equal(http.StatusOK))
			Expect(upload("/brief/x").status).To(Equal(http.StatusOK))
		}
	})

	// Guards against a part of an answer that reaches its caller as a whole one, and against a second run.
	It("gives no success, and no second run where requests may not be repeated", func() {
		for _, s := range append(cluster.plain, cluster.decode...) {
			s.InjectFault(standin.ResetUploads, 1, always)
		}
		before := len(cluster.runs())
		for range uploads {
			Expect(upload("/book/a").status).To(Equal(http.StatusBadGateway))
			a := upload("/brief/x")
			Expect(a.err != nil || a.status == http.StatusBadGateway).To(BeTrue(), "the answer looks complete: %q", a.body)
		}
		Expect(cluster.runs()).To(HaveLen(before + 2*uploads))
	})

	// Guards against the same where another endpoint has the whole answer.
	It("is followed by another one where requests may be repeated", func() {
		cluster.plain[0].InjectFault(standin.ResetUploads, 1, always)
		cluster.decode[0].InjectFault(standin.ResetUploads, 1, always)
		for range uploads {
			a := upload("/look/a")
			Expect(a.body).To(Equal("answer to " + a.id))
			a = upload("/digest/x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(completeStreamBody(a.id)))
		}
	})
})
