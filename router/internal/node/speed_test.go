package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/settings"
)

var _ = Describe("endpoints that state their speed", func() {
	// Guards against a stated speed that does not reach the choice of the endpoint, and against one that changes it where none is stated.
	It("get requests accordingly", func() {
		for name, loads := range map[string][2]string{"stated": {"0,0,4,100", "0,0,4,400"}, "none": {"0,0,4", "0,0,4"}} {
			cluster := newTestCluster()
			r := cluster.start("r-1")
			for i, s := range cluster.plain {
				s.Intercept(func(w http.ResponseWriter, _ *http.Request) bool {
					w.Header().Set("X-Server-Load", loads[i])
					return false
				})
			}
			for range 60 {
				Expect(r.send(context.Background(), http.MethodGet, "/look/a", "key").status).To(Equal(http.StatusOK))
			}
			usual, slow := len(cluster.plain[0].Runs()), len(cluster.plain[1].Runs())
			Expect(usual+slow).To(Equal(60), name)
			if name == "stated" {
				Expect(slow).To(BeNumerically("<=", 6))
			} else {
				Expect(slow).To(BeNumerically(">=", 10)) // each of two equal endpoints gets half
			}
		}
	})

	// Guards against an endpoint that starts without a limit of its pace, and against one whose limit does not end.
	It("are paced when they start", func() {
		cluster := newTestCluster()
		r := cluster.startWith("r-1", func(s *settings.Node) { s.EndpointPacing = true })
		started := 0
		Eventually(func() string { // a server that is there at the first observation is not paced
			started++
			cluster.registerServer(standin.NewServer(fmt.Sprint("s-new-", started), ""), "s")
			resp, err := http.Get("http://" + r.settings.MetricsListen + "/metrics")
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			return string(body)
		}, eventuallyTimeout, "500ms").Should(MatchRegexp("tanagerwood_pace_milliseconds[^ ]*count[^ ]* [1-9]"))
	})
})
