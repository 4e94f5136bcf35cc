package modelpath_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/router/internal/domain/config"
)

// Guards against requests that wait so long for rate limit tokens that their answer misses its deadline and the prefill is
// wasted.
var _ = DescribeTable("patience for tokens",
	func(class catalogue.Class, promptTokens int64, want time.Duration) {
		withFakeClock(func() {
			env := newTestEnv()
			c := env.config.Current().Catalogue
			c.Pools = []catalogue.Pool{{Name: "p", Role: catalogue.RolePrefill, Model: "m", PrefillRate: 1000}}
			env.config.snapshot = config.New(2, c)
			r := env.request()
			r.Class, r.PromptTokens = &class, promptTokens
			_, err := env.handler.Serve(context.Background(), r, env.writer)
			Expect(err).NotTo(HaveOccurred())
			Expect(env.admission.patience).To(Equal(want))
		})
	},
	Entry("half of what the prompt leaves until the first token is due",
		catalogue.Class{Kind: catalogue.ClassInteractive, FirstTokenMS: 1400, MaxQueueWaitMS: 1500}, int64(400), 500*time.Millisecond),
	Entry("never more than the class allows",
		catalogue.Class{Kind: catalogue.ClassInteractive, FirstTokenMS: 1400, MaxQueueWaitMS: 100}, int64(400), 100*time.Millisecond),
	Entry("half of the target if the prompt alone takes longer",
		catalogue.Class{Kind: catalogue.ClassInteractive, FirstTokenMS: 1400, MaxQueueWaitMS: 1500}, int64(2000), 700*time.Millisecond),
	Entry("all that the class allows for batch work",
		catalogue.Class{Kind: catalogue.ClassBatch, FirstTokenMS: 1400, MaxQueueWaitMS: 240000}, int64(400), 4*time.Minute),
)
