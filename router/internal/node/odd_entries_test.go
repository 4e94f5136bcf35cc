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

const nestedEntry = 100_000

var _ = Describe("an odd entry of another writer among those of the servers", func() {
	odd := func(service, stage string) map[string]string {
		return map[string]string{
			"odd-nested": strings.Repeat("[", nestedEntry) + strings.Repeat("]", nestedEntry),
			"odd-number": `{"service":"` + service + `","address":"127.0.0.1:80","zone":"z","slots":1e999,"state":"ready","stage":"` + stage + `"}`,
			"odd-slots":  `{"service":"` + service + `","address":"127.0.0.1:80","zone":"z","slots":9000000000000000000,"state":"ready","stage":"` + stage + `"}`,
			"odd-port":   `{"service":"` + service + `","address":"127.0.0.1:99999","zone":"z","slots":4,"state":"ready","stage":"` + stage + `"}`,
		}
	}
	expectServed := func(r *router) {
		GinkgoHelper()
		for range 10 {
			Expect(r.send(context.Background(), http.MethodPost, "/book/a", "key").status).To(Equal(http.StatusOK))
			a := r.stream("/brief/x")
			Expect(a.body).To(Equal(completeStreamBody(a.id)))
		}
	}

	// Guards against instances that end, fail requests or stop following the list of servers.
	DescribeTable("does no harm", func(service, stage string) {
		cluster := newTestCluster()
		later := cluster.start("later")
		for id, entry := range odd(service, stage) {
			cluster.store.Put("servers", id, entry)
		}
		first := cluster.start("first") // reads the list with the entries
		expectServed(first)
		expectServed(later)
		// Both still follow the list: the server that comes is used once the others leave.
		replacement := standin.NewServer("s-new", "")
		cluster.registerServer(replacement, "s")
		for _, s := range cluster.plain {
			cluster.announceLeaving(s, "s")
		}
		for _, r := range []*router{first, later} {
			Eventually(func() int {
				before := len(replacement.Runs())
				for range 4 {
					Expect(r.send(context.Background(), http.MethodPost, "/book/a", "key").status).To(Equal(http.StatusOK))
				}
				return len(replacement.Runs()) - before
			}, eventuallyTimeout).Should(Equal(4))
		}
	},
		Entry("of a plain service", "s", ""),
		Entry("of decode engines", "m", "decode"),
		Entry("of prefill engines", "m", "prefill"),
	)

	// Guards against entries whose sum keeps an instance that starts, or that must list again, out of service.
	It("does no harm if there are many large ones", func() {
		const entries, entryBytes = 20, 1_000_000
		cluster := newTestCluster()
		runsOn := cluster.start("runs-on")
		for i := range entries {
			cluster.store.Put("servers", fmt.Sprintf("large-%d", i), `{"padding":"`+strings.Repeat("x", entryBytes)+`"}`)
		}
		expectServed(cluster.start("starts"))
		cluster.store.CompactHistory()
		replacement := standin.NewServer("s-new", "")
		cluster.registerServer(replacement, "s")
		for _, s := range cluster.plain {
			cluster.announceLeaving(s, "s")
		}
		Eventually(func() int {
			Expect(runsOn.send(context.Background(), http.MethodPost, "/book/a", "key").status).To(Equal(http.StatusOK))
			return len(replacement.Runs())
		}, eventuallyTimeout).Should(BeNumerically(">", 0))
	})
})
