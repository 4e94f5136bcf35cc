package e2e_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/engine"
)

var _ = Describe("orders", func() {
	It("makes engines serve the model of their pool, each ordered once", func() {
		s := start(3, "-model", "another", "-load-time", "1s")
		for _, p := range s.engines {
			Eventually(func() string { return get[engine.Load](p.url + "/load").Model }).
				WithTimeout(eventTimeout).WithPolling(100 * time.Millisecond).Should(Equal(model))
		}
		ctx, cancel := withTimeout()
		defer cancel()
		expectCompleteAnswer(complete(ctx, s.routers[0].url, key, prompt("ordered"), 5, nil), prompt("ordered"), 5)
		for _, p := range s.engines {
			Expect(get[[]engine.Order](p.url + "/orders")).To(HaveLen(1))
		}
	})
})
