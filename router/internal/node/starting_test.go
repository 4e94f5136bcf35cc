package node_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/settings"
)

var _ = Describe("a node that starts", func() {
	// Guards against an instance that counts as ready once it knows the configuration: until the list of servers has arrived as well,
	// it refuses every request for lack of endpoints.
	It("is not ready before it knows the endpoints", func() {
		cluster := newTestCluster()
		listAsked, releaseList := make(chan struct{}), make(chan struct{})
		var asked sync.Once
		store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/servers") {
				asked.Do(func() { close(listAsked) })
				<-releaseList
			}
			cluster.store.ServeHTTP(w, r)
		}))
		release := sync.OnceFunc(func() { close(releaseList) })
		DeferCleanup(func() {
			release()
			store.CloseClientConnections()
			store.Close()
		})
		var wasReady atomic.Bool
		r := cluster.launch("late-list", func(s *settings.Node) { s.PlatformAddress = strings.TrimPrefix(store.URL, "http://") })
		Eventually(listAsked, eventuallyTimeout).Should(BeClosed())
		Eventually(func() string {
			if r.Ready() {
				wasReady.Store(true)
			}
			return r.send(context.Background(), http.MethodPost, "/book/a", "key").body
		}, eventuallyTimeout).Should(ContainSubstring("just started"))
		Consistently(r.Ready, "500ms").Should(BeFalse())
		Expect(wasReady.Load()).To(BeFalse())
		release()
		Eventually(r.Ready, eventuallyTimeout).Should(BeTrue())
		Expect(r.send(context.Background(), http.MethodPost, "/book/a", "key").status).To(Equal(http.StatusOK))
	})
})
