package inflight_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/domain/inflight"
)

func TestInflight(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "inflight")
}

// Guards against load that is counted twice, or that remains after its instance is gone.
var _ = It("adds the load of this instance and that reported by its peers", func() {
	tracker := inflight.NewTracker()
	tracker.Add("e", inflight.Load{Requests: 1, Tokens: 10})
	tracker.ReplacePeer("p", map[string]inflight.Load{"e": {Requests: 2, Tokens: 20}})
	tracker.ReplacePeer("q", map[string]inflight.Load{"e": {Requests: 1, Tokens: 5}, "f": {Requests: 1}})
	Expect(tracker.TotalAt("e")).To(Equal(inflight.Load{Requests: 4, Tokens: 35}))
	Expect(tracker.Local()).To(Equal(map[string]inflight.Load{"e": {Requests: 1, Tokens: 10}}))
	tracker.ReplacePeer("p", map[string]inflight.Load{})
	tracker.ReplacePeer("q", nil)
	tracker.Subtract("e", inflight.Load{Requests: 1, Tokens: 10})
	Expect(tracker.TotalAt("e")).To(BeZero())
	Expect(tracker.Local()).To(BeEmpty())
})
