package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/settings"
)

// withDrainLimit sets the time within which leaving endpoints stop getting requests.
func withDrainLimit(limit time.Duration) func(*settings.Node) {
	return func(s *settings.Node) { s.DrainPropagationLimit = limit }
}

// refuseFirst has the first request at a decode engine wait there until the function has been called, and refused then. It returns the
// requests that reach each engine from then on.
func refuseFirst(engines []*standin.Server, whileWaiting func(*standin.Server, http.Header)) (arrivalsAfter func() map[string]int) {
	var mu sync.Mutex
	refusing := ""
	after := map[string]int{}
	for _, s := range engines {
		s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
			if strings.HasPrefix(req.URL.Path, "/-/") {
				return false
			}
			mu.Lock()
			isFirst := refusing == ""
			if isFirst {
				refusing = s.ID
			} else {
				after[s.ID]++
			}
			mu.Unlock()
			if isFirst {
				whileWaiting(s, w.Header())
				standin.Refuse(w)
			}
			return isFirst
		})
	}
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		return map[string]int{"refusing": after[refusing], "all": after[engines[0].ID] + after[engines[1].ID]}
	}
}

var _ = Describe("an engine that leaves while a request waits there", func() {
	const drainLimit = 500 * time.Millisecond

	// Guards against a second send to an engine that has refused the first one and leaves.
	DescribeTable("gets the request only once if it refuses it and", func(path string, announce func(*testCluster, *standin.Server, http.Header)) {
		cluster := newTestCluster()
		r := cluster.startWith("r-1", withDrainLimit(drainLimit))
		arrivals := refuseFirst(cluster.decode, func(s *standin.Server, header http.Header) {
			announce(cluster, s, header)
			time.Sleep(drainLimit)
		})
		a := r.stream(path)
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
		Expect(arrivals()).To(Equal(map[string]int{"refusing": 0, "all": 1}))
	},
		Entry("the list says so", "/brief/x", func(c *testCluster, s *standin.Server, _ http.Header) { c.announceLeaving(s, "m") }),
		Entry("the refusal says so", "/brief/x", func(_ *testCluster, s *standin.Server, h http.Header) { h.Set("Server-Leaving", "1") }),
		Entry("both say so, on a resumable route", "/digest/x", func(c *testCluster, s *standin.Server, h http.Header) {
			c.announceLeaving(s, "m")
			h.Set("Server-Leaving", "1")
		}),
		Entry("it is no longer listed", "/brief/x", func(c *testCluster, s *standin.Server, _ http.Header) { c.store.Remove("servers", s.ID) }),
	)
})

// Guards against a request that is assigned to a leaving engine within the grace period, since all engines leave, and sent after it.
var _ = It("sends no request to leaving engines after the grace period, however late it was assigned", func() {
	const grace, prefillTime = 800 * time.Millisecond, 600 * time.Millisecond
	cluster := newTestCluster()
	r := cluster.startWith("r-1", withDrainLimit(2*grace))
	for _, s := range cluster.decode {
		s.AnnounceShutdown()
	}
	Expect(r.stream("/brief/x").status).To(Equal(http.StatusOK))
	Expect(r.stream("/brief/x").status).To(Equal(http.StatusOK))
	announced := time.Now()
	cluster.prefill.Intercept(func(_ http.ResponseWriter, req *http.Request) bool {
		if !strings.HasPrefix(req.URL.Path, "/-/") {
			time.Sleep(prefillTime)
		}
		return false
	})
	time.Sleep(grace / 2)
	r.stream("/brief/x")
	for _, run := range cluster.runs() {
		Expect(run.Began).To(BeTemporally("<", announced.Add(grace)))
	}
})

// Guards against requests to a server that announced its leave before the list named its new start.
var _ = It("sends no requests to a server whose new start announced its leave before it was listed", func() {
	cluster := newTestCluster()
	r := cluster.start("r-1")
	leaving := cluster.plain[0]
	started := time.Now()
	leaving.AnnounceShutdown()
	for len(leaving.Runs()) == 0 {
		Expect(r.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
	}
	entry := strings.TrimSuffix(serverEntry(leaving, "s", cluster.urls[leaving.ID], "ready"), "}")
	cluster.store.Put("servers", leaving.ID, fmt.Sprintf(`%s,"born":%d}`, entry, started.UnixMilli()))
	before := len(leaving.Runs())
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		Expect(r.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
	}
	Expect(leaving.Runs()).To(HaveLen(before))
})
