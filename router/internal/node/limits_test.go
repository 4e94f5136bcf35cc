package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

const (
	// limitSettleTime is how long after its first announcement a limit is binding, limitWindow the window in which it is judged.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	// limitTolerance is the factor, and limitSlack the number of requests, by which a window may exceed the limit.
	limitTolerance = 1.5
	limitSlack     = 5
	// announcedLimit is the number of requests per second that the servers announce.
	announcedLimit = 4.0
)

// mostInWindow returns the largest number of requests that arrived at a server within limitWindow after the limit was binding.
func mostInWindow(s *standin.Server) (most int) {
	binding := s.Limits()[0].From.Add(limitSettleTime)
	arrivals := s.Arrivals()
	for i, first := range arrivals {
		if first.At.Before(binding) {
			continue
		}
		count := 0
		for _, a := range arrivals[i:] {
			if a.At.Sub(first.At) <= limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// loadInstances has each instance send requests with the given pause between them for the given time, and returns the number of
// responses by status.
func loadInstances(routers []*router, pause, length time.Duration, send func(*router) response) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := map[int]int{}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	for _, r := range routers {
		group.Go(func() {
			for ctx.Err() == nil {
				group.Go(func() {
					defer GinkgoRecover()
					a := send(r)
					mu.Lock()
					defer mu.Unlock()
					statuses[a.status]++
				})
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	return statuses
}

var _ = Describe("an endpoint's request limit", func() {
	// startThree starts a cluster of three instances.
	startThree := func() (*testCluster, []*router) {
		cluster := newTestCluster()
		var routers []*router
		for _, name := range []string{"a", "b", "c"} {
			routers = append(routers, cluster.start(name))
		}
		return cluster, routers
	}
	allowed := limitTolerance*announcedLimit*limitWindow.Seconds() + limitSlack

	// Guards against instances that each use, or all ignore, the request limit that a plain server has announced for all of them.
	It("is kept by all instances together at a plain server", func() {
		cluster, routers := startThree()
		cluster.plain[0].AnnounceLimit(announcedLimit)
		statuses := loadInstances(routers, 40*time.Millisecond, limitSettleTime+limitWindow, func(r *router) response {
			return r.send(context.Background(), http.MethodGet, "/look/x", "key")
		})
		Expect(statuses).To(HaveLen(1), "the other server takes the rest")
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 0))
		Expect(mostInWindow(cluster.plain[0])).To(And(BeNumerically("<=", allowed), BeNumerically(">", 0)))
	})

	// Guards against exceeding the limit of engines with prefills, reservations and streams.
	It("is kept by all instances together at a prefill engine and a decode engine", func() {
		cluster, routers := startThree()
		cluster.prefill.AnnounceLimit(announcedLimit)
		cluster.decode[0].AnnounceLimit(announcedLimit)
		statuses := loadInstances(routers, 60*time.Millisecond, limitSettleTime+limitWindow, func(r *router) response {
			return r.stream("/digest/x")
		})
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 0))
		Expect(mostInWindow(cluster.prefill)).To(And(BeNumerically("<=", allowed), BeNumerically(">", 0)), fmt.Sprint(statuses))
		Expect(mostInWindow(cluster.decode[0])).To(And(BeNumerically("<=", allowed), BeNumerically(">", 0)), fmt.Sprint(statuses))
	})
})
