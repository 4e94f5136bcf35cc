package e2e_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("rate and burst across processes", func() {
	It("admits no more than burst and rate allow while a router is paused and resumed", func() {
		const (
			rate, burst = 300, 4000
			flooding    = 14 * time.Second
		)
		// With engines this fast, the callers' demand is several times the rate.
		s := start(3, "-token-interval", "500us")
		s.catalogue.Customers[0].RateTokens, s.catalogue.Customers[0].BurstTokens = rate, burst
		m := &s.catalogue.Models[0]
		m.MaxPromptTokens, m.MaxOutputTokens, m.DefaultOutputTokens = 1000, 1000, 100
		s.apply()
		ctx, cancel := withTimeout()
		defer cancel()
		Eventually(s.inForce).WithTimeout(eventTimeout).Should(BeTrue())
		began := time.Now()
		limit, stop := context.WithTimeout(ctx, flooding)
		defer stop()
		var load sync.WaitGroup
		for worker := range 9 {
			load.Go(func() { flood(limit, s.routers[worker%3].url, worker) })
		}
		time.AfterFunc(3*time.Second, func() { s.routers[2].signal(syscall.SIGSTOP) })
		time.AfterFunc(10*time.Second, func() { s.routers[2].signal(syscall.SIGCONT) })
		load.Wait()
		var admitted int64
		for _, r := range s.routers {
			for _, e := range s.events(r) {
				if e.Kind == "request.settled" && e.Customer == s.catalogue.Customers[0].Name {
					admitted += e.Tokens
				}
			}
		}
		allowed := burst + int64(rate*time.Since(began).Seconds())
		Expect(admitted).To(BeNumerically("<=", allowed))
		// The two running routers must use nearly all of their shares, although they borrow from each other.
		Expect(admitted).To(BeNumerically(">", rate*2/3*flooding.Seconds()*0.9))
	})
})

// inForce reports whether every router has applied the newest catalogue version.
func (s *system) inForce() bool {
	for _, r := range s.routers {
		status := get[struct {
			Revision uint64 `json:"revision"`
		}](r.operators + "/status")
		if status.Revision != s.version {
			return false
		}
	}
	return true
}

// flood sends short requests sequentially until the context ends.
func flood(ctx context.Context, router string, worker int) {
	for i := 0; ctx.Err() == nil; i++ {
		a := complete(ctx, router, key, fmt.Sprint("flood ", worker, " ", i), 200, nil)
		if a.status != 200 {
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
}
