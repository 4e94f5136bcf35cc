package node_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
})
