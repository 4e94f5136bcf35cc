package node_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/settings"
)

// storeGate is a path to the store that can be closed for the instance that uses it.
type storeGate struct {
	store *standin.Store

	mu     sync.Mutex
	closed bool
	// closing is closed when the gate closes, and ends the calls that are open.
	closing chan struct{}
}

// newStoreGate returns an open gate and its address.
func newStoreGate(store *standin.Store) (*storeGate, string) {
	g := &storeGate{store: store, closing: make(chan struct{})}
	server := httptest.NewServer(g)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return g, server.Listener.Addr().String()
}

func (g *storeGate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	if closed {
		close(g.closing)
		g.closing = make(chan struct{})
	}
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	closed, closing := g.closed, g.closing
	g.mu.Unlock()
	if closed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		select {
		case <-closing:
			cancel()
		case <-ctx.Done():
		}
	}()
	g.store.ServeHTTP(w, r.WithContext(ctx))
}

var _ = Describe("a server that is removed while the store rejects an instance", func() {
	const drainLimit = 2 * time.Second

	// Guards against an instance that takes the removal for the effect of an outage because only its own calls have failed, and against one
	// that learns of it from the others only shortly before the drain limit, or after it on a busy machine (soak seed 8330).
	DescribeTable("gets no requests of that instance", func(rejection, removedAfter, limit time.Duration) {
		cluster := newTestCluster()
		cluster.start("r-1")
		cluster.start("r-2")
		gate, address := newStoreGate(cluster.store)
		rejected := cluster.startWith("r-3", func(s *settings.Node) { s.PlatformAddress = address })
		time.Sleep(time.Second)
		gate.setClosed(true)
		time.AfterFunc(rejection, func() { gate.setClosed(false) })
		time.Sleep(removedAfter)
		removed := cluster.plain[0]
		cluster.store.Remove("servers", removed.ID)
		removedAt := time.Now()
		for time.Since(removedAt) < 2*drainLimit {
			Expect(rejected.send(context.Background(), "GET", "/look/x", "key").status).To(Equal(http.StatusOK))
			time.Sleep(10 * time.Millisecond)
		}
		runs := removed.Runs()
		Expect(runs).NotTo(BeEmpty())
		Expect(runs[len(runs)-1].Began.Sub(removedAt)).To(BeNumerically("<", limit))
	},
		Entry("beyond the drain limit, rejected for a second", time.Second, 250*time.Millisecond, drainLimit),
		Entry("beyond three quarters of it, rejected for long", 4*drainLimit, 500*time.Millisecond, drainLimit*3/4),
	)
})
